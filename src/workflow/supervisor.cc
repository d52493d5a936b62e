#include "chiveglade/workflow/supervisor.h"

#include <algorithm>

namespace chiveglade::workflow {

namespace {

// Unanswered starts are repeated this often before the run is given up.
constexpr uint32_t kMaxStartTries = 6;
// A start is not worth its risk when less than this is left of the grant.
constexpr millis kShortestGrant{300};
// While ends wait for their acknowledgement the lists change only by new ends.
constexpr millis kHoldOff{60};
// Reports list the runs this often; those between carry only ends and refusals,
// which come several times as often. Just below the usual report interval.
constexpr millis kListEvery{450};
// Longer than an order may be on its way and still be valid.
constexpr millis kRefusalMemory{30'000};
constexpr double kMillicores = 1'000;  // in a core

constexpr uint32_t kFullPace = 100;
constexpr uint32_t kUnknownPace = 101;  // differs from all that can be asked

std::string Text(int64_t value) {
  return std::to_string(value);
}

// Processors that a task asks for.
double CoresOf(const start_order& order) {
  return static_cast<double>(order.millicores) / kMillicores;
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
    : options_(std::move(options)) {}

void supervisor::Log(
    const char* event,
    const std::vector<std::pair<std::string, std::string>>& fields) const {
  if (options_.log) {
    options_.log(event, fields);
  }
}

void supervisor::BeginLife(int64_t born,
                           const std::string& instance,
                           boot_time now) {
  Log("worker_life", {{"instance", instance},
                      {"born", Text(born)},
                      {"runs_over", Text(static_cast<int64_t>(runs_.size()))}});
  born_ = born;
  has_beat_ = false;
  gone_ = false;
  left_ = false;
  refused_since_ = {};
  has_clock_ = false;
  runs_.clear();
  ends_.clear();
  refusals_.clear();
  refused_at_.clear();
  acknowledged_ = 0;
  listed_epoch_ = 0;
  // An earlier runner process may have asked for a lease.
  lease_over_ = now + WithClockMargin(options_.worker_lease);
  lease_answered_ = now;
  beat_ = {};
  news_ = true;
}

bool supervisor::OnHeartbeat(const worker_heartbeat& in, boot_time now) {
  if (in.born < born_ ||
      (in.born == born_ && has_beat_ && in.sequence < beat_.sequence) ||
      (in.born == born_ && left_)) {
    return false;
  }
  if (in.born > born_) {
    BeginLife(in.born, in.instance, now);
  }
  if (gone_) {
    gone_ = false;
    news_ = true;
  }
  if (!has_beat_ || in.draining != beat_.draining) {
    Log("worker_heard", {{"instance", in.instance},
                         {"draining", in.draining ? "yes" : "no"},
                         {"remaining_ms", Text(in.remaining.count())}});
    news_ = true;
  }
  beat_ = in;
  has_beat_ = true;
  beat_at_ = now;
  return true;
}

void supervisor::OnWorkerExit(const std::string& instance, boot_time now) {
  if (!has_beat_ || instance != beat_.instance || gone_) {
    return;
  }
  Log("worker_left", {{"instance", instance}});
  gone_ = true;
  left_ = true;
  beat_at_ = now;
  runs_.clear();
  news_ = true;
}

bool supervisor::OnCoordinator(uint64_t epoch, const std::string& address) {
  if (epoch < epoch_) {
    return false;
  }
  if (epoch > epoch_) {
    Log("coordinator_adopted",
        {{"epoch", Text(static_cast<int64_t>(epoch))}, {"address", address}});
    epoch_ = epoch;
    news_ = true;
  }
  if (!address.empty()) {
    coordinator_ = address;
  }
  return true;
}

void supervisor::OnOrders(const orders& in, boot_time now) {
  if (!OnCoordinator(in.epoch, in.coordinator) ||
      in.worker_incarnation != born_ || gone_) {
    return;
  }
  acknowledged_ = std::max(acknowledged_, in.acknowledged);
  std::erase_if(
      ends_, [&](const run_end& end) { return end.number <= acknowledged_; });
  hold_off_until_ = {};
  const boot_time start_before(millis(in.tick_ms) +
                               std::min(in.valid_for, kStartValidity));
  for (const auto& order : in.starts) {
    const auto at = runs_.find(order.run);
    if (at != runs_.end()) {
      at->second.order = order;
      continue;
    }
    const bool ended =
        std::any_of(ends_.begin(), ends_.end(),
                    [&](const run_end& end) { return end.run == order.run; });
    if (ended) {
      news_ = true;
    } else if (refused_at_.contains(order.run)) {
      Refuse(order.run, "refused_before", now);
    } else if (now > start_before) {
      Log("order_expired",
          {{"task", ToString(order.run.task)},
           {"run", Text(order.run.run)},
           {"late_ms",
            Text(std::chrono::duration_cast<millis>(now - start_before)
                     .count())}});
    } else if (!has_beat_ || beat_.draining) {
      Refuse(order.run, has_beat_ ? "draining" : "worker_unknown", now);
    } else {
      tracked next;
      next.order = order;
      next.status.run = order.run;
      next.start_before = start_before;
      runs_.emplace(order.run, std::move(next));
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
    if (at->second.at != phase::kStopping) {
      StopTracking(at->second, "stopped", now);
    }
  }
}

void supervisor::StopTracking(tracked& run,
                              const std::string& why,
                              boot_time now) {
  run.at = phase::kStopping;
  run.refusal = why;
  run.stop_answered = false;
  run.tries = 0;
  run.next_try = now;
}

void supervisor::Refuse(const run_key& run,
                        const std::string& why,
                        boot_time now) {
  Log("run_refused",
      {{"task", ToString(run.task)}, {"run", Text(run.run)}, {"reason", why}});
  refusals_.push_back({run, why});
  news_ = true;
  std::erase_if(refused_at_, [now](const auto& item) {
    return now - item.second > kRefusalMemory;
  });
  refused_at_[run] = now;
}

millis supervisor::GrantLeft(boot_time now) const {
  return std::max(millis(0),
                  std::chrono::duration_cast<millis>(grant_until_ - now));
}

int64_t supervisor::WorkerTimeAfter(millis length, boot_time now) const {
  // The worker's clock may be fast, so a time on it is counted as shorter.
  const auto since = std::chrono::duration_cast<millis>(now - clock_at_);
  const double rate = 1.0 - kMaxClockRateError;
  return clock_ms_ + static_cast<int64_t>(
                         static_cast<double>((since + length).count()) * rate);
}

void supervisor::DropExpiredStarts(boot_time now) {
  for (auto at = runs_.begin(); at != runs_.end();) {
    auto& item = at->second;
    const bool expired = beat_.draining || now > item.start_before;
    if (item.at != phase::kStarting || item.in_flight || !expired) {
      ++at;
      continue;
    }
    const char* why = beat_.draining ? "draining" : "expired";
    if (item.tries > 0) {
      StopTracking(item, why, now);
      ++at;
      continue;
    }
    const run_key run = at->first;
    at = runs_.erase(at);
    Refuse(run, why, now);
  }
}

std::vector<start_call> supervisor::TakeStarts(boot_time now) {
  std::vector<start_call> out;
  if (!has_clock_ || !has_beat_ || gone_) {
    return out;
  }
  const auto left = std::min(GrantLeft(now), options_.worker_lease);
  DropExpiredStarts(now);
  for (auto& [run, item] : runs_) {
    if (item.at != phase::kStarting || item.in_flight || now < item.next_try) {
      continue;
    }
    if (left < kShortestGrant) {
      continue;  // The next answer to a report brings a grant, or stops come.
    }
    start_call call;
    call.instance = beat_.instance;
    call.run = run;
    call.payload = item.order.payload;
    call.checkpoint = item.order.checkpoint;
    call.ticket = item.order.ticket;
    call.lease_until_ms = WorkerTimeAfter(left, now);
    call.token = epoch_;
    item.in_flight = true;
    ++item.tries;
    ++starts_in_flight_;
    out.push_back(std::move(call));
  }
  return out;
}

std::vector<stop_call> supervisor::TakeStops(boot_time now) {
  std::vector<stop_call> out;
  if (!has_beat_ || gone_) {
    return out;
  }
  for (auto& [run, item] : runs_) {
    if (item.at == phase::kStopping && !item.in_flight && !item.stop_answered &&
        now >= item.next_try) {
      item.in_flight = true;
      out.push_back({beat_.instance, run, epoch_});
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
    OnLeaseSent(call.lease_until_ms, sent);
  }
  const run_key run = call.run;
  const auto at = runs_.find(run);
  if (at == runs_.end()) {
    return;
  }
  auto& item = at->second;
  item.in_flight = false;
  if (status != call_status::kOk) {
    Log("start_answer", {{"task", ToString(run.task)},
                         {"run", Text(run.run)},
                         {"outcome", ToString(status)},
                         {"tries", Text(item.tries)}});
  }
  if (item.at != phase::kStarting) {
    item.unsure = item.unsure || status == call_status::kNoReply;
    return;  // An order to stop it came meanwhile, or the lists show it.
  }
  switch (status) {
    case call_status::kOk:
      item.at = phase::kRunning;
      item.settled_at = now;
      if (item.order.best_effort) {
        pacer_.Admit({run, item.order.image, 0, CoresOf(item.order)});
      }
      return;
    case call_status::kNoReply:
    case call_status::kNotSent:
    case call_status::kNotListening:
      item.unsure = item.unsure || was_sent;
      item.next_try = now + options_.retry_after;
      if (item.tries >= kMaxStartTries) {
        StopTracking(item, "no_answer", now);
      }
      return;
    case call_status::kLeasePast:
      item.next_try = now + options_.retry_after;
      return;
    case call_status::kSuperseded:
      // It may have run and ended; the next lists show that.
      item.at = phase::kStopping;
      item.refusal = "superseded";
      item.stop_answered = true;
      item.settled_at = now;
      return;
    case call_status::kWrongInstance:
      runs_.erase(at);
      news_ = true;
      return;
    default:
      if (item.unsure) {
        // An earlier copy of the start may still be carried out.
        StopTracking(item, ToString(status), now);
        return;
      }
      runs_.erase(at);
      Refuse(run, ToString(status), now);
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
  item.in_flight = false;
  switch (status) {
    case call_status::kOk:
    case call_status::kSuperseded:
      item.stop_answered = true;
      item.settled_at = now;
      return;
    case call_status::kWrongInstance:
      runs_.erase(at);
      news_ = true;
      return;
    default:
      item.next_try = now + options_.retry_after;
      return;
  }
}

std::optional<lease_call> supervisor::NextLease(boot_time now) {
  if (gone_ || now < hold_off_until_) {
    return std::nullopt;
  }
  lease_call out;
  out.instance = has_beat_ ? beat_.instance : "";
  out.token = epoch_;
  out.acknowledged = acknowledged_;
  const auto left = std::min(GrantLeft(now), options_.worker_lease);
  if (has_clock_ && left > millis(0)) {
    out.lease_until_ms = WorkerTimeAfter(left, now);
  }
  const bool urgent =
      !has_clock_ || listed_epoch_ < epoch_ ||
      std::any_of(runs_.begin(), runs_.end(),
                  [](const auto& item) { return item.second.stop_answered; });
  out.wait = urgent ? millis(0)
                    : (IsPacing() ? options_.paced_wait : options_.lease_wait);
  return out;
}

void supervisor::OnLeaseReply(const lease_call& call,
                              const lease_reply& in,
                              boot_time sent,
                              boot_time now) {
  if (in.status != call_status::kNotSent &&
      in.status != call_status::kNotListening) {
    OnLeaseSent(call.lease_until_ms, sent);
  }
  if (in.status != call_status::kOk) {
    OnLeaseFailed(in.status, now);
    return;
  }
  refused_since_ = {};
  if (in.born < born_ || (in.born == born_ && gone_)) {
    return;
  }
  if (in.born > born_) {
    BeginLife(in.born, "", now);
  }
  lease_answered_ = now;
  clock_ms_ = in.clock_ms;
  clock_at_ = now;
  has_clock_ = true;
  UpdateLists(in, sent, now);
  if (call.token >= listed_epoch_) {
    if (call.token > listed_epoch_) {
      news_ = true;
    }
    listed_epoch_ = call.token;
  }
  UpdatePace(now);
  // Ends that are listed answer every call at once until acknowledged.
  if (!ends_.empty()) {
    hold_off_until_ = now + kHoldOff;
  }
}

void supervisor::OnLeaseSent(int64_t lease_until_ms, boot_time sent) {
  if (lease_until_ms == 0 || !has_clock_) {
    return;
  }
  // The worker's clock, read at `clock_at_`, may be slow.
  const auto length = millis(lease_until_ms - clock_ms_) -
                      std::chrono::duration_cast<millis>(sent - clock_at_);
  lease_over_ =
      std::max(lease_over_, sent + WithClockMargin(std::max(length, millis(0)) +
                                                   options_.retry_after));
}

void supervisor::OnLeaseFailed(call_status status, boot_time now) {
  if (gone_ || born_ == 0 || starts_in_flight_ > 0) {
    return;
  }
  if (status != call_status::kNotListening) {
    refused_since_ = {};
  } else if (refused_since_ == boot_time{}) {
    refused_since_ = now;
  }
  const bool refused = refused_since_ != boot_time{} &&
                       now - refused_since_ >= options_.refusal_silence;
  const bool silent = now > lease_over_ &&
                      now - beat_at_ > options_.beat_silence &&
                      now - lease_answered_ > options_.beat_silence;
  if (!refused && !silent) {
    return;
  }
  Log("worker_lost",
      {{"instance", beat_.instance},
       {"reason", refused ? "not_listening" : "silent"},
       {"heard_ms_ago",
        Text(std::chrono::duration_cast<millis>(now - lease_answered_)
                 .count())}});
  gone_ = true;
  runs_.clear();
  news_ = true;
}

void supervisor::UpdateLists(const lease_reply& in,
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
    news_ = true;
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
      continue;  // The answers crossed.
    }
    auto [at, added] = runs_.try_emplace(status.run);
    auto& item = at->second;
    if (added) {
      item.order.run = status.run;
    }
    if (item.at == phase::kStarting) {
      item.at = phase::kRunning;
    }
    item.status = status;
    item.status.started = true;
    item.listed = true;
  }
  // A run that was settled before the call and is not listed does not run.
  for (auto at = runs_.begin(); at != runs_.end();) {
    auto& item = at->second;
    const bool settled =
        !item.listed && !item.in_flight &&
        (item.at == phase::kRunning ||
         (item.at == phase::kStopping && item.stop_answered)) &&
        sent > item.settled_at;
    if (!settled) {
      ++at;
      continue;
    }
    const run_key run = at->first;
    const std::string why = item.refusal.empty() ? "not_listed" : item.refusal;
    at = runs_.erase(at);
    Refuse(run, why, now);
  }
}

bool supervisor::IsPacing() const {
  bool serves = false;
  bool best_effort = false;
  for (const auto& [run, item] : runs_) {
    serves = serves || item.order.latency_target.count() > 0;
    best_effort = best_effort || item.order.best_effort;
  }
  return serves && best_effort;
}

void supervisor::UpdatePace(boot_time now) {
  // The figures are for the last half second.
  constexpr millis kPaceInterval{400};
  if (now - paced_at_ < kPaceInterval) {
    return;
  }
  paced_at_ = now;
  std::map<run_key, interference_sample::serving_task> serving;
  std::vector<paced_run> fillers;
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
      fillers.push_back({run, item.order.image, item.status.load / kMillicores,
                         CoresOf(item.order)});
    }
  }
  const auto before = pacer_.lowest();
  pacer_.Update(serving, fillers, now);
  if (const auto after = pacer_.lowest(); after != before) {
    double worst = 0;
    for (const auto& [run, task] : serving) {
      worst = std::max(worst, task.measured);
    }
    Log("fillers_paced",
        {{"lowest_percent", Text(after)},
         {"before", Text(before)},
         {"fillers", Text(static_cast<int64_t>(fillers.size()))},
         {"worst_percent_of_target", Text(static_cast<int64_t>(worst * 100))}});
  }
}

std::vector<pace_call> supervisor::TakePaces() {
  std::vector<pace_call> out;
  if (!has_beat_ || gone_) {
    return out;
  }
  for (auto& [run, item] : runs_) {
    const auto percent = pacer_.PercentOf(run);
    if (item.at == phase::kRunning && item.order.best_effort &&
        item.paced != percent) {
      item.paced = percent;
      out.push_back({beat_.instance, run, item.paced, epoch_});
    }
  }
  return out;
}

void supervisor::OnPaceReply(const pace_call& call, call_status status) {
  const auto at = runs_.find(call.run);
  if (at != runs_.end() && status != call_status::kOk) {
    at->second.paced = kUnknownPace;  // Sent again.
  }
}

report supervisor::MakeReport(boot_time now) {
  news_ = false;
  report out;
  out.vm = options_.vm;
  out.address = options_.address;
  out.runner_incarnation = options_.runner_incarnation;
  out.sequence = ++sequence_;
  out.tick_ms =
      std::chrono::duration_cast<millis>(now.time_since_epoch()).count();
  out.epoch = epoch_;
  out.worker_incarnation = born_;
  out.instance = beat_.instance;
  out.service = beat_.service;
  out.data_centre = beat_.data_centre;
  out.rack = beat_.rack;
  out.labels = beat_.labels;
  out.capacity = beat_.capacity;
  out.remaining = beat_.remaining;
  out.phase = gone_            ? worker_phase::kGone
              : !has_beat_     ? worker_phase::kUnknown
              : beat_.draining ? worker_phase::kDraining
                               : worker_phase::kReady;
  constexpr millis kFreshLists{1'500};
  out.omits_runs = listed_report_.epoch == epoch_ &&
                   listed_report_.worker_incarnation == born_ &&
                   now - listed_report_.at < kListEvery;
  if (!out.omits_runs) {
    out.complete = has_clock_ && listed_epoch_ == epoch_ &&
                   now - lease_answered_ < kFreshLists;
    for (const auto& [run, item] : runs_) {
      out.runs.push_back(item.status);
      out.runs.back().pace = std::min(item.paced, kFullPace);
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
  if (!sent_report.omits_runs) {
    listed_report_ = {sent_report.epoch, sent_report.worker_incarnation, sent};
  }
  if (in.grant > millis(0)) {
    grant_until_ = std::max(grant_until_, sent + in.grant);
  }
  if (in.worker_incarnation == born_ && in.acknowledged > acknowledged_) {
    acknowledged_ = in.acknowledged;
    std::erase_if(
        ends_, [&](const run_end& end) { return end.number <= acknowledged_; });
    hold_off_until_ = {};
  }
  std::erase_if(refusals_, [&](const run_refusal& at) {
    return std::find(sent_report.refusals.begin(), sent_report.refusals.end(),
                     at) != sent_report.refusals.end();
  });
}

}  // namespace chiveglade::workflow
