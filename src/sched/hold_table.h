// Holds room on VMs for tasks whose victims are still stopping.
#ifndef CHIVEGLADE_SCHED_HOLD_TABLE_H_
#define CHIVEGLADE_SCHED_HOLD_TABLE_H_

#include <map>
#include <string>

#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

// A task has at most one hold. Holds are not durable: after a failover the new
// scheduler evicts again if needed.
class hold_table {
 public:
  struct hold {
    std::string vm;
    resources amount;
    boot_time until;
    // True for a replica that is to move: the hold stays valid while the task
    // still runs on another VM.
    bool moving = false;
  };

  // Drops holds that have expired, whose task no longer needs them or whose VM
  // cannot start tasks, and subtracts the others from the free room in the
  // index. Called once per plan.
  void Apply(const plan_draft& draft, vm_index& index);

  void Put(const state::task_id& task, hold room_hold, vm_index& index);
  void Erase(const state::task_id& task, vm_index& index);
  const hold* Find(const state::task_id& task) const;
  const std::map<state::task_id, hold>& all() const { return holds_; }

 private:
  std::map<state::task_id, hold> holds_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_HOLD_TABLE_H_
