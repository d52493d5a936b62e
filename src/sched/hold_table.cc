#include "src/sched/hold_table.h"

namespace chiveglade::sched {

void hold_table::Apply(const plan_draft& draft, vm_index& index) {
  std::erase_if(holds_, [&](const auto& entry) {
    const auto& [task, room_hold] = entry;
    const auto* slot = index.Find(room_hold.vm);
    const auto* task_state = draft.state().FindTask(task);
    const bool wanted =
        task_state != nullptr && !task_state->cancel_requested &&
        (task_state->phase == state::task_phase::kPending ||
         (room_hold.moving && state::HoldsVm(task_state->phase) &&
          task_state->vm.name != room_hold.vm));
    return !wanted || slot == nullptr || !slot->startable ||
           room_hold.until <= draft.now();
  });
  for (const auto& [task, room_hold] : holds_) {
    index.Hold(*index.Find(room_hold.vm), room_hold.amount);
  }
}

void hold_table::Put(const state::task_id& task,
                     hold room_hold,
                     vm_index& index) {
  Erase(task, index);
  if (auto* slot = index.Find(room_hold.vm); slot != nullptr) {
    index.Hold(*slot, room_hold.amount);
    holds_.emplace(task, std::move(room_hold));
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
