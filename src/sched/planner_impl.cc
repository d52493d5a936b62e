#include "src/sched/planner_impl.h"

#include <utility>

namespace chiveglade::sched {

planner::impl::impl(const planner_options& options, random_fn random)
    : options_(options),
      random_(std::move(random)),
      pacer_(options.starts_per_second, options.starts_per_vm_second),
      index_(options_),
      health_(options_),
      placement_(options_, index_, classes_, interference_, pacer_, random_),
      preemption_(options_, index_, placement_, holds_),
      starter_({options_, index_, classes_, demand_, quotas_, order_, pacer_,
                placement_, preemption_, holds_, health_}),
      guard_(options_, classes_, interference_),
      measurements_(options_, classes_, demand_, interference_, guard_),
      evacuation_(options_,
                  index_,
                  demand_,
                  placement_,
                  preemption_,
                  holds_,
                  starter_),
      backfill_(options_, index_, demand_, placement_, starter_),
      parking_(options_) {}

void planner::impl::SetManifest(const config::manifest& manifest) {
  classes_.SetManifest(manifest);
  quotas_.SetManifest(manifest);
}

void planner::impl::Observe(const state::heartbeat& report, boot_time now) {
  measurements_.Observe(report, now);
}

void planner::impl::ObserveEnd(const state::attempt_ended& end,
                               const std::string& vm,
                               const state::job_spec& spec,
                               boot_time now) {
  health_.ObserveEnd(end, vm);
  const auto* slot = index_.Find(vm);
  if (slot == nullptr) {
    return;
  }
  for (const auto& known : slot->residents) {
    if (known.attempt != end.attempt) {
      continue;
    }
    const auto done = known.work_done - known.checkpointed;
    // A run that resumed from a checkpoint is shorter than the whole task.
    if (end.how == state::attempt_end::kFinished &&
        known.checkpointed == millis(0)) {
      demand_.ObserveRunTime(known.klass, spec.expected_run,
                             now - known.first_seen);
    } else if (end.how == state::attempt_end::kStopped && done > millis(0)) {
      const auto saved =
          end.checkpoint.empty() ? known.checkpointed : end.work_done;
      demand_.ObserveLossShare(
          known.klass, static_cast<double>((known.work_done - saved).count()) /
                           static_cast<double>(done.count()));
    }
  }
}

plan planner::impl::Plan(const state::cluster_state& state,
                         const cluster_view& view) {
  last_plan_time_ = view.now;
  if (!loaded_hints_.empty()) {
    ReadHints(std::exchange(loaded_hints_, {}), LearnedTables(), view.now);
  }
  index_.Sync(state, view, classes_, demand_);
  plan_draft draft(state, view, index_);
  quotas_.BeginPlan(state.usage());
  order_.BeginPlan(state, view.now);
  pacer_.DropIdleVms(view.now);
  starter_.BeginPlan();
  holds_.Apply(draft, index_);
  guard_.DropAbsentVms(index_);
  interference_.DecayConfidence(view.now);
  measurements_.ProcessReports(index_, draft);
  health_.Run(draft, index_);
  parking_.Run(index_, order_, draft);
  evacuation_.Run(draft);
  backfill_.Begin(draft);
  starter_.Run(draft);
  backfill_.End(draft);
  return draft.Take();
}

std::string planner::impl::SaveHints() {
  return loaded_hints_.empty() ? WriteHints(LearnedTables(), last_plan_time_)
                               : loaded_hints_;
}

}  // namespace chiveglade::sched
