// What a runner concludes from what it hears of its worker: which incarnation
// it is, whether it is about to exit, and when it is gone.
#include <algorithm>
#include <utility>

#include "chiveglade/workflow/supervisor.h"

namespace chiveglade::workflow {

namespace {

// Interval between probes while the worker does not reply.
constexpr millis kProbeRetryInterval{300};
// A worker numbers its heartbeats one by one and sends them no faster than
// this; some may have gone elsewhere or been lost.
constexpr millis kMinHeartbeatInterval{100};
constexpr uint64_t kSequenceMargin = 100;
// While calls are not answered, a worker whose heartbeats arrive is asked for
// longer leases for this long: it may carry out what it does not answer. A
// heartbeat may have been sent before the worker was lost, so the time is short
// enough for its tasks to run again 9 s after the loss.
constexpr millis kUnansweredExtensionTime{2'000};

}  // namespace

supervisor::tracked_runs supervisor::TakeUnlocatedStarts(boot_time now) {
  tracked_runs out;
  for (auto& [run, item] : runs_) {
    // A listed run was there; its start call cannot run a second time.
    const bool located = item.status.started && !item.call_in_flight;
    if (!item.start_sent || located) {
      continue;
    }
    auto& next = out[run];
    next.order = std::move(item.order);
    next.status.run = run;
    next.start_sent = true;
    // By the clock of the previous incarnation.
    next.latest_lease_ms = INT64_MAX;
    next.call_in_flight = item.call_in_flight;
    next.stop_in_flight = item.stop_in_flight;
    next.stop_incarnation = item.stop_incarnation;
    BeginStop(next, "worker_restarted", now);
  }
  runs_.clear();
  return out;
}

void supervisor::BeginIncarnation(int64_t incarnation, boot_time now) {
  const auto known = static_cast<int64_t>(runs_.size());
  runs_ = TakeUnlocatedStarts(now);
  const auto unlocated = static_cast<int64_t>(runs_.size());
  Log("worker_life", {{"born", std::to_string(incarnation)},
                      {"runs_over", std::to_string(known - unlocated)},
                      {"starts_unlocated", std::to_string(unlocated)}});
  incarnation_ = incarnation;
  has_heartbeat_ = false;
  worker_gone_ = false;
  exit_announced_ = false;
  connect_refused_since_ = {};
  reported_refusing_ = false;
  has_worker_clock_ = false;
  ends_.clear();
  refusals_.clear();
  refused_at_.clear();
  ended_at_.clear();
  acknowledged_ = 0;
  lists_epoch_ = 0;
  lists_complete_ = true;
  // An earlier runner process may have sent a lease that is not known here.
  latest_lease_end_ = now + WithClockMargin(options_.worker_lease);
  latest_lease_requested_ms_ = 0;
  unanswered_since_ = {};
  reported_unresponsive_ = false;
  if (earlier_starts_until_ == boot_time{}) {
    // The worker carries out no start whose lease is over.
    earlier_starts_until_ = latest_lease_end_;
  }
  last_lease_reply_at_ = now;
  heartbeat_ = {};
  contradicting_heartbeat_.reset();
  report_due_ = true;
}

bool supervisor::OnHeartbeat(const worker_heartbeat& in, boot_time now) {
  if (in.incarnation < incarnation_ ||
      (in.incarnation == incarnation_ && has_heartbeat_ &&
       in.sequence < heartbeat_.sequence)) {
    return false;
  }
  if (in.incarnation > incarnation_) {
    if (!unconfirmed_heartbeat_ || *unconfirmed_heartbeat_ != in) {
      unconfirmed_since_ = now;
      next_probe_at_ = now;
    }
    unconfirmed_heartbeat_ = in;
    incarnation_confirmed_ = false;
    return true;
  }
  if (Contradicts(in, now)) {
    const auto earlier = std::exchange(contradicting_heartbeat_, in);
    // Two in a row that agree outweigh one that may have been another writer's.
    const bool confirmed = earlier && earlier->instance == in.instance &&
                           earlier->service == in.service &&
                           earlier->sequence < in.sequence;
    if (!confirmed) {
      Log("heartbeat_of_another_worker",
          {{"instance", in.instance},
           {"service", in.service},
           {"sequence", std::to_string(in.sequence)},
           {"last_sequence", std::to_string(heartbeat_.sequence)}});
      return false;
    }
  }
  TakeHeartbeat(in, now);
  return true;
}

bool supervisor::Contradicts(const worker_heartbeat& in, boot_time now) const {
  if (!has_heartbeat_) {
    return false;
  }
  const auto highest =
      heartbeat_.sequence + kSequenceMargin +
      static_cast<uint64_t>((now - last_heartbeat_at_) / kMinHeartbeatInterval);
  return in.instance != heartbeat_.instance ||
         in.service != heartbeat_.service || in.sequence > highest;
}

void supervisor::TakeHeartbeat(const worker_heartbeat& in, boot_time now) {
  if (worker_gone_) {
    worker_gone_ = false;
    report_due_ = true;
  }
  if (exit_announced_ && !in.draining) {
    // A worker that leaves drains first, so the notice was not its own.
    Log("exit_notice_void", {{"instance", in.instance}});
    exit_announced_ = false;
    report_due_ = true;
  }
  if (!has_heartbeat_ || in.draining != heartbeat_.draining) {
    Log("worker_heard",
        {{"instance", in.instance},
         {"draining", in.draining ? "yes" : "no"},
         {"remaining_ms", std::to_string(in.remaining.count())}});
    report_due_ = true;
  }
  heartbeat_ = in;
  contradicting_heartbeat_.reset();
  has_heartbeat_ = true;
  last_heartbeat_at_ = now;
}

void supervisor::CheckUnconfirmedHeartbeat(int64_t incarnation,
                                           boot_time sent,
                                           boot_time now) {
  if (!unconfirmed_heartbeat_) {
    return;
  }
  if (unconfirmed_heartbeat_->incarnation <= incarnation) {
    const auto heard = *std::exchange(unconfirmed_heartbeat_, std::nullopt);
    if (heard.incarnation == incarnation) {
      TakeHeartbeat(heard, now);
    }
  } else if (sent >= unconfirmed_since_) {
    Log("heartbeat_of_another_worker",
        {{"instance", unconfirmed_heartbeat_->instance},
         {"service", unconfirmed_heartbeat_->service},
         {"born", std::to_string(unconfirmed_heartbeat_->incarnation)},
         {"worker_born", std::to_string(incarnation)}});
    unconfirmed_heartbeat_.reset();
  }
}

void supervisor::OnWorkerExit(const std::string& instance, boot_time now) {
  if (!has_heartbeat_ || instance != heartbeat_.instance || worker_gone_ ||
      exit_announced_) {
    return;
  }
  Log("worker_leaving", {{"instance", instance}});
  exit_announced_ = true;
  last_heartbeat_at_ = now;
  report_due_ = true;
}

void supervisor::OnSuspension(millis length, boot_time now) {
  Log("vm_suspended",
      {{"length_ms", std::to_string(length.count())},
       {"grant_left_ms", std::to_string(GrantLeft(now).count())}});
  worker_clock_read_at_ += length;
  latest_lease_end_ += length;
  suspended_lease_end_ = latest_lease_end_;
  if (earlier_starts_until_ != boot_time{}) {
    earlier_starts_until_ += length;
  }
  for (auto& [run, item] : runs_) {
    if (item.late_paces_until != boot_time{}) {
      item.late_paces_until += length;
    }
  }
  // The worker could not be heard meanwhile.
  last_heartbeat_at_ += length;
  last_lease_reply_at_ += length;
  for (auto* since : {&unanswered_since_, &connect_refused_since_}) {
    if (*since != boot_time{}) {
      *since += length;
    }
  }
}

void supervisor::StopRunsBeyondGrant(boot_time now) {
  if (GrantLeft(now) > millis(0) || now > suspended_lease_end_) {
    return;
  }
  for (auto& [run, item] : runs_) {
    if (item.phase == run_phase::kRunning ||
        (item.phase == run_phase::kStarting && item.start_sent)) {
      BeginStop(item, "suspended", now);
    }
  }
}

std::optional<lease_call> supervisor::TakeProbe(boot_time now) {
  if (!unconfirmed_heartbeat_ || now < next_probe_at_) {
    return std::nullopt;
  }
  next_probe_at_ = now + kProbeRetryInterval;
  lease_call out;
  out.fencing_token = epoch_;
  return out;
}

int64_t supervisor::NextLeaseEnd(millis left, boot_time now) {
  const int64_t end = WorkerTimeAfter(left, now);
  const bool may_extend = unanswered_since_ == boot_time{} ||
                          (last_heartbeat_at_ > unanswered_since_ &&
                           now - unanswered_since_ < kUnansweredExtensionTime);
  if (may_extend) {
    latest_lease_requested_ms_ = std::max(latest_lease_requested_ms_, end);
  }
  return std::min(end, latest_lease_requested_ms_);
}

void supervisor::OnNoReply(boot_time sent) {
  if (unanswered_since_ == boot_time{}) {
    unanswered_since_ = sent;
  }
}

void supervisor::OnLeaseSent(int64_t lease_until_ms,
                             bool answered,
                             boot_time sent,
                             boot_time now) {
  if (lease_until_ms == 0 || !has_worker_clock_) {
    return;
  }
  // WithClockMargin() allows for a slow worker clock.
  const auto length =
      millis(lease_until_ms - worker_clock_ms_) -
      std::chrono::duration_cast<millis>(sent - worker_clock_read_at_);
  const auto end = sent + WithClockMargin(std::max(length, millis(0)) +
                                          options_.retry_delay);
  // The call may have been sent by the clock of an earlier incarnation. The
  // worker takes its longest lease then, from when it carries out the call.
  const millis late = answered ? millis(0) : options_.worker_lease;
  const auto longest = now + WithClockMargin(late + options_.worker_lease);
  latest_lease_end_ = std::max(latest_lease_end_, std::min(end, longest));
}

void supervisor::OnLeaseFailed(call_status status, boot_time now) {
  if (worker_gone_ || incarnation_ == 0 || starts_in_flight_ > 0) {
    return;
  }
  if (status != call_status::kNotListening) {
    connect_refused_since_ = {};
  } else if (connect_refused_since_ == boot_time{}) {
    connect_refused_since_ = now;
  }
  if (IsRefusing(now) && !reported_refusing_) {
    Log("worker_not_listening", {{"instance", heartbeat_.instance}});
    reported_refusing_ = true;
    report_due_ = true;
  }
  if (IsUnresponsive(now) && !std::exchange(reported_unresponsive_, true)) {
    Log("worker_unresponsive", {{"instance", heartbeat_.instance}});
    report_due_ = true;
  }
  // A worker that cannot be reached may run on until its lease is over. One
  // that has drained, announced its exit and no longer listens has ended. A
  // notice without draining may be of its life before.
  const bool exited = exit_announced_ && heartbeat_.draining &&
                      connect_refused_since_ != boot_time{};
  const bool lease_over = now > latest_lease_end_;
  const bool silent = now - last_heartbeat_at_ > options_.heartbeat_timeout &&
                      now - last_lease_reply_at_ > options_.heartbeat_timeout;
  if (!exited && !(lease_over && (IsRefusing(now) || silent))) {
    if (IsLeaseOver(now)) {
      RefuseAllRuns("unresponsive", now);
    }
    return;
  }
  Log("worker_lost",
      {{"instance", heartbeat_.instance},
       {"reason", exited            ? "exited"
                  : IsRefusing(now) ? "not_listening"
                                    : "silent"},
       {"heard_ms_ago", std::to_string(std::chrono::duration_cast<millis>(
                                           now - last_lease_reply_at_)
                                           .count())}});
  worker_gone_ = true;
  runs_.clear();
  report_due_ = true;
}

void supervisor::RefuseAllRuns(const std::string& why, boot_time now) {
  for (const auto& [run, item] : std::exchange(runs_, {})) {
    AddRefusal(run, why, now);
  }
}

bool supervisor::IsUnresponsive(boot_time now) const {
  return unanswered_since_ != boot_time{} &&
         now - last_lease_reply_at_ > options_.heartbeat_timeout;
}

bool supervisor::IsLeaseOver(boot_time now) const {
  return incarnation_ != 0 && starts_in_flight_ == 0 && IsUnresponsive(now) &&
         now > latest_lease_end_;
}

bool supervisor::IsRefusing(boot_time now) const {
  return connect_refused_since_ != boot_time{} &&
         now - connect_refused_since_ >= options_.connect_refused_timeout;
}

}  // namespace chiveglade::workflow
