#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

plan_draft::plan_draft(const state::cluster_state& state,
                       const cluster_view& view,
                       vm_index& index)
    : state_(state), view_(view), index_(index) {}

bool plan_draft::Stop(vm_slot& slot, resident& target, const std::string& why) {
  const auto* task = state_.FindTask(target.attempt.task);
  // A cancelled task may be stopping in the state without a stop planned here.
  const bool was_stopping = target.stopping;
  target.stopping = true;
  if (was_stopping || task == nullptr ||
      task->attempt != target.attempt.number ||
      (task->phase != state::task_phase::kRunning &&
       task->phase != state::task_phase::kStarting)) {
    return false;
  }
  slot.dirty = true;
  Add(state::attempt_stopping{target.attempt, why});
  return true;
}

void plan_draft::Grant(vm_slot& slot,
                       const state::task_id& task,
                       resident added) {
  granted_.insert(task);
  Add(state::attempt_granted{added.attempt, {slot.name, slot.incarnation}});
  index_.Grant(slot, std::move(added));
}

void plan_draft::Throttle(const state::attempt_id& attempt, uint32_t percent) {
  result_.throttles.push_back({attempt, percent});
}

void plan_draft::Explain(const std::string& job, const std::string& why) {
  result_.why_pending.emplace(job, why);
}

bool plan_draft::CanStart(const state::task_id& id) const {
  const auto* task = state_.FindTask(id);
  return task != nullptr && task->phase == state::task_phase::kPending &&
         !granted_.contains(id);
}

}  // namespace chiveglade::sched
