// What the worker's answers change.
#include <algorithm>

#include "chiveglade/agent/agent_core.h"
#include "ledger.h"

namespace chiveglade::agent {

namespace {

// Wait before a call that failed is made again.
constexpr millis kRetryDelay{100};
// Wait before a hard stop is repeated for an attempt that is still listed.
constexpr millis kHardStopRepeat{500};

state::attempt_end EndOf(worker_state state) {
  switch (state) {
    case worker_state::kFinished:
      return state::attempt_end::kFinished;
    case worker_state::kFailed:
      return state::attempt_end::kFailed;
    case worker_state::kStopped:
      return state::attempt_end::kStopped;
    case worker_state::kLapsed:
    case worker_state::kRunning:
    case worker_state::kStopping:
      break;
  }
  return state::attempt_end::kLost;
}

}  // namespace

void agent_core::OnWorkerBoot(uint64_t boot) {
  if (boot == boot_ || boot == 0) {
    return;
  }
  for (auto& [id, record] : ledger_->records()) {
    if (record.phase == attempt_phase::kOrdered) {
      End(record, state::attempt_end::kNotRun, "the worker was restarted");
    } else if (record.phase != attempt_phase::kEnded) {
      End(record, state::attempt_end::kLost, "the worker was restarted");
    }
  }
  boot_ = boot;
  wants_heartbeat_ = true;
}

void agent_core::OnWorkerTasks(const std::vector<worker_task>& tasks) {
  list_open_ = false;
  for (auto& [id, record] : ledger_->records()) {
    record.listed = false;
    record.live_at_worker = false;
  }
  for (const auto& task : tasks) {
    TakeListed(task);
  }
  const boot_time requested = list_requested_;
  const boot_time now = clock_();
  auto& records = ledger_->records();
  for (auto at = records.begin(); at != records.end();) {
    auto& record = at->second;
    if (!record.listed && !record.call_open &&
        record.phase == attempt_phase::kEnded && record.acknowledged &&
        requested > record.acknowledged_at) {
      at = ledger_->Retire(at, now);
      continue;
    }
    if (!record.listed) {
      TakeMissing(record, requested);
    }
    ++at;
  }
  // An agent that ran here before may have made start calls until it died.
  ready_ = ready_ || requested > started_at_ + kStartCallLimit;
}

void agent_core::TakeListed(const worker_task& task) {
  auto* record = ledger_->Find(task.attempt);
  const bool live = IsLive(task.state);
  if (record == nullptr || record->phase == attempt_phase::kOrdered) {
    record = &ledger_->Add(task.attempt);
    record->size = task.size;
    record->run_lease = task.run_lease;
    record->stop_grace = task.stop_grace;
    record->grant_until = std::max(record->grant_until, task.grant_until);
    record->lease_until = task.lease_until;
    record->hard_at = boot_time::max();
    record->throttle_want = record->throttle_have = task.throttle_pct;
    record->phase = attempt_phase::kStarting;
    record->order = {};
  }
  record->listed = true;
  record->live_at_worker = live;
  record->confirmed_at = std::max(record->confirmed_at, list_requested_);
  record->report = {task.attempt, task.used, task.work_done, task.slowdown_pct};
  if (record->phase == attempt_phase::kEnded) {
    // The worker executes what was reported as ended: it must not go on.
    record->stop_wanted = record->hard_stop = live;
    return;
  }
  if (!live) {
    EndAs(*record, task);
    return;
  }
  if (record->phase == attempt_phase::kStarting) {
    record->phase = attempt_phase::kRunning;
    wants_heartbeat_ = true;
  }
  if (task.state == worker_state::kStopping) {
    record->phase = attempt_phase::kStopping;
    record->stop_sent = true;
  }
}

void agent_core::EndAs(attempt_record& record, const worker_task& task) {
  End(record, EndOf(task.state), task.detail);
  record.end.checkpoint = task.checkpoint;
  record.end.work_done = task.checkpoint_work;
}

void agent_core::TakeMissing(attempt_record& record, boot_time requested) {
  if (record.phase == attempt_phase::kStarting) {
    // The call has expired at the worker and left no trace in its list.
    if (!record.call_open && requested > record.not_after) {
      End(record, state::attempt_end::kNotRun, "the worker did not start it");
    }
  } else if (record.phase == attempt_phase::kRunning ||
             record.phase == attempt_phase::kStopping) {
    if (requested > record.confirmed_at) {
      End(record, state::attempt_end::kLost, "the worker no longer lists it");
    }
  }
}

void agent_core::OnWorkerCall(const worker_call& call,
                              const worker_call_outcome& outcome) {
  switch (call.kind) {
    case worker_call_kind::kList:
      list_open_ = false;
      return;
    case worker_call_kind::kRenew:
      OnRenewCall(call, outcome);
      return;
    case worker_call_kind::kForget:
      forget_open_ = false;
      forget_after_ = clock_() + options_.worker_poll;
      return;
    default:
      break;
  }
  auto* record = ledger_->Find(call.attempt);
  if (record == nullptr) {
    return;
  }
  record->call_open = false;
  record->call_after = clock_() + kRetryDelay;
  const bool carried_out = outcome.status == worker_call_status::kDone;
  if (call.kind == worker_call_kind::kStart) {
    OnStartCall(call, outcome);
  } else if (call.kind == worker_call_kind::kThrottle && carried_out) {
    record->throttle_have = call.percent;
  } else if (call.kind == worker_call_kind::kStop && carried_out) {
    record->stop_sent = true;
    record->call_after =
        call.hard ? clock_() + kHardStopRepeat : record->call_after;
    list_wanted_ = true;
  }
}

void agent_core::OnStartCall(const worker_call& call,
                             const worker_call_outcome& outcome) {
  auto& record = *ledger_->Find(call.attempt);
  if (record.phase != attempt_phase::kStarting) {
    return;
  }
  switch (outcome.status) {
    case worker_call_status::kDone:
      record.phase = attempt_phase::kRunning;
      record.confirmed_at = clock_();
      record.live_at_worker = true;
      record.lease_until = call.lease_until;
      wants_heartbeat_ = true;
      return;
    case worker_call_status::kNotSent:
      record.phase = attempt_phase::kOrdered;
      record.order = call.order;
      return;
    case worker_call_status::kRefused:
      if (outcome.why.code == "ran_before") {
        End(record, state::attempt_end::kLost,
            "the worker has run it and forgotten it");
      } else if (outcome.why.code != "exists") {
        End(record, state::attempt_end::kNotRun,
            "the worker refused the start: " + outcome.why.detail);
      }
      return;
    case worker_call_status::kUnknown:
      return;
  }
}

void agent_core::OnRenewCall(const worker_call& call,
                             const worker_call_outcome& outcome) {
  renew_open_ = false;
  renew_after_ = clock_() + kRetryDelay;
  if (outcome.status != worker_call_status::kDone) {
    return;
  }
  for (const auto& renewal : call.renewals) {
    if (auto* record = ledger_->Find(renewal.attempt)) {
      record->lease_until = std::max(record->lease_until, renewal.lease_until);
    }
  }
}

}  // namespace chiveglade::agent
