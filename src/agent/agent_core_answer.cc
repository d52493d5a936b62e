// What the answer to a heartbeat changes.
#include <algorithm>
#include <set>
#include <utility>

#include "chiveglade/agent/agent_core.h"
#include "ledger.h"

namespace chiveglade::agent {

void agent_core::OnAnswer(const state::heartbeat_answer& answer) {
  OnAnswer(state::heartbeat(newest_heartbeat_), answer);
}

void agent_core::OnAnswer(const state::heartbeat& asked,
                          const state::heartbeat_answer& answer) {
  if (answer.protocol != state::kProtocolVersion) {
    return;
  }
  TakeOutOfService(answer);
  if (answer.epoch == 0 || answer.epoch < epoch_) {
    return;
  }
  answered_tick_ =
      answer.epoch > epoch_ ? asked.tick : std::max(answered_tick_, asked.tick);
  epoch_ = answer.epoch;
  for (const auto& attempt : answer.acknowledged) {
    if (auto* record = ledger_->Find(attempt);
        record != nullptr && record->phase == attempt_phase::kEnded &&
        !record->acknowledged) {
      record->acknowledged = true;
      record->acknowledged_at = clock_();
    }
  }
  // Orders and grants for an earlier incarnation must not touch this one.
  if (asked.vm.incarnation == boot_) {
    TakeOrders(asked, answer);
  }
}

void agent_core::TakeOutOfService(const state::heartbeat_answer& answer) {
  // Only the scheduler knows of drained VMs, so at the same version of the row
  // its word counts more than that of another entry.
  if (std::pair(answer.out_version, answer.epoch) <
      std::pair(out_version_, out_epoch_)) {
    return;
  }
  out_version_ = answer.out_version;
  out_epoch_ = answer.epoch;
  out_of_service_ = answer.out_of_service;
}

void agent_core::TakeOrders(const state::heartbeat& asked,
                            const state::heartbeat_answer& answer) {
  for (const auto& attempt : answer.unknown) {
    TakeUnknown(attempt);
  }
  // An answer this old may order attempts that have ended and been forgotten.
  if (clock_() < boot_time(millis(asked.tick)) + ledger::kMemory) {
    for (const auto& order : answer.starts) {
      TakeStart(order);
    }
  }
  for (const auto& order : answer.stops) {
    TakeStop(order);
  }
  if (asked.sequence > throttle_sequence_) {
    throttle_sequence_ = asked.sequence;
    for (const auto& order : answer.throttles) {
      if (auto* record = ledger_->Find(order.attempt)) {
        record->throttle_want = std::clamp(order.percent, 1u, 100u);
      }
    }
  }
  if (answer.grants) {
    ExtendGrants(asked, answer);
  }
}

void agent_core::ExtendGrants(const state::heartbeat& asked,
                              const state::heartbeat_answer& answer) {
  const boot_time base =
      boot_time(millis(asked.tick)) - std::max(answer.append_age, millis(0));
  for (const auto& report : asked.attempts) {
    auto* record = ledger_->Find(report.attempt);
    if (record != nullptr &&
        !std::count(answer.unknown.begin(), answer.unknown.end(),
                    report.attempt)) {
      record->grant_until =
          std::max(record->grant_until, base + record->run_lease);
    }
  }
}

void agent_core::TakeStart(const state::start_order& order) {
  const boot_time now = clock_();
  const boot_time tick{millis(order.tick)};
  if (ledger_->NewestNumber(order.attempt.task) >= order.attempt.number) {
    return;
  }
  auto& record = ledger_->Add(order.attempt);
  record.order = order;
  record.size = order.spec.per_task;
  record.run_lease = order.spec.run_lease;
  record.stop_grace = StopGrace(order.spec);
  // The tick precedes the append that granted the attempt, and every authority
  // counts the lease from that append or later.
  record.grant_until = tick + record.run_lease;
  record.order_expires = tick + state::kStartValidity;
  record.hard_at = boot_time::max();
  record.report.attempt = order.attempt;
  if (ready_ && (tick > now || now >= tick + state::kStartValidity)) {
    End(record, state::attempt_end::kNotRun, "the start order had expired");
  }
}

void agent_core::TakeStop(const state::stop_order& order) {
  auto* record = ledger_->Find(order.attempt);
  if (record == nullptr || record->phase == attempt_phase::kEnded) {
    return;
  }
  record->stop_wanted = true;
  record->hard_at =
      std::min(record->hard_at, clock_() + std::max(order.grace, millis(0)));
}

void agent_core::TakeUnknown(const state::attempt_id& attempt) {
  auto* record = ledger_->Find(attempt);
  if (record == nullptr) {
    return;
  }
  if (record->phase == attempt_phase::kEnded) {
    if (!record->acknowledged) {
      record->acknowledged = true;
      record->acknowledged_at = clock_();
    }
    return;
  }
  // Whatever it would still compute or save belongs to an attempt that is over.
  record->stop_wanted = true;
  record->hard_stop = true;
}

}  // namespace chiveglade::agent
