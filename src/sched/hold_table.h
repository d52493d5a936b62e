// Room kept for tasks whose victims are still stopping.
#ifndef CHIVEGLADE_SCHED_HOLD_TABLE_H_
#define CHIVEGLADE_SCHED_HOLD_TABLE_H_

#include <map>
#include <string>

#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

// One VM per task. Holds are not durable: a successor evicts again if needed.
class hold_table {
 public:
  struct hold {
    std::string vm;
    resources amount;
    boot_time until;
    // Keeps the hold while the task still runs elsewhere: it is to move.
    bool moving = false;
  };

  // Drops holds that have expired or lost their VM or task, and takes the
  // room of the others out of the index.
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
