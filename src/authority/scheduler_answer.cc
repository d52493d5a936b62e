// The scheduler's answers to heartbeats.
#include <algorithm>

#include "chiveglade/authority/scheduler.h"
#include "control_rows.h"
#include "vm_views.h"

namespace chiveglade::authority {

namespace {

constexpr millis kDefaultStopGrace{3'000};

// Whether the state has the attempt on this incarnation of the VM.
bool IsHeldOn(const state::cluster_state& in,
              const state::attempt_id& attempt,
              const state::vm_id& host) {
  const state::task* at = in.FindTask(attempt.task);
  return at && at->attempt == attempt.number && HoldsVm(at->phase) &&
         at->vm == host;
}

// Whether the end of the attempt on this VM is still to be recorded. Ignores
// the incarnation: an agent outlives a restart of its worker, and an end that
// it reports afterwards must become durable before it is acknowledged.
bool IsEndAwaited(const state::cluster_state& in,
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
    AnswerAsHolder(message, answer);
  }
  return answer;
}

void scheduler::SetOutOfService(const state::heartbeat& message,
                                state::heartbeat_answer& answer) const {
  if (!control_rows_->data_centres_known()) {
    return;
  }
  answer.out_of_service = control_rows_->IsOutOfService(message.data_centre) ||
                          committed_.drained().contains(message.vm.name);
  answer.out_version = std::max(control_rows_->Version(message.data_centre),
                                last_drain_version_);
}

void scheduler::AnswerAsHolder(const state::heartbeat& message,
                               state::heartbeat_answer& answer) {
  // Ends that are not awaited are already durable, so they are acknowledged
  // even in messages that arrive out of order.
  for (const auto& report : message.ends) {
    if (!IsEndAwaited(committed_, report.end.attempt, message.vm.name)) {
      answer.acknowledged.push_back(report.end.attempt);
    }
  }
  if (!committed_.IsPast(message.vm) &&
      !vm_views_->RecordHeartbeat(message, epoch(), clock_())) {
    ++counters_.stale_heartbeats;
    return;
  }
  for (const auto& report : message.attempts) {
    if (!IsHeldOn(committed_, report.attempt, message.vm)) {
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
  // No lease of this VM may be extended while an append that declares some of
  // its attempts lost is in flight.
  if (batch_lost_vms_.contains(host.id.name)) {
    return;
  }
  answer.grants = true;
  answer.append_age = std::chrono::duration_cast<millis>(
      clock_() - journal_->last_append_sent_at());
  auto& base = vm_views_->Find(host.id)->lease_base;
  base = std::max(base, journal_->last_append_sent_at());
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
