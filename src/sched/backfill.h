// Keeps one VM free for the oldest large task that finds no room.
#ifndef CHIVEGLADE_SCHED_BACKFILL_H_
#define CHIVEGLADE_SCHED_BACKFILL_H_

#include <map>
#include <optional>
#include <string>

#include "src/sched/starter.h"

namespace chiveglade::sched {

// Small tasks would otherwise take every gap before a large one fits. While a
// VM is reserved, only idle work may start there, and it is evicted as soon as
// that makes enough room.
class backfill {
 public:
  backfill(const planner_options& options,
           vm_index& index,
           const demand_model& demand,
           placement& places,
           starter& starts)
      : options_(options),
        index_(index),
        demand_(demand),
        placement_(places),
        starter_(starts) {}

  // Before starts are planned: marks the reserved VM, and starts the task if
  // it fits now.
  void Begin(plan_draft& draft);
  // After starts were planned: notes the tasks without room and reserves a VM
  // for the oldest.
  void End(plan_draft& draft);

 private:
  struct reservation {
    state::task_id task;
    std::string vm;
  };
  struct waiting_task {
    boot_time since;
    boot_time last_tried;
  };
  bool IsLarge(const state::job_spec& spec) const;
  // The VM that will have room first if nothing else starts there.
  vm_slot* EarliestFreeVm(const state::job& job,
                          uint32_t index,
                          plan_draft& draft);
  std::optional<millis> TimeUntilRoom(const vm_slot& slot,
                                      const state::job_spec& spec,
                                      const plan_draft& draft) const;

  const planner_options& options_;
  vm_index& index_;
  const demand_model& demand_;
  placement& placement_;
  starter& starter_;
  std::optional<reservation> reservation_;
  std::map<state::task_id, waiting_task> waiting_;
  boot_time last_search_;  // when a VM to reserve was last looked for
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_BACKFILL_H_
