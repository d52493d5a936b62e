#include "fake_worker.h"

#include <algorithm>

namespace chiveglade::testing {

using agent::worker_call;
using agent::worker_call_kind;
using agent::worker_call_outcome;
using agent::worker_call_status;
using agent::worker_state;

namespace {

constexpr millis kCheckpointTime{400};
const worker_call_outcome kCarriedOut{worker_call_status::kDone, {}};

worker_call_outcome Refused(const char* code) {
  return {worker_call_status::kRefused, {code, code}};
}

}  // namespace

worker_call_outcome fake_worker::Handle(const worker_call& call,
                                        boot_time now) {
  Advance(now);
  if (call.boot != boot_) {
    return Refused("boot");
  }
  if (call.kind == worker_call_kind::kStart) {
    return Start(call, now);
  }
  for (const auto& renewal : call.renewals) {
    const auto at = tasks_.find(renewal.attempt);
    if (at == tasks_.end() || !IsLive(at->second.task.state)) {
      continue;
    }
    auto& task = at->second.task;
    task.lease_until = std::max(task.lease_until, renewal.lease_until);
    task.grant_until = std::max(task.grant_until, renewal.grant_until);
  }
  for (const auto& attempt : call.forget) {
    const auto at = tasks_.find(attempt);
    if (at != tasks_.end() && !IsLive(at->second.task.state)) {
      tasks_.erase(at);
    }
  }
  const auto at = tasks_.find(call.attempt);
  if (at == tasks_.end()) {
    return call.attempt.number == 0 ? kCarriedOut : Refused("unknown");
  }
  if (call.kind == worker_call_kind::kStop && IsLive(at->second.task.state)) {
    at->second.task.state = worker_state::kStopping;
    at->second.stop_at =
        call.hard ? now : std::min(at->second.stop_at, now + kCheckpointTime);
    Advance(now);
  } else if (call.kind == worker_call_kind::kThrottle) {
    at->second.task.throttle_pct = call.percent;
  }
  return kCarriedOut;
}

worker_call_outcome fake_worker::Start(const worker_call& call, boot_time now) {
  if (now >= call.not_after) {
    return Refused("late");
  }
  if (tasks_.contains(call.attempt)) {
    return Refused("exists");
  }
  CheckStart(call, now);
  auto& made = tasks_[call.attempt];
  made.task.attempt = call.attempt;
  made.task.size = call.order.spec.per_task;
  made.task.run_lease = call.order.spec.run_lease;
  made.task.stop_grace = call.stop_grace;
  made.task.lease_until = call.lease_until;
  made.task.grant_until = call.grant_until;
  history_[call.attempt] = {boot_, now, boot_time::max(),
                            worker_state::kRunning, ""};
  return kCarriedOut;
}

void fake_worker::CheckStart(const worker_call& call, boot_time now) {
  const auto& id = call.attempt;
  const std::string name = id.task.job + "#" + std::to_string(id.number);
  if (now >= boot_time(millis(call.order.tick)) + state::kStartValidity +
                 agent::kStartCallLimit) {
    violations_.push_back("late start of " + name);
  }
  if (history_.contains(id)) {
    violations_.push_back("second start of " + name);
  }
  resources sum = call.order.spec.per_task;
  for (const auto& [other, what] : tasks_) {
    if (!IsLive(what.task.state)) {
      continue;
    }
    sum += what.task.size;
    if (other.task == id.task) {
      violations_.push_back("two attempts at once of " + name);
    }
  }
  if (!FitsWithin(sum, capacity_)) {
    violations_.push_back("above capacity with " + name);
  }
}

std::vector<agent::worker_task> fake_worker::List(boot_time now) {
  Advance(now);
  std::vector<agent::worker_task> out;
  for (const auto& [id, what] : tasks_) {
    out.push_back(what.task);
  }
  return out;
}

void fake_worker::Advance(boot_time now) {
  for (auto& [id, what] : tasks_) {
    if (!IsLive(what.task.state)) {
      continue;
    }
    const auto end = std::min(what.task.lease_until, what.stop_at);
    if (now >= end) {
      EndTask(
          what,
          end == what.stop_at ? worker_state::kStopped : worker_state::kLapsed,
          end);
    }
  }
}

void fake_worker::EndTask(entry& what, worker_state how, boot_time at) {
  what.task.state = how;
  if (how == worker_state::kStopped) {
    what.task.checkpoint = what.task.attempt.task.job + "/checkpoint";
    what.task.checkpoint_work = millis(1'000);
  }
  auto& past = history_[what.task.attempt];
  past.ended = at;
  past.how = how;
  past.checkpoint = what.task.checkpoint;
}

void fake_worker::Finish(const state::attempt_id& attempt,
                         bool failed,
                         boot_time now) {
  Advance(now);
  const auto at = tasks_.find(attempt);
  if (at != tasks_.end() && IsLive(at->second.task.state)) {
    EndTask(at->second,
            failed ? worker_state::kFailed : worker_state::kFinished, now);
  }
}

void fake_worker::Restart(boot_time now) {
  Advance(now);
  for (auto& [id, what] : tasks_) {
    if (IsLive(what.task.state)) {
      EndTask(what, worker_state::kLapsed, now);
    }
  }
  tasks_.clear();
  ++boot_;
}

std::vector<state::attempt_id> fake_worker::live() const {
  std::vector<state::attempt_id> out;
  for (const auto& [id, what] : tasks_) {
    if (IsLive(what.task.state)) {
      out.push_back(id);
    }
  }
  return out;
}

}  // namespace chiveglade::testing
