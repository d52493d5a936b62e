// The scheduler's decision rounds, appends and snapshots.
#include <algorithm>
#include <cassert>
#include <utility>

#include "chiveglade/authority/scheduler.h"
#include "chiveglade/state/snapshot_codec.h"
#include "control_rows.h"
#include "decision.h"
#include "vm_views.h"

namespace chiveglade::authority {

namespace {

// Interval of the checks that iterate over all VMs and jobs.
constexpr millis kHousekeepingInterval{1'000};
// Delay of the next round after the store refused an append.
constexpr millis kRefusedAppendBackoff{500};
// Views without a heartbeat for this long are removed, unless the state has the
// incarnation.
constexpr millis kVmViewRetention{600'000};

// Whether `matches` returns true for the phase of any task of the job.
template <typename F>
bool HasPhase(const state::job& owner, F matches) {
  return std::any_of(
      owner.tasks.begin(), owner.tasks.end(),
      [&matches](const state::task& at) { return matches(at.phase); });
}

}  // namespace

void scheduler::RunRound(boot_time now) {
  control_rows_->Tick(now);
  if (journal_->busy()) {
    return;
  }
  if (releasing_) {
    AppendRelease();
    return;
  }
  if (now < next_decision_) {
    return;
  }
  next_decision_ = now + options_.append_interval;
  Decide(now);
}

sched::cluster_view scheduler::MakeClusterView(boot_time now) const {
  sched::cluster_view view;
  view.now = now;
  control_rows_->FillDataCentres(now, options_.return_ramp, view);
  for (const auto& [name, host] : proposed_.vms()) {
    const vm_view* last = vm_views_->Find(host.id);
    if (!last || now >= last->last_heartbeat_at + options_.heartbeat_timeout) {
      view.silent.insert(name);
    }
  }
  return view;
}

void scheduler::Plan(decision& round, boot_time now) {
  // Grants are conditional on the data centre rows, so they must have been
  // read.
  if (!control_rows_->data_centres_known()) {
    return;
  }
  auto plan = planner_.plan(proposed_, MakeClusterView(now));
  round.ApplyPlan(plan);
  for (const auto& order : plan.throttles) {
    const auto* at = proposed_.FindTask(order.attempt.task);
    if (at && HoldsVm(at->phase) && at->attempt == order.attempt.number) {
      throttles_[order.attempt] = order.percent;
    }
  }
  why_pending_ = std::move(plan.why_pending);
}

void scheduler::Decide(boot_time now) {
  const decision_input input{*control_rows_,
                             *vm_views_,
                             start_ticks_,
                             epoch(),
                             now,
                             holding_since_,
                             options_.heartbeat_timeout};
  decision round(input, proposed_);
  batch_updated_vms_ = vm_views_->TakeUpdated();
  round.ApplyHeartbeats(batch_updated_vms_);
  round.ExecuteCommands();
  if (manifest_pending_ && manifest_version_ >= journal_->head().manifest &&
      round.SyncManifest(manifest_)) {
    round.batch.manifest = manifest_version_;
  }
  if (now >= next_housekeeping_) {
    next_housekeeping_ = now + kHousekeepingInterval;
    round.ExpireLeases();
    RunHousekeeping(round, now);
  }
  Plan(round, now);
  counters_.rejected_events += round.rejected_events;
  const bool snapshot = stored_snapshot_ > journal_->head().snapshot;
  const bool idle = round.batch.events.empty() &&
                    round.batch.executed_commands.empty() && !snapshot &&
                    round.batch.manifest <= journal_->head().manifest;
  if (idle && round.batch.manifest == manifest_version_) {
    manifest_pending_ = false;
  }
  if (idle &&
      now < journal_->last_append_sent_at() + options_.idle_append_interval) {
    return;
  }
  batch_ticks_ = std::move(round.order_ticks);
  batch_lost_vms_ = std::move(round.vms_with_lost_attempts);
  SendBatch(std::move(round.batch));
}

void scheduler::SendBatch(append_batch batch) {
  if (stored_snapshot_ > journal_->head().snapshot) {
    batch.snapshot = stored_snapshot_;
  }
  batch_ = std::move(batch);
  journal_->Append(batch_,
                   [this](append_status status) { OnAppended(status); });
}

void scheduler::OnAppended(append_status status) {
  switch (status) {
    case append_status::kCommitted:
      OnBatchCommitted();
      return;
    case append_status::kStale:
      ++counters_.stale_batches;
      control_rows_->RefreshDataCentres();
      break;
    case append_status::kNotApplied:
      ++counters_.refused_appends;
      next_decision_ = clock_() + kRefusedAppendBackoff;
      break;
    case append_status::kFenced:
      BecomeWatcher("another entry wrote the journal head");
      return;
  }
  proposed_ = committed_;
  for (const auto& id : batch_updated_vms_) {
    vm_views_->MarkUpdated(id);
  }
  ClearBatch();
}

void scheduler::ClearBatch() {
  batch_ = {};
  batch_ticks_.clear();
  batch_lost_vms_.clear();
  batch_updated_vms_.clear();
}

void scheduler::OnBatchCommitted() {
  ++counters_.appends;
  counters_.events += batch_.events.size();
  start_ticks_.merge(batch_ticks_);
  for (const auto& change : batch_.events) {
    ApplyCommitted(change);
  }
  control_rows_->MarkExecuted(batch_.executed_commands);
  if (!batch_.events.empty()) {
    last_change_sequence_ = journal_->head().sequence;
  }
  if (batch_.manifest != 0 && batch_.manifest == manifest_version_) {
    manifest_pending_ = false;
  }
  const bool released = batch_.release;
  ClearBatch();
  if (released) {
    seen_head_ = {journal_->head(), journal_->head_version()};
    BecomeWatcher("released");
    return;
  }
  SnapshotIfDue(clock_());
}

void scheduler::ApplyCommitted(const state::event& change) {
  if (const auto* end = std::get_if<state::attempt_ended>(&change)) {
    const auto* task = committed_.FindTask(end->attempt.task);
    if (planner_.observe_end) {
      planner_.observe_end(*end, task->vm.name,
                           committed_.FindJob(end->attempt.task.job)->spec,
                           clock_());
    }
    start_ticks_.erase(end->attempt);
    stop_reasons_.erase(end->attempt);
    throttles_.erase(end->attempt);
  } else if (const auto* stop = std::get_if<state::attempt_stopping>(&change)) {
    stop_reasons_[stop->attempt] = stop->why;
  } else if (const auto* joined = std::get_if<state::vm_joined>(&change)) {
    vm_views_->RemoveOtherIncarnations(joined->vm);
  } else if (const auto* left = std::get_if<state::vm_left>(&change)) {
    vm_views_->Remove(left->vm);
  } else if (std::holds_alternative<state::vm_drained>(change)) {
    last_drain_version_ = journal_->head_version();
  }
  const auto applied = committed_.Apply(change);
  // The round applied the same event to an equal state.
  assert(applied);
  (void)applied;
}

void scheduler::RunHousekeeping(decision& round, boot_time now) {
  RetireJobs(round, now);
  RemoveSilentVms(round, now);
  if (now.time_since_epoch() > kVmViewRetention) {
    vm_views_->RemoveOlder(now - kVmViewRetention,
                           [this](const state::vm_id& id) {
                             const state::vm* host = proposed_.FindVm(id.name);
                             return host && host->id == id;
                           });
  }
}

void scheduler::RetireJobs(decision& round, boot_time now) {
  std::vector<std::string> retired;
  for (const auto& [name, owner] : proposed_.jobs()) {
    if (owner.spec.priority == state::band::kService ||
        declared_jobs_.contains(name) || HasPhase(owner, [](auto phase) {
          return phase == state::task_phase::kPending || HoldsVm(phase);
        })) {
      continue;
    }
    const bool failed = HasPhase(
        owner, [](auto phase) { return phase == state::task_phase::kFailed; });
    const auto since = ended_since_.emplace(name, now).first->second;
    if (now >= since + (failed ? options_.failed_job_retention
                               : options_.ended_job_retention)) {
      retired.push_back(name);
    }
  }
  for (const auto& name : retired) {
    ended_since_.erase(name);
    (void)round.Add(state::job_retired{name});
  }
}

void scheduler::RemoveSilentVms(decision& round, boot_time now) {
  std::vector<state::vm_id> left;
  for (const auto& [name, host] : proposed_.vms()) {
    const vm_view* view = vm_views_->Find(host.id);
    const boot_time last_heartbeat =
        view ? view->last_heartbeat_at : holding_since_;
    if (host.tasks.empty() &&
        now >= last_heartbeat + options_.silent_vm_retention) {
      left.push_back(host.id);
    }
  }
  for (const auto& id : left) {
    (void)round.Add(state::vm_left{id});
  }
}

void scheduler::AppendRelease() {
  append_batch batch;
  batch.release = true;
  batch_updated_vms_.clear();
  SendBatch(std::move(batch));
}

void scheduler::SnapshotIfDue(boot_time now) {
  const uint64_t sequence = journal_->head().sequence;
  const uint64_t newest = std::max(stored_snapshot_, attempted_snapshot_);
  const bool many = sequence >= newest + options_.records_per_snapshot;
  const bool aged = last_change_sequence_ > newest &&
                    now >= last_snapshot_at_ + options_.snapshot_interval;
  if (snapshot_in_flight_ || !(many || aged)) {
    return;
  }
  snapshot_in_flight_ = true;
  last_snapshot_at_ = now;
  attempted_snapshot_ = sequence;
  const std::string hints =
      planner_.save_hints ? planner_.save_hints() : std::string();
  objects_.put(SnapshotKey(sequence),
               state::snapshot_codec::Encode(sequence, committed_, hints),
               [self = std::weak_ptr(self_), generation = role_generation_,
                sequence](const result<done>& outcome) {
                 const auto at = self.lock();
                 if (at && (*at)->role_generation_ == generation) {
                   (*at)->OnSnapshotStored(sequence, outcome);
                 }
               });
}

void scheduler::OnSnapshotStored(uint64_t sequence,
                                 const result<done>& outcome) {
  snapshot_in_flight_ = false;
  if (outcome) {
    stored_snapshot_ = sequence;
    ++counters_.snapshots;
  } else {
    // Makes the next snapshot due after snapshot_interval even if no events
    // follow.
    last_change_sequence_ = journal_->head().sequence;
  }
}

}  // namespace chiveglade::authority
