// Evacuates data centres that are out of service and drained VMs.
#ifndef CHIVEGLADE_SCHED_EVACUATION_H_
#define CHIVEGLADE_SCHED_EVACUATION_H_

#include <map>
#include <string>
#include <vector>

#include "src/sched/starter.h"

namespace chiveglade::sched {

// Limits how many attempts stop at the same time. Batch work stops first, and
// within a band the attempts with the longest remaining run time, so that tasks
// near their end can finish. Service replicas stop last, one per service at a
// time, each once room for it is free elsewhere or kReplacementTimeout has
// passed without any.
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
  // VMs that are evacuated together: those of a data centre, or one drained VM.
  struct group {
    std::string name;
    std::string why;
    std::vector<vm_slot*> slots;
  };
  std::vector<group> Groups();
  void Evacuate(const group& evacuated, plan_draft& draft);
  // Stops up to `limit` batch attempts and subtracts their number from it.
  // Returns true if no batch attempt is left, not even a stopping one.
  bool StopBatch(const group& evacuated, size_t& limit, plan_draft& draft);
  void StopReplicas(const group& evacuated, size_t limit, plan_draft& draft);
  // Returns true if the replica may stop now. Holds room for its replacement,
  // and preempts lower bands for that if needed.
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
  // Largest number of attempts seen, by group.
  std::map<std::string, size_t> initial_attempts_;
  std::map<state::task_id, boot_time> unplaced_since_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_EVACUATION_H_
