// The scheduler's rounds of deciding and appending.
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

// Interval of the checks that look at every VM or job.
constexpr millis kHousekeeping{1'000};
// Wait after an append that the store refused.
constexpr millis kRefusedBackoff{500};
// Views of incarnations that were not heard from for this long are dropped.
constexpr millis kViewKept{600'000};

// Whether a task of the job is in a phase that `matches`.
template <typename F>
bool HasPhase(const state::job& owner, F matches) {
  return std::any_of(
      owner.tasks.begin(), owner.tasks.end(),
      [&matches](const state::task& at) { return matches(at.phase); });
}

}  // namespace

void scheduler::Hold(boot_time now) {
  control_->Tick(now);
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

sched::cluster_view scheduler::View(boot_time now) const {
  sched::cluster_view view;
  view.now = now;
  control_->Describe(now, options_.return_ramp, view);
  for (const auto& [name, host] : next_.vms()) {
    const vm_view* heard = views_->Find(host.id);
    if (!heard || now >= heard->heard + options_.silent_after) {
      view.silent.insert(name);
    }
  }
  return view;
}

void scheduler::Plan(decision& round, boot_time now) {
  // Without the data centre rows no start could be conditional on them.
  if (!control_->data_centres_known()) {
    return;
  }
  auto plan = planner_.plan(next_, View(now));
  round.TakePlan(plan);
  for (const auto& order : plan.throttles) {
    const auto* at = next_.FindTask(order.attempt.task);
    if (at && HoldsVm(at->phase) && at->attempt == order.attempt.number) {
      throttles_[order.attempt] = order.percent;
    }
  }
  why_pending_ = std::move(plan.why_pending);
}

void scheduler::Decide(boot_time now) {
  const decision_input input{
      *control_, *views_,        start_ticks_,         epoch(),
      now,       holding_since_, options_.silent_after};
  decision round(input, next_);
  batch_dirty_ = views_->TakeDirty();
  round.TakeHeartbeats(batch_dirty_);
  round.TakeCommands();
  if (manifest_pending_ && manifest_version_ >= journal_->head().manifest &&
      round.SyncManifest(manifest_)) {
    round.batch.manifest = manifest_version_;
  }
  if (now >= next_housekeeping_) {
    next_housekeeping_ = now + kHousekeeping;
    round.ExpireLeases();
    Housekeep(round, now);
  }
  Plan(round, now);
  counters_.rejected_events += round.rejected;
  const bool snapshot = snapshot_done_ > journal_->head().snapshot;
  const bool idle = round.batch.events.empty() &&
                    round.batch.absorbed.empty() && !snapshot &&
                    round.batch.manifest <= journal_->head().manifest;
  if (idle && round.batch.manifest == manifest_version_) {
    manifest_pending_ = false;
  }
  if (idle && now < journal_->confirmed_send() + options_.idle_append) {
    return;
  }
  batch_ticks_ = std::move(round.ticks);
  batch_lost_ = std::move(round.lost_on);
  SendBatch(std::move(round.batch));
}

void scheduler::SendBatch(append_batch batch) {
  if (snapshot_done_ > journal_->head().snapshot) {
    batch.snapshot = snapshot_done_;
  }
  batch_ = std::move(batch);
  journal_->Append(batch_,
                   [this](append_status status) { OnAppended(status); });
}

void scheduler::OnAppended(append_status status) {
  switch (status) {
    case append_status::kCommitted:
      Commit();
      return;
    case append_status::kStale:
      ++counters_.stale_batches;
      control_->Refresh();
      break;
    case append_status::kNotApplied:
      ++counters_.refused_appends;
      next_decision_ = clock_() + kRefusedBackoff;
      break;
    case append_status::kLost:
      BecomeWatcher("another entry wrote the journal head");
      return;
  }
  next_ = committed_;
  for (const auto& id : batch_dirty_) {
    views_->MarkDirty(id);
  }
  AbandonBatch();
}

void scheduler::AbandonBatch() {
  batch_ = {};
  batch_ticks_.clear();
  batch_lost_.clear();
  batch_dirty_.clear();
}

void scheduler::Commit() {
  ++counters_.appends;
  counters_.events += batch_.events.size();
  start_ticks_.merge(batch_ticks_);
  for (const auto& change : batch_.events) {
    CommitOne(change);
  }
  control_->Absorbed(batch_.absorbed);
  if (!batch_.events.empty()) {
    changed_at_ = journal_->head().sequence;
  }
  if (batch_.manifest != 0 && batch_.manifest == manifest_version_) {
    manifest_pending_ = false;
  }
  const bool released = batch_.release;
  AbandonBatch();
  if (released) {
    seen_ = {journal_->head(), journal_->head_version()};
    BecomeWatcher("released");
    return;
  }
  TakeSnapshot(clock_());
}

void scheduler::CommitOne(const state::event& change) {
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
    views_->ForgetOthers(joined->vm);
  } else if (const auto* left = std::get_if<state::vm_left>(&change)) {
    views_->Forget(left->vm);
  } else if (std::holds_alternative<state::vm_drained>(change)) {
    drain_version_ = journal_->head_version();
  }
  const auto applied = committed_.Apply(change);
  // The same event was applied to an equal state when it was decided.
  assert(applied);
  (void)applied;
}

void scheduler::Housekeep(decision& round, boot_time now) {
  RetireJobs(round, now);
  ForgetVms(round, now);
  if (now.time_since_epoch() > kViewKept) {
    views_->DropOlder(now - kViewKept, [this](const state::vm_id& id) {
      const state::vm* host = next_.FindVm(id.name);
      return host && host->id == id;
    });
  }
}

void scheduler::RetireJobs(decision& round, boot_time now) {
  std::vector<std::string> retired;
  for (const auto& [name, owner] : next_.jobs()) {
    if (owner.spec.priority == state::band::kService ||
        declared_.contains(name) || HasPhase(owner, [](auto phase) {
          return phase == state::task_phase::kPending || HoldsVm(phase);
        })) {
      continue;
    }
    const bool failed = HasPhase(
        owner, [](auto phase) { return phase == state::task_phase::kFailed; });
    const auto since = ended_since_.emplace(name, now).first->second;
    if (now >= since + (failed ? options_.failed_jobs_kept
                               : options_.ended_jobs_kept)) {
      retired.push_back(name);
    }
  }
  for (const auto& name : retired) {
    ended_since_.erase(name);
    (void)round.Add(state::job_retired{name});
  }
}

void scheduler::ForgetVms(decision& round, boot_time now) {
  std::vector<state::vm_id> left;
  for (const auto& [name, host] : next_.vms()) {
    const vm_view* view = views_->Find(host.id);
    const boot_time heard = view ? view->heard : holding_since_;
    if (host.tasks.empty() && now >= heard + options_.vms_kept) {
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
  batch_dirty_.clear();
  SendBatch(std::move(batch));
}

void scheduler::TakeSnapshot(boot_time now) {
  const uint64_t sequence = journal_->head().sequence;
  const uint64_t newest = std::max(snapshot_done_, snapshot_tried_);
  const bool many = sequence >= newest + options_.snapshot_records;
  const bool aged =
      changed_at_ > newest && now >= snapshot_at_ + options_.snapshot_interval;
  if (snapshot_open_ || !(many || aged)) {
    return;
  }
  snapshot_open_ = true;
  snapshot_at_ = now;
  snapshot_tried_ = sequence;
  const std::string hints =
      planner_.save_hints ? planner_.save_hints() : std::string();
  objects_.put(SnapshotKey(sequence),
               state::snapshot_codec::Encode(sequence, committed_, hints),
               [self = std::weak_ptr(self_), term = term_,
                sequence](const result<done>& outcome) {
                 const auto at = self.lock();
                 if (at && (*at)->term_ == term) {
                   (*at)->OnSnapshot(sequence, outcome);
                 }
               });
}

void scheduler::OnSnapshot(uint64_t sequence, const result<done>& outcome) {
  snapshot_open_ = false;
  if (outcome) {
    snapshot_done_ = sequence;
    ++counters_.snapshots;
  } else {
    // Lets the next one be due after the interval, however many records.
    changed_at_ = journal_->head().sequence;
  }
}

}  // namespace chiveglade::authority
