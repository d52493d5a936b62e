// The scheduler's answers to heartbeats.
#include <algorithm>

#include "chiveglade/authority/scheduler.h"
#include "control_rows.h"
#include "vm_views.h"

namespace chiveglade::authority {

namespace {

constexpr millis kDefaultStopGrace{3'000};

// Whether the state holds the attempt on this VM.
bool HeldOn(const state::cluster_state& in,
            const state::attempt_id& attempt,
            const state::vm_id& host) {
  const state::task* at = in.FindTask(attempt.task);
  return at && at->attempt == attempt.number && HoldsVm(at->phase) &&
         at->vm == host;
}

// Whether the state still waits for the end of the attempt on this VM. The
// incarnation does not matter: an agent outlives a restart of its worker, and
// an end that it reports then must become durable before it is acknowledged.
bool AwaitsEnd(const state::cluster_state& in,
               const state::attempt_id& attempt,
               const std::string& vm) {
  const state::task* at = in.FindTask(attempt.task);
  return at && at->attempt == attempt.number && HoldsVm(at->phase) &&
         at->vm.name == vm;
}

}  // namespace

state::heartbeat_answer scheduler::OnHeartbeat(
    const state::heartbeat& message) {
  ++counters_.heartbeats;
  state::heartbeat_answer answer;
  answer.scheduler = scheduler_address();
  answer.manifest_version = manifest_version_;
  if (holds_role()) {
    answer.epoch = epoch();
    SetOutOfService(message, answer);
    AnswerHolding(message, answer);
  }
  return answer;
}

void scheduler::SetOutOfService(const state::heartbeat& message,
                                state::heartbeat_answer& answer) const {
  if (!control_->data_centres_known()) {
    return;
  }
  answer.out_of_service = control_->Out(message.data_centre) ||
                          committed_.drained().contains(message.vm.name);
  answer.out_version =
      std::max(control_->Version(message.data_centre), drain_version_);
}

void scheduler::AnswerHolding(const state::heartbeat& message,
                              state::heartbeat_answer& answer) {
  // Ends that the state does not wait for are durable, also in old messages.
  for (const auto& report : message.ends) {
    if (!AwaitsEnd(committed_, report.end.attempt, message.vm.name)) {
      answer.acknowledged.push_back(report.end.attempt);
    }
  }
  if (!committed_.IsPast(message.vm) &&
      !views_->Take(message, epoch(), clock_())) {
    ++counters_.stale_heartbeats;
    return;
  }
  for (const auto& report : message.attempts) {
    if (!HeldOn(committed_, report.attempt, message.vm)) {
      answer.unknown.push_back(report.attempt);
    }
  }
  const state::vm* host = committed_.FindVm(message.vm.name);
  if (!host || host->id != message.vm || message.partial) {
    return;
  }
  if (planner_.observe) {
    planner_.observe(message, clock_());
  }
  AddOrders(message, *host, answer);
}

void scheduler::AddOrders(const state::heartbeat& message,
                          const state::vm& host,
                          state::heartbeat_answer& answer) {
  for (const auto& id : host.tasks) {
    const state::job& owner = *committed_.FindJob(id.job);
    const state::task& at = owner.tasks[id.index];
    const state::attempt_id attempt{id, at.attempt};
    if (at.phase == state::task_phase::kStopping) {
      answer.stops.push_back(StopOrder(attempt, owner.spec));
    }
    if (const auto limit = throttles_.find(attempt);
        limit != throttles_.end()) {
      answer.throttles.push_back({attempt, limit->second});
    }
  }
  // While an append that declares attempts of this VM lost is in flight,
  // nothing may extend their leases.
  if (batch_lost_.contains(host.id.name)) {
    return;
  }
  answer.grants = true;
  answer.append_age =
      std::chrono::duration_cast<millis>(clock_() - journal_->confirmed_send());
  auto& base = views_->Find(host.id)->grant_base;
  base = std::max(base, journal_->confirmed_send());
  for (const auto& id : host.tasks) {
    const state::job& owner = *committed_.FindJob(id.job);
    const state::task& at = owner.tasks[id.index];
    const auto order = start_ticks_.find({id, at.attempt});
    if (at.phase == state::task_phase::kStarting &&
        order != start_ticks_.end() &&
        message.tick < order->second + state::kStartValidity.count()) {
      answer.starts.push_back({{id, at.attempt},
                               owner.spec,
                               at.checkpoint,
                               at.work_done,
                               order->second});
    }
  }
}

state::stop_order scheduler::StopOrder(const state::attempt_id& attempt,
                                       const state::job_spec& spec) const {
  const auto why = stop_reasons_.find(attempt);
  const auto* klass = FindClass(manifest_, spec.klass);
  const bool cancelled = committed_.FindTask(attempt.task)->cancel_requested;
  const std::string text = why != stop_reasons_.end() ? why->second
                           : cancelled                ? "cancelled"
                                                      : "stopping";
  return {attempt, text, klass ? klass->stop_grace : kDefaultStopGrace};
}

}  // namespace chiveglade::authority
