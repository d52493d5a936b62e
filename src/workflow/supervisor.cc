#include "chiveglade/workflow/supervisor.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "chiveglade/workflow/job_record.h"

namespace chiveglade::workflow {

namespace {

// Start calls without a reply before the run is stopped and refused.
constexpr uint32_t kMaxStartAttempts = 6;
// Of all runs in a report, which has the checkpoints of up to 500 ends beside
// them and must stay below kMaxMessageBytes.
constexpr size_t kMaxReportedCheckpointBytes = size_t{256} * 1024;
// With less than this left of the grant, a started run might lose its lease
// before the next extension.
constexpr millis kMinGrantForStart{300};
// Pause between lease calls while ends await acknowledgement: the worker
// replies at once then, and the lists change only by further ends.
constexpr millis kUnacknowledgedEndsCallInterval{60};
// Interval between reports that list all runs. Reports in between, several
// times as frequent, carry only ends and refusals. Just below the usual report
// interval, so that each regular report has the list.
constexpr millis kRunListInterval{450};
// How long runs that were refused or have ended are remembered. Exceeds
// kStartValidity, so any order that comes later has expired.
constexpr millis kOverRetention{30'000};
constexpr double kMillicoresPerCore = 1'000;

// Interval at which a throttle is sent again while a call without a reply may
// still override it. A serving task may be above its target for 4 s, of which
// the pacer takes up to 2 s.
constexpr millis kPaceRepeatInterval{500};

// Remembers that a run is over, and forgets those that no order can concern.
void Remember(const run_key& run,
              boot_time now,
              std::map<run_key, boot_time>& in) {
  std::erase_if(in, [now](const auto& item) {
    return now - item.second > kOverRetention;
  });
  in[run] = now;
}

std::string Text(int64_t value) {
  return std::to_string(value);
}

// Cores that a task requests.
double CoresOf(const start_order& order) {
  return static_cast<double>(order.millicores) / kMillicoresPerCore;
}

}  // namespace

const char* ToString(call_status in) {
  switch (in) {
    case call_status::kOk:
      return "ok";
    case call_status::kFenced:
      return "fenced";
    case call_status::kSuperseded:
      return "superseded";
    case call_status::kLeasePast:
      return "lease_past";
    case call_status::kNoRoom:
      return "no_room";
    case call_status::kNoTicket:
      return "no_ticket";
    case call_status::kUnhealthy:
      return "unhealthy";
    case call_status::kWrongInstance:
      return "wrong_instance";
    case call_status::kInvalid:
      return "invalid";
    case call_status::kNoReply:
      return "no_answer";
    case call_status::kNotSent:
      return "not_sent";
    case call_status::kNotListening:
      return "not_listening";
  }
  return "unknown";
}

supervisor::supervisor(supervisor_options options)
    : options_(std::move(options)), pacer_(options_.pacing) {}

void supervisor::Log(
    const char* event,
    const std::vector<std::pair<std::string, std::string>>& fields) const {
  if (options_.log) {
    options_.log(event, fields);
  }
}

bool supervisor::OnCoordinator(uint64_t epoch, const std::string& address) {
  if (epoch < epoch_) {
    return false;
  }
  if (epoch > epoch_) {
    Log("coordinator_adopted",
        {{"epoch", Text(static_cast<int64_t>(epoch))}, {"address", address}});
    epoch_ = epoch;
    answered_ = 0;
    report_due_ = true;
  }
  if (!address.empty()) {
    coordinator_ = address;
  }
  return true;
}

void supervisor::OnOrders(const orders& in, boot_time now) {
  if (!OnCoordinator(in.epoch, in.coordinator) ||
      in.worker_incarnation != incarnation_ || worker_gone_) {
    return;
  }
  acknowledged_ = std::max(acknowledged_, in.acknowledged);
  std::erase_if(
      ends_, [&](const run_end& end) { return end.number <= acknowledged_; });
  next_lease_call_at_ = {};
  const boot_time start_deadline(millis(in.boot_clock_ms) +
                                 std::min(in.valid_for, kStartValidity));
  // Orders that answer a report of an earlier process of this runner may repeat
  // runs whose ends that process has seen. They are sent again, with a report
  // of this one, if they are still wanted.
  const bool may_be_over = in.boot_clock_ms < first_report_ms_;
  for (const auto& order : in.starts) {
    const auto at = runs_.find(order.run);
    if (at != runs_.end()) {
      at->second.order = order;
      continue;
    }
    if (may_be_over) {
      Log("order_of_earlier_process",
          {{"task", ToString(order.run.task)}, {"run", Text(order.run.run)}});
      continue;
    }
    const bool ended =
        ended_at_.contains(order.run) ||
        std::any_of(ends_.begin(), ends_.end(),
                    [&](const run_end& end) { return end.run == order.run; });
    if (ended) {
      report_due_ = true;
    } else if (refused_at_.contains(order.run)) {
      AddRefusal(order.run, "refused_before", now);
    } else if (now > start_deadline) {
      Log("order_expired",
          {{"task", ToString(order.run.task)},
           {"run", Text(order.run.run)},
           {"late_ms",
            Text(std::chrono::duration_cast<millis>(now - start_deadline)
                     .count())}});
    } else {
      tracked_run next;
      next.order = order;
      next.status.run = order.run;
      next.start_deadline = start_deadline;
      next.start_sent = next.may_still_start = now < earlier_starts_until_;
      if (next.start_sent) {
        next.latest_lease_ms = INT64_MAX;
      }
      const auto added = runs_.emplace(order.run, std::move(next)).first;
      if (!has_heartbeat_ || IsLeaving()) {
        RefuseStart(added, has_heartbeat_ ? "draining" : "worker_unknown", now);
      }
    }
  }
  for (const auto& weight : in.weights) {
    pacer_.model().Set(weight);
  }
  for (const auto& run : in.stops) {
    auto [at, added] = runs_.try_emplace(run);
    if (added) {
      at->second.order.run = run;
      at->second.status.run = run;
    }
    if (at->second.phase != run_phase::kStopping) {
      BeginStop(at->second, "stopped", now);
    }
  }
}

void supervisor::BeginStop(tracked_run& run,
                           const std::string& why,
                           boot_time now) {
  run.phase = run_phase::kStopping;
  run.refusal_reason = why;
  run.stop_confirmed = false;
  run.attempts = 0;
  run.next_attempt_at = now;
}

void supervisor::AddRefusal(const run_key& run,
                            const std::string& why,
                            boot_time now) {
  Log("run_refused",
      {{"task", ToString(run.task)}, {"run", Text(run.run)}, {"reason", why}});
  refusals_.push_back({run, why});
  report_due_ = true;
  Remember(run, now, refused_at_);
}

millis supervisor::GrantLeft(boot_time now) const {
  return std::max(millis(0),
                  std::chrono::duration_cast<millis>(grant_until_ - now));
}

int64_t supervisor::WorkerTimeAfter(millis length, boot_time now) const {
  // The worker's clock may be slow and reach a given time late, so the time is
  // set short.
  const auto since =
      std::chrono::duration_cast<millis>(now - worker_clock_read_at_);
  const double rate = 1.0 - kMaxClockRateError;
  return worker_clock_ms_ +
         static_cast<int64_t>(static_cast<double>((since + length).count()) *
                              rate);
}

int64_t supervisor::LatestWorkerTime(boot_time now) const {
  const auto since =
      std::chrono::duration_cast<millis>(now - worker_clock_read_at_);
  return worker_clock_ms_ + WithClockMargin(since).count();
}

supervisor::tracked_runs::iterator supervisor::RefuseStart(
    tracked_runs::iterator at,
    const std::string& why,
    boot_time now) {
  if (at->second.start_sent) {
    BeginStop(at->second, why, now);
    return std::next(at);
  }
  const run_key run = at->first;
  const auto next = runs_.erase(at);
  AddRefusal(run, why, now);
  return next;
}

void supervisor::DropExpiredStarts(boot_time now) {
  for (auto at = runs_.begin(); at != runs_.end();) {
    const auto& item = at->second;
    const bool expired = IsLeaving() || now > item.start_deadline;
    if (item.phase == run_phase::kStarting && !item.call_in_flight && expired) {
      at = RefuseStart(at, IsLeaving() ? "draining" : "expired", now);
    } else {
      ++at;
    }
  }
}

std::vector<start_call> supervisor::TakeStarts(boot_time now) {
  std::vector<start_call> out;
  if (!has_worker_clock_ || !has_heartbeat_ || worker_gone_) {
    return out;
  }
  const auto left = std::min(GrantLeft(now), options_.worker_lease);
  DropExpiredStarts(now);
  if (!incarnation_confirmed_) {
    return out;
  }
  for (auto& [run, item] : runs_) {
    if (starts_in_flight_ >= options_.max_calls) {
      break;
    }
    if (item.phase != run_phase::kStarting || item.call_in_flight ||
        now < item.next_attempt_at) {
      continue;
    }
    if (left < kMinGrantForStart) {
      continue;  // Wait for a new grant or an order to stop the run.
    }
    start_call call;
    call.instance = heartbeat_.instance;
    call.run = run;
    call.payload = item.order.payload;
    call.checkpoint = item.order.checkpoint;
    call.ticket = item.order.ticket;
    call.lease_until_ms = NextLeaseEnd(std::min(left, kStartLease), now);
    call.fencing_token = epoch_;
    item.call_in_flight = true;
    item.start_sent = true;
    item.latest_lease_ms = std::max(item.latest_lease_ms, call.lease_until_ms);
    ++item.attempts;
    ++starts_in_flight_;
    out.push_back(std::move(call));
  }
  return out;
}

std::vector<stop_call> supervisor::TakeStops(boot_time now) {
  std::vector<stop_call> out;
  if (incarnation_ == 0 || worker_gone_) {
    return out;
  }
  StopRunsBeyondGrant(now);
  auto open = std::count_if(runs_.begin(), runs_.end(), [](const auto& each) {
    return each.second.phase == run_phase::kStopping &&
           each.second.call_in_flight;
  });
  for (auto& [run, item] : runs_) {
    if (open >= options_.max_calls) {
      break;
    }
    if (item.phase == run_phase::kStopping && !item.call_in_flight &&
        !item.stop_confirmed && now >= item.next_attempt_at) {
      item.call_in_flight = item.stop_in_flight = true;
      item.stop_incarnation = incarnation_;
      ++open;
      // Before the first heartbeat the instance is not known and not named: a
      // stop concerns this run only, on whichever incarnation.
      out.push_back({heartbeat_.instance, run, epoch_});
    }
  }
  return out;
}

void supervisor::OnStartReply(const start_call& call,
                              call_status status,
                              boot_time sent,
                              boot_time now) {
  --starts_in_flight_;
  const bool was_sent =
      status != call_status::kNotSent && status != call_status::kNotListening;
  if (was_sent) {
    OnLeaseSent(call.lease_until_ms, status != call_status::kNoReply, sent,
                now);
  }
  if (status == call_status::kNoReply) {
    OnNoReply(sent);
  }
  const run_key run = call.run;
  const auto at = runs_.find(run);
  if (at == runs_.end()) {
    return;
  }
  auto& item = at->second;
  item.call_in_flight = false;
  if (status != call_status::kOk) {
    Log("start_answer", {{"task", ToString(run.task)},
                         {"run", Text(run.run)},
                         {"outcome", ToString(status)},
                         {"tries", Text(item.attempts)}});
  }
  if (item.phase != run_phase::kStarting) {
    item.may_still_start =
        item.may_still_start || status == call_status::kNoReply;
    return;  // Ordered to stop meanwhile, or already in the lists.
  }
  switch (status) {
    case call_status::kOk:
      item.phase = run_phase::kRunning;
      item.confirmed_at = now;
      if (item.order.best_effort) {
        pacer_.Admit({run, item.order.image, 0, CoresOf(item.order)});
      }
      return;
    case call_status::kNoReply:
    case call_status::kNotSent:
    case call_status::kNotListening:
      item.may_still_start = item.may_still_start || was_sent;
      item.next_attempt_at = now + options_.retry_delay;
      if (item.attempts >= kMaxStartAttempts) {
        BeginStop(item, "no_answer", now);
      }
      return;
    case call_status::kLeasePast:
      item.next_attempt_at = now + options_.retry_delay;
      return;
    case call_status::kSuperseded:
      // The run may have ended already; the next lists show it then.
      item.phase = run_phase::kStopping;
      item.refusal_reason = "superseded";
      item.stop_confirmed = true;
      item.confirmed_at = now;
      return;
    case call_status::kWrongInstance:
      runs_.erase(at);
      report_due_ = true;
      return;
    default:
      if (item.may_still_start) {
        // The worker may still carry out an earlier attempt.
        BeginStop(item, ToString(status), now);
        return;
      }
      runs_.erase(at);
      AddRefusal(run, ToString(status), now);
      return;
  }
}

void supervisor::OnStopReply(const run_key& run,
                             call_status status,
                             boot_time now) {
  const auto at = runs_.find(run);
  if (at == runs_.end()) {
    return;
  }
  auto& item = at->second;
  item.call_in_flight = item.stop_in_flight = false;
  if (item.stop_incarnation != incarnation_) {
    return;  // The previous incarnation may have replied.
  }
  switch (status) {
    case call_status::kOk:
    case call_status::kSuperseded:
      item.stop_confirmed = true;
      item.confirmed_at = now;
      return;
    case call_status::kWrongInstance:
      runs_.erase(at);
      report_due_ = true;
      return;
    default:
      item.next_attempt_at = now + options_.retry_delay;
      return;
  }
}

std::optional<lease_call> supervisor::NextLease(boot_time now) {
  if (worker_gone_ || now < next_lease_call_at_) {
    return std::nullopt;
  }
  lease_call out;
  out.fencing_token = epoch_;
  if (incarnation_confirmed_) {
    out.instance = has_heartbeat_ ? heartbeat_.instance : "";
    // Another incarnation would drop ends of the same numbers.
    out.acknowledged = acknowledged_;
  }
  const auto left = std::min(GrantLeft(now), options_.worker_lease);
  if (has_worker_clock_ && left > millis(0)) {
    // While calls are not answered, the end may be in the past, which the
    // worker would refuse. Without one the call only asks for the lists.
    const int64_t end = NextLeaseEnd(left, now);
    out.lease_until_ms = end > LatestWorkerTime(now) ? end : 0;
  }
  const bool urgent =
      !has_worker_clock_ || !incarnation_confirmed_ || lists_epoch_ < epoch_ ||
      std::any_of(runs_.begin(), runs_.end(),
                  [](const auto& item) { return item.second.stop_confirmed; });
  out.wait = urgent ? millis(0)
                    : (IsPacing() ? options_.paced_lease_reply_wait
                                  : options_.lease_reply_wait);
  return out;
}

void supervisor::OnLeaseReply(const lease_call& call,
                              const lease_reply& in,
                              boot_time sent,
                              boot_time now) {
  if (in.status != call_status::kNotSent &&
      in.status != call_status::kNotListening) {
    OnLeaseSent(call.lease_until_ms, in.status != call_status::kNoReply, sent,
                now);
  }
  if (in.status != call_status::kOk) {
    incarnation_confirmed_ = false;
    if (in.status != call_status::kNotListening) {
      OnNoReply(sent);
    }
    OnLeaseFailed(in.status, now);
    return;
  }
  unanswered_since_ = {};
  connect_refused_since_ = {};
  const bool was_refusing = std::exchange(reported_refusing_, false);
  const bool was_unresponsive = std::exchange(reported_unresponsive_, false);
  if (was_refusing || was_unresponsive) {
    report_due_ = true;
  }
  if (in.incarnation < incarnation_ ||
      (in.incarnation == incarnation_ && worker_gone_)) {
    return;
  }
  if (in.incarnation > incarnation_) {
    BeginIncarnation(in.incarnation, now);
  }
  CheckUnconfirmedHeartbeat(in.incarnation, sent, now);
  incarnation_confirmed_ = !unconfirmed_heartbeat_;
  last_lease_reply_at_ = now;
  worker_clock_ms_ = in.clock_ms;
  worker_clock_read_at_ = now;
  has_worker_clock_ = true;
  ApplyLists(in, sent, now);
  if (call.fencing_token >= lists_epoch_) {
    if (call.fencing_token > lists_epoch_) {
      report_due_ = true;
    }
    lists_epoch_ = call.fencing_token;
  }
  UpdatePace(now);
  // Until listed ends are acknowledged, the worker replies to each call at
  // once.
  if (!ends_.empty()) {
    next_lease_call_at_ = now + kUnacknowledgedEndsCallInterval;
  }
}

void supervisor::DropLongCheckpoint(const run_key& run,
                                    std::string& checkpoint,
                                    boot_time now) {
  // Each list of the worker repeats the checkpoints of its runs.
  constexpr millis kLogInterval{1'000};
  if (checkpoint.size() <= kMaxCheckpointBytes) {
    return;
  }
  if (now - long_checkpoint_logged_at_ >= kLogInterval) {
    long_checkpoint_logged_at_ = now;
    Log("checkpoint_too_long",
        {{"task", ToString(run.task)},
         {"run", Text(run.run)},
         {"bytes", Text(static_cast<int64_t>(checkpoint.size()))}});
  }
  checkpoint.clear();
}

void supervisor::ApplyLists(const lease_reply& in,
                            boot_time sent,
                            boot_time now) {
  for (const auto& end : in.ends) {
    const bool known =
        std::any_of(ends_.begin(), ends_.end(),
                    [&](const run_end& at) { return at.number == end.number; });
    if (end.number <= acknowledged_ || known) {
      continue;
    }
    ends_.push_back(end);
    Remember(end.run, now, ended_at_);
    DropLongCheckpoint(end.run, ends_.back().checkpoint, now);
    report_due_ = true;
    runs_.erase(end.run);
  }
  for (auto& [run, item] : runs_) {
    item.listed = false;
  }
  for (const auto& status : in.runs) {
    const bool ended =
        std::any_of(ends_.begin(), ends_.end(),
                    [&](const run_end& end) { return end.run == status.run; });
    if (ended) {
      continue;  // The replies arrived out of order.
    }
    auto [at, added] = runs_.try_emplace(status.run);
    auto& item = at->second;
    if (added) {
      item.order.run = status.run;
      // An earlier process of the runner may have throttled it.
      item.pace_unconfirmed = true;
      item.late_paces_until = now + options_.worker_lease;
    }
    if (item.phase == run_phase::kStarting) {
      item.phase = run_phase::kRunning;
    }
    item.status = status;
    item.status.started = true;
    DropLongCheckpoint(status.run, item.status.checkpoint, now);
    item.listed = true;
  }
  if (in.complete != lists_complete_) {
    Log("worker_lists", {{"complete", in.complete ? "yes" : "no"},
                         {"runs", Text(static_cast<int64_t>(in.runs.size()))},
                         {"ends", Text(static_cast<int64_t>(in.ends.size()))}});
    lists_complete_ = in.complete;
  }
  if (!lists_complete_) {
    return;
  }
  // A run whose start or stop was confirmed before the lists were requested and
  // that they do not contain is not running. Nor is one whose starts the worker
  // can no longer carry out, if nothing confirms the stop.
  for (auto at = runs_.begin(); at != runs_.end();) {
    auto& item = at->second;
    const bool confirmed =
        !item.call_in_flight &&
        (item.phase == run_phase::kRunning ||
         (item.phase == run_phase::kStopping && item.stop_confirmed)) &&
        sent > item.confirmed_at;
    const bool expired = (!item.call_in_flight || item.stop_in_flight) &&
                         item.phase == run_phase::kStopping &&
                         item.start_sent && in.clock_ms > item.latest_lease_ms;
    if (item.listed || !(confirmed || expired)) {
      ++at;
      continue;
    }
    const run_key run = at->first;
    const std::string why =
        item.refusal_reason.empty() ? "not_listed" : item.refusal_reason;
    at = runs_.erase(at);
    AddRefusal(run, why, now);
  }
}

bool supervisor::IsPacing() const {
  bool has_serving = false;
  bool has_best_effort = false;
  for (const auto& [run, item] : runs_) {
    has_serving = has_serving || item.order.latency_target.count() > 0;
    has_best_effort = has_best_effort || item.order.best_effort;
  }
  return has_serving && has_best_effort;
}

void supervisor::UpdatePace(boot_time now) {
  // Just below the half second over which the worker measures loads.
  constexpr millis kMinPaceUpdateInterval{400};
  if (now - pace_updated_at_ < kMinPaceUpdateInterval) {
    return;
  }
  pace_updated_at_ = now;
  std::map<run_key, interference_sample::serving_task> serving;
  std::vector<best_effort_run> best_effort_runs;
  for (auto& [run, item] : runs_) {
    if (!item.listed || item.status.load < 0) {
      continue;
    }
    if (item.order.latency_target.count() > 0) {
      item.latency_ms = item.filter.Update(item.status.load, now);
      const auto target =
          static_cast<double>(item.order.latency_target.count());
      serving[run] = {item.order.image, item.latency_ms / target,
                      item.status.load / target};
    } else if (item.order.best_effort) {
      best_effort_runs.push_back({run, item.order.image,
                                  item.status.load / kMillicoresPerCore,
                                  CoresOf(item.order)});
    }
  }
  const auto before = pacer_.lowest_percent();
  pacer_.Update(serving, best_effort_runs, now);
  if (const auto after = pacer_.lowest_percent(); after != before) {
    double worst = 0;
    for (const auto& [run, task] : serving) {
      worst = std::max(worst, task.measured);
    }
    Log("fillers_paced",
        {{"lowest_percent", Text(after)},
         {"before", Text(before)},
         {"fillers", Text(static_cast<int64_t>(best_effort_runs.size()))},
         {"worst_percent_of_target", Text(static_cast<int64_t>(worst * 100))}});
  }
}

std::vector<pace_call> supervisor::TakePaces(boot_time now) {
  std::vector<pace_call> out;
  if (!has_heartbeat_ || worker_gone_) {
    return out;
  }
  auto open = std::count_if(runs_.begin(), runs_.end(), [](const auto& each) {
    return each.second.pace_in_flight;
  });
  for (auto& [run, item] : runs_) {
    if (open >= options_.max_calls) {
      break;
    }
    if (item.phase != run_phase::kRunning || !item.order.best_effort ||
        item.pace_in_flight) {
      continue;
    }
    const auto percent = pacer_.PercentOf(run);
    // The worker's lists do not show the throttle, so that an earlier call that
    // is carried out late would go unnoticed.
    const bool repeat =
        (item.pace_unconfirmed || item.late_paces_until != boot_time{}) &&
        now >= item.next_pace_at;
    if (item.requested_percent == percent && !repeat) {
      continue;
    }
    item.requested_percent = percent;
    item.pace_in_flight = true;
    ++open;
    item.pace_unconfirmed = true;
    if (now >= item.late_paces_until) {
      item.late_paces_until = {};
    }
    out.push_back({heartbeat_.instance, run, percent, epoch_});
  }
  return out;
}

void supervisor::OnPaceReply(const pace_call& call,
                             call_status status,
                             boot_time now) {
  const auto at = runs_.find(call.run);
  if (at == runs_.end()) {
    return;
  }
  auto& item = at->second;
  item.pace_in_flight = false;
  if (status == call_status::kOk) {
    item.pace_unconfirmed = false;
    // The last repetition is sent when no earlier call can follow it.
    item.next_pace_at =
        std::min(now + kPaceRepeatInterval, item.late_paces_until);
    return;
  }
  item.next_pace_at = now + options_.retry_delay;
  if (status == call_status::kNoReply) {
    item.late_paces_until = now + options_.worker_lease;
  }
}

report supervisor::MakeReport(boot_time now) {
  report_due_ = false;
  report out;
  out.vm = options_.vm;
  out.address = options_.address;
  out.runner_incarnation = options_.runner_incarnation;
  out.sequence = ++sequence_;
  out.boot_clock_ms =
      std::chrono::duration_cast<millis>(now.time_since_epoch()).count();
  first_report_ms_ = std::min(first_report_ms_, out.boot_clock_ms);
  out.epoch = epoch_;
  out.answered = answered_;
  out.worker_incarnation = incarnation_;
  out.instance = heartbeat_.instance;
  out.service = heartbeat_.service;
  out.data_centre = heartbeat_.data_centre;
  out.rack = heartbeat_.rack;
  out.labels = heartbeat_.labels;
  out.capacity = heartbeat_.capacity;
  out.remaining = heartbeat_.remaining;
  const bool refusing = IsRefusing(now);
  const bool unknown = !has_heartbeat_ || refusing || IsUnresponsive(now);
  out.phase = worker_gone_  ? worker_phase::kGone
              : unknown     ? worker_phase::kUnknown
              : IsLeaving() ? worker_phase::kDraining
                            : worker_phase::kReady;
  out.omits_runs = last_full_report_.epoch == epoch_ &&
                   last_full_report_.worker_incarnation == incarnation_ &&
                   now - last_full_report_.sent_at < kRunListInterval;
  if (!out.omits_runs) {
    const bool has_lists = has_worker_clock_ && lists_complete_ && !refusing &&
                           lists_epoch_ == epoch_ &&
                           now - last_lease_reply_at_ < kMaxListAge;
    // Without a lease the worker runs nothing. It may have ends to list.
    out.complete = has_lists || (runs_.empty() && IsLeaseOver(now));
    size_t checkpoint_bytes = 0;
    for (const auto& [run, item] : runs_) {
      out.runs.push_back(item.status);
      checkpoint_bytes += item.status.checkpoint.size();
      if (checkpoint_bytes > kMaxReportedCheckpointBytes) {
        // Needed only if the VM is lost; the end of the run has it too.
        out.runs.back().checkpoint.clear();
      }
      out.runs.back().pace = item.requested_percent;
      if (item.latency_ms > 0) {
        out.runs.back().load = static_cast<int32_t>(item.latency_ms);
      }
    }
  }
  out.ends = ends_;
  out.refusals = refusals_;
  return out;
}

void supervisor::OnReportReply(const report& sent_report,
                               const report_reply& in,
                               boot_time sent) {
  if (!OnCoordinator(in.epoch, "")) {
    return;
  }
  answered_ = std::max(answered_, sent_report.sequence);
  if (!sent_report.omits_runs) {
    last_full_report_ = {sent_report.epoch, sent_report.worker_incarnation,
                         sent};
  }
  if (in.grant > millis(0)) {
    grant_until_ = std::max(grant_until_, sent + in.grant);
  }
  if (in.worker_incarnation == incarnation_ &&
      in.acknowledged > acknowledged_) {
    acknowledged_ = in.acknowledged;
    std::erase_if(
        ends_, [&](const run_end& end) { return end.number <= acknowledged_; });
    next_lease_call_at_ = {};
  }
  std::erase_if(refusals_, [&](const run_refusal& at) {
    return std::find(sent_report.refusals.begin(), sent_report.refusals.end(),
                     at) != sent_report.refusals.end();
  });
}

}  // namespace chiveglade::workflow
