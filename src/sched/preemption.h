// Evicts lower bands for urgent and service work.
#ifndef CHIVEGLADE_SCHED_PREEMPTION_H_
#define CHIVEGLADE_SCHED_PREEMPTION_H_

#include <functional>
#include <optional>
#include <vector>

#include "src/sched/hold_table.h"
#include "src/sched/placement.h"

namespace chiveglade::sched {

// True if a task of band `taker` may evict one of band `victim`. Normal work
// evicts idle work only, which by definition fills unused room.
constexpr bool MayEvict(state::band preemptor, state::band victim) {
  return victim > preemptor;
}

// What stopping a resident loses, in milliseconds of work: what it is expected
// to lose of that done since its checkpoint, a fixed restart cost, and more for
// each time its task was evicted before, so that no task is evicted over and
// over.
double LostWorkCost(const resident& victim);

// The same with a surcharge for higher bands, so that idle work goes first.
double EvictionCost(const resident& victim);

class preemption {
 public:
  preemption(const planner_options& options,
             vm_index& index,
             placement& places,
             hold_table& holds);

  // Evicts the cheapest victims on the cheapest of a sample of VMs and holds
  // the room for the task. Returns false if no VM can be freed.
  bool MakeRoom(const placement_request& request,
                const state::task_id& task,
                bool moving,
                plan_draft& draft);

  // Victims on one VM that free `declared` by declaration and `wanted` by
  // corrected demand, cheapest first, or nothing if even all of a lower band
  // would not be enough. Room already being freed by stopping attempts is
  // counted.
  static std::optional<std::vector<resident*>> ChooseVictims(
      vm_slot& slot,
      const resources& declared,
      const resources& wanted,
      state::band preemptor,
      const std::function<double(const resident&)>& cost = EvictionCost);

 private:
  // Eviction cost, less the slowdown that the taker is spared.
  double NetEvictionCost(const placement_request& preemptor,
                         const resident& victim) const;

  const planner_options& options_;
  vm_index& index_;
  placement& placement_;
  hold_table& holds_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PREEMPTION_H_
