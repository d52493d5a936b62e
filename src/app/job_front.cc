#include "job_front.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "peer_call.h"
#include "platform/job_codec.h"
#include "scoped_share.h"

namespace chiveglade::app {

namespace {

using store::commit_status;
using workflow::job_phase;

// Callers that send no deadline.
constexpr millis kDefaultDeadline{3'000};
// Time for the answer to reach the caller before its deadline.
constexpr millis kAnswerMargin{150};
// Longest work on one submission whose outcome is unknown: the caller's next
// try comes to another gateway, which may reach the store.
constexpr millis kMaxSubmitTime{1'500};
// Wait before a refused write is repeated.
constexpr millis kWriteRetry{20};
// Share of the queue's latency target for which a refused write is repeated:
// a caller that is told early can still be served in time elsewhere.
constexpr int kTargetShare = 5;
constexpr millis kPeerTimeout{350};
// Memory of a request that waits: its coroutine, its call, and the copies of
// its message in the steps from the row to the socket.
constexpr uint64_t kWaitingBytes = 16UL * 1024;
constexpr uint64_t kMessageCopies = 8;
// Callers wait for this answer before their job is stored.
constexpr millis kRoomTimeout{150};
// Longest wait for the reply to a request that a peer was given. As long as a
// submission is worked on there.
constexpr millis kMaxForwardTime{1'600};
constexpr size_t kMaxFinal = 20'000;
// Cancellations of jobs that are not stored, within their retention. A
// coordinator holds some 200 bytes for each.
constexpr size_t kMaxEarlyCancellations = 300;
// A count of pending jobs may be this old.
constexpr millis kPendingAge{1'500};
constexpr char kRetryAfterSeconds[] = "1";
// Of a job that needs a VM of another size, which takes longer to join.
constexpr char kRetryWithLargerVmSeconds[] = "60";
// Between gateways: the version of the catalogue that a request must be
// answered by at least, and the one that it was answered by.
constexpr char kVersionHeader[] = "chiveglade-catalogue";
// The newest version of the store that the gateway knew when it got a request.
constexpr char kStoreVersionHeader[] = "chiveglade-store-version";
// Answers a peer that asked for a newer version; callers never see it.
constexpr int kOlderCatalogue = 409;

uint64_t ToVersion(std::string_view text) {
  uint64_t out = 0;
  // Without a version any catalogue will do.
  (void)std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

net::http_reply Json(int status, std::string body) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

net::http_reply Refuse(int status,
                       const std::string& code,
                       const std::string& detail,
                       const char* retry_after_seconds = kRetryAfterSeconds) {
  auto out = net::MakeRefusal(status, verdict::kNotRun, code, detail);
  if (status == 503 || status == 429) {
    out.headers.emplace_back("retry-after", retry_after_seconds);
  }
  return out;
}

uint64_t WaitingBytes(size_t message) {
  return kWaitingBytes + kMessageCopies * message;
}

net::http_reply RefuseToWait() {
  return Refuse(503, "overloaded",
                "there is no memory for another request that waits");
}

millis DeadlineOf(const net::http_request& request) {
  const auto text = net::FindHeader(request.headers, platform::kDeadlineHeader);
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || value <= 0) {
    return kDefaultDeadline;
  }
  return std::min(millis(value), millis(60'000));
}

std::string_view HostOf(const net::http_request& request) {
  const auto host = net::FindHeader(request.headers, "host");
  return host.substr(0, host.find(':'));
}

std::string EncodePhaseNumber(job_phase phase) {
  return std::to_string(static_cast<int>(phase));
}

std::optional<job_phase> DecodePhaseNumber(const std::string& text) {
  if (text.size() != 1 || text[0] < '0' ||
      text[0] > '0' + static_cast<int>(job_phase::kCancelled)) {
    return std::nullopt;
  }
  return static_cast<job_phase>(text[0] - '0');
}

}  // namespace

job_front::job_front(strand on,
                     peer_pool& peers,
                     observe::metrics& metrics,
                     coordinator_host& host,
                     hooks hooks)
    : on_(std::move(on)),
      peers_(peers),
      admission_(hooks.job_budget_bytes),
      early_cancellations_(kMaxEarlyCancellations),
      metrics_(metrics),
      host_(host),
      hooks_(std::move(hooks)) {}

net::http_reply job_front::Handle(const net::http_request& request,
                                  const net::yield& yield) {
  const auto began = hooks_.clock();
  std::string kind = "other";
  const scoped_share open(open_requests_, 1, hooks_.limits.requests);
  auto reply = !open.granted() ? Refuse(503, "overloaded",
                                        "too many requests wait for an answer")
               : Access() == store_access::kThroughPeer
                   ? Forward(request, yield)
                   : HandleHere(request, kind, yield);
  const char* outcome = reply.status < 300    ? "answered"
                        : reply.status == 410 ? "unknown_job"
                        : reply.status == 504 ? "unknown_outcome"
                                              : "refused";
  metrics_.Increment("chiveglade_job_requests_total",
                     {{"call", kind}, {"outcome", outcome}});
  metrics_.Observe(
      "chiveglade_job_request_seconds", {{"call", kind}},
      std::chrono::duration<double>(hooks_.clock() - began).count());
  return reply;
}

net::http_reply job_front::HandleHere(const net::http_request& request,
                                      std::string& kind,
                                      const net::yield& yield) {
  const auto version = CatalogueVersion();
  if (version < seen_version_) {
    return Refuse(503, "catalogue_behind",
                  "the configuration in force has not been read yet");
  }
  seen_version_ = version;
  return Route(request, store_version_, kind, yield);
}

uint64_t job_front::CatalogueVersion() const {
  const auto catalogue = hooks_.operators().state->catalogue;
  return catalogue ? catalogue->version : 0;
}

net::http_reply job_front::HandleForPeer(const net::http_request& request,
                                         const net::yield& yield) {
  const auto version = CatalogueVersion();
  const auto wanted = net::FindHeader(request.headers, kVersionHeader);
  if (version < ToVersion(wanted)) {
    return {kOlderCatalogue, {}, ""};
  }
  const auto store_version =
      ToVersion(net::FindHeader(request.headers, kStoreVersionHeader));
  std::string kind;
  auto reply = Route(request, store_version, kind, yield);
  reply.headers.emplace_back(kVersionHeader, std::to_string(version));
  return reply;
}

net::http_reply job_front::Forward(const net::http_request& request,
                                   const net::yield& yield) {
  const auto timeout =
      std::min(DeadlineOf(request) - kAnswerMargin, kMaxForwardTime);
  seen_version_ = std::max(seen_version_, CatalogueVersion());
  const scoped_share waiting(waiting_bytes_, WaitingBytes(request.body.size()),
                             hooks_.limits.bytes);
  if (!waiting.granted()) {
    return RefuseToWait();
  }
  auto passed_on = request;
  passed_on.headers.emplace_back(kVersionHeader, std::to_string(seen_version_));
  passed_on.headers.emplace_back(kStoreVersionHeader,
                                 std::to_string(store_version_));
  auto reply = hooks_.forward(passed_on, timeout, yield);
  const std::string path(net::PathOf(request.target));
  hooks_.log("request_forwarded",
             {{"method", request.method},
              {"path", path},
              {"outcome", reply ? std::to_string(reply->status)
                                : reply.last_reason().code}});
  if (reply && reply->status == kOlderCatalogue) {
    return Refuse(503, "catalogue_behind",
                  "the configuration in force has not reached the peer");
  }
  if (reply) {
    seen_version_ =
        std::max(seen_version_,
                 ToVersion(net::FindHeader(reply->headers, kVersionHeader)));
    std::erase_if(reply->headers, [](const auto& header) {
      return header.first == kVersionHeader;
    });
    return *std::move(reply);
  }
  if (request.method == "GET") {
    return Refuse(503, "peer_silent", "the state cannot be read at present");
  }
  return net::MakeRefusal(504, verdict::kMayHaveRun, "peer_silent",
                          "another gateway did not say what became of the "
                          "request; send it again");
}

net::http_reply job_front::Route(const net::http_request& request,
                                 uint64_t store_version,
                                 std::string& kind,
                                 const net::yield& yield) {
  const auto view = hooks_.operators();
  const auto& catalogue = view.state->catalogue;
  if (!catalogue) {
    return Refuse(503, "no_catalogue", "no configuration has been read yet");
  }
  const auto path = net::PathOf(request.target);
  const auto* found = workflow::FindQueue(*catalogue, HostOf(request), path);
  if (!MayAnswer(request, view, found != nullptr)) {
    return RefuseByCatalogue(503, "settings_outdated",
                             "the configuration in force cannot be read",
                             request, view);
  }
  if (!found) {
    return RefuseByCatalogue(
        404, "no_queue", "no queue is configured for this path", request, view);
  }
  if (request.body.size() > catalogue->max_body_bytes) {
    return Refuse(413, "body_too_large", "the job exceeds the limit");
  }
  // A copy, since the catalogue may change while the request waits.
  const workflow::queue_policy queue = *found;
  const std::string id(path.substr(queue.path_prefix.size()));
  if (id.empty() && request.method == "GET") {
    kind = "pending";
    return Pending(queue, yield);
  }
  if (!platform::IsJobId(id)) {
    return Refuse(400, "bad_id", "the ID of a job is 16 hexadecimal digits");
  }
  const call in{queue, id, hooks_.clock(), DeadlineOf(request), store_version};
  if (request.method == "POST") {
    kind = "submit";
    return Submit(in, request.body, yield);
  }
  if (request.method == "GET") {
    kind = "show";
    return Show(in, yield);
  }
  if (request.method == "DELETE") {
    kind = "cancel";
    return Cancel(in, yield);
  }
  return Refuse(405, "bad_method", "jobs take POST, GET and DELETE");
}

bool job_front::MayAnswer(const net::http_request& request,
                          const operator_view& view,
                          bool queue_found) const {
  if (hooks_.settings_current(view)) {
    return true;
  }
  // A state is shown by a queue's old settings while newer ones cannot be read
  // here and through the coordinator's gateway.
  return request.method == "GET" && queue_found && hooks_.store_away() &&
         Access() == store_access::kAwayForAll;
}

net::http_reply job_front::RefuseByCatalogue(int status,
                                             const std::string& code,
                                             const std::string& detail,
                                             const net::http_request& request,
                                             const operator_view& view) {
  hooks_.log("request_refused",
             {{"method", request.method},
              {"host", std::string(HostOf(request))},
              {"path", std::string(net::PathOf(request.target))},
              {"status", std::to_string(status)},
              {"reason", code},
              {"version", std::to_string(view.state->catalogue->version)},
              {"age_ms", std::to_string(view.AgeAt(hooks_.clock()).count())}});
  return Refuse(status, code, detail);
}

result<job_front::encoded_job> job_front::EncodeJob(
    const call& in,
    const std::string& body) const {
  auto job = platform::DecodeJob(body);
  if (!job) {
    return job.last_reason();
  }
  workflow::submission accepted;
  accepted.queue = in.queue.name;
  accepted.service = in.queue.service;
  accepted.priority = in.queue.priority;
  accepted.attempts = in.queue.attempts;
  accepted.accepted_unix_ms = hooks_.unix_ms();
  accepted.job = *std::move(job);
  return encoded_job{workflow::EncodeSubmission(accepted),
                     workflow::JobBytes(accepted.job),
                     workflow::LargestTask(accepted.job)};
}

net::http_reply job_front::Submit(const call& in,
                                  const std::string& body,
                                  const net::yield& yield) {
  // The decoded job may be far longer than its row, so it is dropped before
  // this request waits for anything.
  auto job = EncodeJob(in, body);
  if (!job) {
    return RefuseJob(in, 400, job.last_reason());
  }
  if (job->row.size() > hooks_.max_row_bytes) {
    return RefuseJob(in, 413,
                     {"job_too_large", "the job exceeds a row of the store"});
  }
  if (Access() != store_access::kDirect) {
    hooks_.log("job_not_accepted", {{"job", in.id},
                                    {"queue", in.queue.name},
                                    {"may_be_stored", "no"},
                                    {"reason", ToString(Access())}});
    return Refuse(503, "store_away", "the store is out of reach at present");
  }
  const scoped_share waiting(waiting_bytes_, WaitingBytes(job->row.size()),
                             hooks_.limits.bytes);
  if (!waiting.granted()) {
    return RefuseToWait();
  }
  const auto& queue = in.queue.name;
  AskForRoom(queue, yield);
  if (auto why =
          admission_.WhyNeverRuns(queue, job->largest_task, hooks_.clock())) {
    return RefuseUnlessStored(in, {"no_vm_large_enough", *std::move(why)},
                              kRetryWithLargerVmSeconds, yield);
  }
  if (!admission_.Admit(queue, job->bytes)) {
    return RefuseUnlessStored(
        in,
        {"too_many_jobs", "the jobs that were accepted leave no room for it"},
        kRetryAfterSeconds, yield);
  }
  bool may_be_stored = false;
  auto out = Store(in, job->row, may_be_stored, yield);
  admission_.Finish(job->bytes, may_be_stored, hooks_.clock());
  return out;
}

net::http_reply job_front::Store(const call& in,
                                 const std::string& row,
                                 bool& may_be_stored,
                                 const net::yield& yield) {
  uint64_t cancellation = 0;  // version of one that the job replaces
  const auto until =
      in.began + std::min(in.time_left - kAnswerMargin, kMaxSubmitTime);
  const auto refuse_at = in.began + in.queue.latency_target / kTargetShare;
  for (;;) {
    const auto outcome =
        Commit(workflow::AcceptJob(in.id, row, cancellation), yield);
    const bool is_cancelled =
        outcome.status == commit_status::kConflict &&
        outcome.conflicting_key == workflow::CancellationKey(in.id);
    bool is_stored =
        outcome.status == commit_status::kCommitted ||
        (outcome.status == commit_status::kConflict && !is_cancelled);
    if (is_cancelled) {
      const auto earlier = Read(outcome.conflicting_key, yield);
      cancellation = earlier && *earlier ? (*earlier)->version : 0;
      if (cancellation > in.store_version) {
        // It may have been acknowledged after this request was sent.
        return RefuseJob(in, 503,
                         {"cancelled", "the job has just been cancelled"});
      }
    }
    if (outcome.status == commit_status::kUnknown) {
      may_be_stored = true;
      // A read tells whether the write was only slow, without queueing a copy
      // behind it.
      const auto stored = Read(kJobPrefix + in.id, yield);
      is_stored = stored && *stored;
    }
    const auto now = hooks_.clock();
    if (is_stored) {
      may_be_stored = true;
      hooks_.log(
          "job_accepted",
          {{"job", in.id},
           {"queue", in.queue.name},
           {"repeated",
            outcome.status == commit_status::kCommitted ? "no" : "yes"},
           {"ms",
            std::to_string(
                std::chrono::duration_cast<millis>(now - in.began).count())}});
      return Json(200, platform::EncodePhase(job_phase::kQueued));
    }
    if (now >= until || (!may_be_stored && now >= refuse_at)) {
      hooks_.log("job_not_accepted",
                 {{"job", in.id},
                  {"queue", in.queue.name},
                  {"may_be_stored", may_be_stored ? "yes" : "no"},
                  {"reason", outcome.why.detail}});
      return may_be_stored
                 ? net::MakeRefusal(504, verdict::kMayHaveRun, "store_unknown",
                                    "the store did not say whether the job was "
                                    "stored; send it again")
                 : Refuse(503, "store_refused",
                          "the store takes no writes at present");
    }
    Wait(kWriteRetry, yield);
  }
}

net::http_reply job_front::RefuseJob(const call& in,
                                     int status,
                                     const reason& why,
                                     const char* retry_after_seconds) {
  hooks_.log(
      "job_refused",
      {{"job", in.id}, {"queue", in.queue.name}, {"reason", why.detail}});
  return Refuse(status, why.code, why.detail, retry_after_seconds);
}

void job_front::AskForRoom(const std::string& queue, const net::yield& yield) {
  const workflow::room_question question{hooks_.gateway, queue};
  const auto now = hooks_.clock();
  if (host_.ready()) {
    admission_.SetRoom(queue, host_.JobRoom(question), now);
    return;
  }
  if (host_.leader().epoch == 0 || !admission_.TakeQuestion(queue, now)) {
    return;
  }
  const auto reply = CallPeer(peers_, host_.leader().address, kJobRoomPath,
                              Encode(question), kRoomTimeout, yield);
  if (!reply || reply->status != 200) {
    return;  // The last answer still holds, less what was stored since.
  }
  if (const auto room = workflow::DecodeJobRoom(reply->body)) {
    admission_.SetRoom(queue, *room, now);
  }
}

net::http_reply job_front::RefuseUnlessStored(const call& in,
                                              const reason& why,
                                              const char* retry_after_seconds,
                                              const net::yield& yield) {
  const auto stored = Read(kJobPrefix + in.id, yield);
  const auto ended = stored && !*stored
                         ? ReadEnded(in.id, yield)
                         : result<phase_or_none>(phase_or_none());
  if (!stored || !ended) {
    return net::MakeRefusal(504, verdict::kMayHaveRun, "store_unknown",
                            "the store did not say whether an earlier request "
                            "was accepted; send it again");
  }
  if (*stored || *ended) {
    return Json(200, platform::EncodePhase(job_phase::kQueued));
  }
  return RefuseJob(in, 503, why, retry_after_seconds);
}

net::http_reply job_front::Show(const call& in, const net::yield& yield) {
  const auto phase = FindPhase(in.id, yield);
  if (!phase) {
    hooks_.log("show_failed",
               {{"job", in.id}, {"reason", phase.last_reason().detail}});
    return Refuse(503, "unknown", "the state cannot be read at present");
  }
  if (!*phase) {
    return Refuse(410, "no_job", "no such job exists");
  }
  return Json(200, platform::EncodePhase(**phase));
}

net::http_reply job_front::Cancel(const call& in, const net::yield& yield) {
  if (Access() != store_access::kDirect) {
    return Refuse(503, "store_away", "the store is out of reach at present");
  }
  const auto until = in.began + in.time_left - kAnswerMargin;
  const std::string key = kJobPrefix + in.id;
  bool is_counted = false;            // by early_cancellations_
  uint64_t earlier_cancellation = 0;  // version of its row; 0: none
  for (;;) {
    const auto row = Read(key, yield);
    if (row && *row) {
      // Only while the job is live: once it has ended, nobody would look at the
      // row of the cancellation.
      const auto outcome = Commit(
          {{{key, (*row)->version}},
           {{workflow::CancellationKey(in.id), workflow::kCancellation}}},
          yield);
      if (outcome.status == commit_status::kCommitted) {
        hooks_.log("job_cancelled", {{"job", in.id}});
        return Json(200, "{}");
      }
      if (outcome.status == commit_status::kConflict) {
        continue;  // It has ended meanwhile.
      }
    } else if (row) {
      const auto ended = ReadEnded(in.id, yield);
      if (ended && *ended) {
        return Json(200, "{}");  // There is nothing left to cancel.
      }
      if (ended) {
        // The write of its submission may still be under way.
        is_counted = is_counted || early_cancellations_.Take(hooks_.clock());
        if (!is_counted) {
          return Refuse(503, "too_many_cancellations",
                        "too many jobs were cancelled that do not exist");
        }
        const auto outcome = Commit(
            workflow::CancelAbsentJob(in.id, earlier_cancellation), yield);
        if (outcome.status == commit_status::kCommitted) {
          hooks_.log("absent_job_cancelled", {{"job", in.id}});
          return Refuse(410, "no_job", "no such job exists");
        }
        if (outcome.conflicting_key == workflow::CancellationKey(in.id)) {
          const auto earlier = Read(outcome.conflicting_key, yield);
          earlier_cancellation = earlier && *earlier ? (*earlier)->version : 0;
        }
      }
    }
    if (hooks_.clock() >= until) {
      return net::MakeRefusal(504, verdict::kMayHaveRun, "store_unknown",
                              "the store did not answer; cancel it again");
    }
    Wait(kWriteRetry, yield);
  }
}

net::http_reply job_front::Pending(const workflow::queue_policy& queue,
                                   const net::yield& yield) {
  if (host_.ready()) {
    const auto jobs = host_.PendingJobCount(queue.name);
    return jobs ? Json(200, platform::EncodePending(*jobs))
                : Refuse(503, "jobs_outdated", "the jobs cannot be counted");
  }
  auto& known = pending_[queue.name];
  if (hooks_.clock() - known.at < kPendingAge / 2) {
    return Json(200, platform::EncodePending(known.jobs));
  }
  const auto reply = CallPeer(peers_, host_.leader().address, kPendingPath,
                              queue.name, kPeerTimeout, yield);
  size_t jobs = 0;
  if (reply && reply->status == 200 &&
      std::from_chars(reply->body.data(),
                      reply->body.data() + reply->body.size(), jobs)
              .ec == std::errc()) {
    pending_[queue.name] = {jobs, hooks_.clock()};
    return Json(200, platform::EncodePending(jobs));
  }
  const auto& last = pending_[queue.name];
  if (hooks_.clock() - last.at < kPendingAge) {
    return Json(200, platform::EncodePending(last.jobs));
  }
  return Refuse(503, "no_coordinator", "nobody could count the jobs");
}

result<job_front::phase_or_none> job_front::FindPhase(const std::string& id,
                                                      const net::yield& yield) {
  if (const auto at = final_.find(id); at != final_.end()) {
    return phase_or_none(at->second);
  }
  if (auto phase = AskCoordinator(id, yield)) {
    Remember(id, *phase);
    return phase;
  }
  if (Access() != store_access::kDirect) {
    return reason{"store_away", "neither coordinator nor store is in reach"};
  }
  auto phase = ReadPhase(id, yield);
  if (phase && *phase) {
    Remember(id, **phase);
  }
  return phase;
}

job_front::phase_or_none job_front::AskCoordinator(const std::string& id,
                                                   const net::yield& yield) {
  if (host_.ready()) {
    const auto view = host_.FindJobView(id);
    return view ? phase_or_none(view->phase) : std::nullopt;
  }
  if (host_.leader().epoch == 0) {
    return std::nullopt;
  }
  const auto reply = CallPeer(peers_, host_.leader().address, kPhasePath, id,
                              kPeerTimeout, yield);
  if (!reply || reply->status != 200) {
    return std::nullopt;
  }
  return DecodePhaseNumber(reply->body);
}

result<job_front::phase_or_none> job_front::ReadPhase(const std::string& id,
                                                      const net::yield& yield) {
  // Most jobs that the coordinator does not know have ended.
  if (auto ended = ReadEnded(id, yield); !ended || *ended) {
    return ended;
  }
  const auto job = Read(kJobPrefix + id, yield);
  if (!job) {
    return job.last_reason();
  }
  if (!*job) {
    return ReadEnded(id, yield);  // It may have ended since the first read.
  }
  const auto progress = Read(kProgressPrefix + id, yield);
  if (!progress) {
    return progress.last_reason();
  }
  if (*progress) {
    const auto row = workflow::DecodeProgressRow((*progress)->value);
    if (!row) {
      return row.last_reason();
    }
    if (IsFinal(row->phase)) {
      return phase_or_none(row->phase);
    }
  }
  if (!*progress) {
    if (auto ended = ReadEnded(id, yield); !ended || *ended) {
      return ended;
    }
  }
  const auto cancelled = Read(workflow::CancellationKey(id), yield);
  if (!cancelled) {
    return cancelled.last_reason();
  }
  if (*cancelled) {
    return phase_or_none(job_phase::kCancelled);
  }
  return phase_or_none(*progress ? job_phase::kRunning : job_phase::kQueued);
}

result<job_front::phase_or_none> job_front::ReadEnded(const std::string& id,
                                                      const net::yield& yield) {
  const auto row = Read(kEndedPrefix + id, yield);
  if (!row) {
    return row.last_reason();
  }
  if (!*row) {
    return phase_or_none();
  }
  const auto ended = workflow::DecodeEndedJob((*row)->value);
  if (!ended) {
    return ended.last_reason();
  }
  return phase_or_none(ended->phase);
}

std::optional<std::string> job_front::PhaseForPeer(
    const std::string& id) const {
  if (!host_.ready()) {
    return std::nullopt;
  }
  const auto view = host_.FindJobView(id);
  return view ? std::optional(EncodePhaseNumber(view->phase)) : std::nullopt;
}

std::optional<std::string> job_front::PendingForPeer(
    const std::string& queue) const {
  if (!host_.ready()) {
    return std::nullopt;
  }
  const auto jobs = host_.PendingJobCount(queue);
  return jobs ? std::optional(std::to_string(*jobs)) : std::nullopt;
}

result<std::optional<store::row>> job_front::Read(const std::string& key,
                                                  const net::yield& yield) {
  // AwaitCallback needs a value that can be made without arguments.
  using answer = std::shared_ptr<result<std::optional<store::row>>>;
  const auto out = AwaitCallback<answer>(
      on_,
      [this, key](const std::function<void(answer)>& then) {
        hooks_.table.read(key, [then](result<std::optional<store::row>> found) {
          then(std::make_shared<result<std::optional<store::row>>>(
              std::move(found)));
        });
      },
      yield);
  if (*out && **out) {
    store_version_ = std::max(store_version_, (**out)->version);
  }
  return *out;
}

store::commit_outcome job_front::Commit(store::transaction change,
                                        const net::yield& yield) {
  auto out = AwaitCallback<store::commit_outcome>(
      on_,
      [this, change = std::move(change)](
          const std::function<void(store::commit_outcome)>& then) {
        hooks_.table.commit(change, then);
      },
      yield);
  store_version_ = std::max(store_version_, out.version);
  return out;
}

void job_front::Wait(millis time, const net::yield& yield) {
  net::asio::steady_timer timer(on_, time);
  boost::system::error_code ignored;  // The timer is not cancelled.
  timer.async_wait(yield[ignored]);
}

void job_front::Remember(const std::string& id, job_phase phase) {
  if (!IsFinal(phase) || !final_.emplace(id, phase).second) {
    return;
  }
  final_order_.push_back(id);
  if (final_order_.size() > kMaxFinal) {
    final_.erase(final_order_.front());
    final_order_.pop_front();
  }
}

}  // namespace chiveglade::app
