// Reserves a VM for the large task that has waited longest for room.
#ifndef CHIVEGLADE_SCHED_BACKFILL_H_
#define CHIVEGLADE_SCHED_BACKFILL_H_

#include <map>
#include <optional>
#include <string>

#include "src/sched/starter.h"

namespace chiveglade::sched {

// Without a reservation, small tasks would fill every gap before a large task
// fits. Only one VM is reserved at a time. Only idle work may start on it;
// that work is evicted once this frees enough room.
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

  // Called before starts are planned. Starts the task on the reserved VM if it
  // fits now; otherwise marks the VM as reserved and evicts idle work if that
  // is enough.
  void Begin(plan_draft& draft);
  // Called after starts are planned. Records large tasks that found no room,
  // and reserves a VM for the one that has waited longest.
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
  // Returns the VM that is expected to have room first if nothing else starts
  // there; null if there is none.
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
  boot_time last_search_;  // time of the last search for a VM to reserve
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_BACKFILL_H_
