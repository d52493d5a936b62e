// The worker calls that are due.
#include <algorithm>
#include <utility>

#include "chiveglade/agent/agent_core.h"
#include "ledger.h"

namespace chiveglade::agent {

namespace {

// A stop because of an ending grant becomes hard this long before the end, so
// that the call and one repetition of it reach the worker in time.
constexpr millis kGrantReserve{500};
// A lease is renewed once this many thirds of it or less are left.
constexpr int kRenewThirds = 2;

}  // namespace

std::vector<worker_call> agent_core::Tick() {
  const boot_time now = clock_();
  std::vector<worker_call> calls;
  ledger_->Expire(now);
  ListTasks(now, calls);
  if (!announces()) {
    return calls;
  }
  JudgeOrders(now, calls);
  for (auto& [id, record] : ledger_->records()) {
    WatchGrant(record, now);
    StopAttempt(record, now, calls);
    Throttle(record, now, calls);
  }
  RenewLeases(now, calls);
  ForgetEnded(now, calls);
  for (auto& call : calls) {
    call.boot = boot_;
  }
  return calls;
}

void agent_core::ListTasks(boot_time now, std::vector<worker_call>& calls) {
  // The first list that makes the agent ready is not left to the next poll.
  const boot_time settled = started_at_ + kStartCallLimit;
  const bool settles = now > settled && list_requested_ <= settled;
  if (list_open_ || (!list_wanted_ && !settles &&
                     now < list_requested_ + options_.worker_poll)) {
    return;
  }
  list_open_ = true;
  list_wanted_ = false;
  list_requested_ = now;
  calls.emplace_back();
}

void agent_core::JudgeOrders(boot_time now, std::vector<worker_call>& calls) {
  if (!ready_) {
    return;
  }
  for (auto& [id, record] : ledger_->records()) {
    if (record.phase == attempt_phase::kOrdered && MayStart(record, now)) {
      calls.push_back(StartCall(record, now));
    }
  }
}

bool agent_core::MayStart(attempt_record& record, boot_time now) {
  const boot_time tick{millis(record.order.tick)};
  const auto refuse = [&](const char* why) {
    End(record, state::attempt_end::kNotRun, why);
    return false;
  };
  if (record.stop_wanted) {
    return refuse("it was stopped before its start");
  }
  if (tick > now || now >= tick + state::kStartValidity) {
    return refuse("the start order had expired");
  }
  if (leaving_) {
    return refuse("the agent is leaving");
  }
  if (out_of_service_) {
    return refuse("the VM is out of service");
  }
  if (!FitsWithin(record.size, options_.capacity)) {
    return refuse("it is larger than the VM");
  }
  // Room may still be made by stops under way, so these wait until the order
  // expires.
  return now >= record.call_after && !ledger_->HasOtherLive(record.attempt) &&
         FitsWithin(ledger_->Used() + record.size, options_.capacity);
}

worker_call agent_core::StartCall(attempt_record& record, boot_time now) {
  const boot_time tick{millis(record.order.tick)};
  worker_call call;
  call.kind = worker_call_kind::kStart;
  call.attempt = record.attempt;
  call.order = std::move(record.order);
  call.not_after =
      std::min(now, tick + state::kStartValidity) + kStartCallLimit;
  call.grant_until = record.grant_until;
  call.lease_until = std::min(now + options_.worker_lease, record.grant_until);
  call.stop_grace = record.stop_grace;
  record.order = {};
  record.phase = attempt_phase::kStarting;
  record.not_after = call.not_after;
  record.call_open = true;
  return call;
}

void agent_core::WatchGrant(attempt_record& record, boot_time now) {
  if (record.phase != attempt_phase::kRunning &&
      record.phase != attempt_phase::kStopping) {
    return;
  }
  const boot_time last = record.grant_until - kGrantReserve;
  if (now + record.stop_grace >= last) {
    record.stop_wanted = true;
    record.hard_at = std::min(record.hard_at, last);
  }
}

void agent_core::StopAttempt(attempt_record& record,
                             boot_time now,
                             std::vector<worker_call>& calls) {
  if (!record.stop_wanted || record.call_open || now < record.call_after ||
      !(record.phase == attempt_phase::kRunning ||
        record.phase == attempt_phase::kStopping || record.live_at_worker)) {
    return;
  }
  record.hard_stop = record.hard_stop || now >= record.hard_at;
  if (!record.hard_stop && (record.stop_sent || !Drained(record))) {
    return;
  }
  worker_call call;
  call.kind = worker_call_kind::kStop;
  call.attempt = record.attempt;
  call.hard = record.hard_stop;
  calls.push_back(std::move(call));
  record.call_open = true;
  if (record.phase == attempt_phase::kRunning) {
    record.phase = attempt_phase::kStopping;
  }
}

void agent_core::Throttle(attempt_record& record,
                          boot_time now,
                          std::vector<worker_call>& calls) {
  if (record.phase != attempt_phase::kRunning || record.call_open ||
      record.throttle_want == record.throttle_have || now < record.call_after) {
    return;
  }
  worker_call call;
  call.kind = worker_call_kind::kThrottle;
  call.attempt = record.attempt;
  call.percent = record.throttle_want;
  calls.push_back(std::move(call));
  record.call_open = true;
}

void agent_core::RenewLeases(boot_time now, std::vector<worker_call>& calls) {
  if (renew_open_ || now < renew_after_) {
    return;
  }
  worker_call call;
  call.kind = worker_call_kind::kRenew;
  bool due = false;
  for (const auto& [id, record] : ledger_->records()) {
    const auto until =
        std::min(now + options_.worker_lease, record.grant_until);
    if ((record.phase == attempt_phase::kRunning ||
         record.phase == attempt_phase::kStopping) &&
        until > record.lease_until) {
      due = due || record.lease_until - now <=
                       options_.worker_lease * kRenewThirds / 3;
      call.renewals.push_back({id, until, record.grant_until});
    }
  }
  if (due) {
    renew_open_ = true;
    calls.push_back(std::move(call));
  }
}

void agent_core::ForgetEnded(boot_time now, std::vector<worker_call>& calls) {
  if (forget_open_ || now < forget_after_) {
    return;
  }
  worker_call call;
  call.kind = worker_call_kind::kForget;
  for (const auto& [id, record] : ledger_->records()) {
    if (record.phase == attempt_phase::kEnded && record.acknowledged &&
        record.listed && !record.live_at_worker) {
      call.forget.push_back(id);
    }
  }
  if (!call.forget.empty()) {
    forget_open_ = true;
    calls.push_back(std::move(call));
  }
}

}  // namespace chiveglade::agent
