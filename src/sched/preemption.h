// Evicts residents of lower bands to make room for a task.
#ifndef CHIVEGLADE_SCHED_PREEMPTION_H_
#define CHIVEGLADE_SCHED_PREEMPTION_H_

#include <functional>
#include <optional>
#include <vector>

#include "src/sched/hold_table.h"
#include "src/sched/placement.h"

namespace chiveglade::sched {

// Returns true if a task of band `preemptor` may evict one of band `victim`. A
// higher band has the smaller value. Normal work thus evicts idle work only,
// which by definition uses otherwise free room.
constexpr bool MayEvict(state::band preemptor, state::band victim) {
  return victim > preemptor;
}

// Returns the cost of stopping a resident, in milliseconds of work: the
// expected loss of work since its last checkpoint plus a fixed restart cost.
// The sum grows with each earlier eviction of the task, so that no task is
// evicted over and over.
double LostWorkCost(const resident& victim);

// Returns LostWorkCost plus a surcharge for higher bands, so that idle work is
// evicted first.
double EvictionCost(const resident& victim);

class preemption {
 public:
  preemption(const planner_options& options,
             vm_index& index,
             placement& places,
             hold_table& holds);

  // Evicts the cheapest victims on the cheapest VM of a random sample, and
  // holds the room for the task. `moving` is true for a replica that still runs
  // on another VM. Returns false if no sampled VM can be freed.
  bool MakeRoom(const placement_request& request,
                const state::task_id& task,
                bool moving,
                plan_draft& draft);

  // Returns the victims on one VM, cheapest first, that free `declared` by
  // declared and `wanted` by corrected demand; nothing if evicting all lower
  // bands would not be enough. Counts room that stopping attempts are about to
  // free.
  static std::optional<std::vector<resident*>> ChooseVictims(
      vm_slot& slot,
      const resources& declared,
      const resources& wanted,
      state::band preemptor,
      const std::function<double(const resident&)>& cost = EvictionCost);

 private:
  // Returns the eviction cost less the slowdown that the victim would have
  // caused to the preemptor.
  double NetEvictionCost(const placement_request& preemptor,
                         const resident& victim) const;

  const planner_options& options_;
  vm_index& index_;
  placement& placement_;
  hold_table& holds_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PREEMPTION_H_
