// Empties data centres and VMs that leave service.
#ifndef CHIVEGLADE_SCHED_EVACUATION_H_
#define CHIVEGLADE_SCHED_EVACUATION_H_

#include <map>
#include <string>
#include <vector>

#include "src/sched/starter.h"

namespace chiveglade::sched {

// Stops the attempts of data centres that are out, and of drained VMs, at a
// limited rate: batch work first, the longest remaining run first, so that
// tasks near their end can finish. Service replicas come last, one per service
// at a time, and only once room for them is ready elsewhere or has not been
// found for some seconds.
class evacuation {
 public:
  evacuation(const planner_options& options,
             vm_index& index,
             const demand_model& demand,
             placement& places,
             preemption& evictions,
             hold_table& holds,
             starter& starts)
      : options_(options),
        index_(index),
        demand_(demand),
        placement_(places),
        preemption_(evictions),
        holds_(holds),
        starter_(starts) {}

  void Run(plan_draft& draft);

 private:
  // VMs that leave together.
  struct group {
    std::string name;
    std::string why;
    std::vector<vm_slot*> slots;
  };
  std::vector<group> Groups();
  void Evacuate(const group& evacuated, plan_draft& draft);
  // Stops up to `limit` batch attempts; returns true if none is left,
  // not even one that is stopping.
  bool StopBatch(const group& evacuated, size_t& limit, plan_draft& draft);
  void StopReplicas(const group& evacuated, size_t limit, plan_draft& draft);
  // True if the replica may be stopped now.
  bool ReplacementReady(const resident& replica,
                        const state::job& job,
                        plan_draft& draft);
  bool OtherReplicasRun(const state::job& job, const plan_draft& draft) const;
  bool ReplacementTimedOut(const state::task_id& task, const plan_draft& draft);
  millis RemainingRunTime(const resident& target,
                          const plan_draft& draft) const;

  const planner_options& options_;
  vm_index& index_;
  const demand_model& demand_;
  placement& placement_;
  preemption& preemption_;
  hold_table& holds_;
  starter& starter_;
  std::map<std::string, size_t>
      initial_attempts_;  // attempts at the start, by group
  std::map<state::task_id, boot_time> unplaced_since_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_EVACUATION_H_
