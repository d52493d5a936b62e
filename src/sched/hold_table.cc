#include "src/sched/hold_table.h"

namespace chiveglade::sched {

void hold_table::Apply(const plan_draft& draft, vm_index& index) {
  std::erase_if(holds_, [&](const auto& entry) {
    const auto& [task, what] = entry;
    const auto* slot = index.Find(what.vm);
    const auto* held = draft.state().FindTask(task);
    const bool wanted = held != nullptr && !held->cancel_requested &&
                        (held->phase == state::task_phase::kPending ||
                         (what.moving && state::HoldsVm(held->phase) &&
                          held->vm.name != what.vm));
    return !wanted || slot == nullptr || !slot->startable ||
           what.until <= draft.now();
  });
  for (const auto& [task, what] : holds_) {
    index.Hold(*index.Find(what.vm), what.amount);
  }
}

void hold_table::Put(const state::task_id& task, hold what, vm_index& index) {
  Erase(task, index);
  if (auto* slot = index.Find(what.vm); slot != nullptr) {
    index.Hold(*slot, what.amount);
    holds_.emplace(task, std::move(what));
  }
}

void hold_table::Erase(const state::task_id& task, vm_index& index) {
  const auto it = holds_.find(task);
  if (it == holds_.end()) {
    return;
  }
  if (auto* slot = index.Find(it->second.vm); slot != nullptr) {
    index.Hold(*slot, resources{} - it->second.amount);
  }
  holds_.erase(it);
}

const hold_table::hold* hold_table::Find(const state::task_id& task) const {
  const auto it = holds_.find(task);
  return it == holds_.end() ? nullptr : &it->second;
}

}  // namespace chiveglade::sched
