// Starts pending tasks.
#ifndef CHIVEGLADE_SCHED_STARTER_H_
#define CHIVEGLADE_SCHED_STARTER_H_

#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/sched/fair_order.h"
#include "src/sched/hold_table.h"
#include "src/sched/placement.h"
#include "src/sched/preemption.h"
#include "src/sched/quota.h"
#include "src/sched/vm_health.h"

namespace chiveglade::sched {

// Goes through the bands from the highest down and, in fair order, grants
// starts within quotas, start limits and room.
class starter {
 public:
  // References to the planner's parts; all must outlive the starter.
  struct dependencies {
    const planner_options& options;
    vm_index& index;
    class_table& classes;
    const demand_model& demand;
    quota& quotas;
    fair_order& order;
    start_pacer& pacer;
    placement& places;
    preemption& evictions;
    hold_table& holds;
    vm_health& health;
  };
  explicit starter(const dependencies& deps) : deps_(deps) {}

  // Starts a plan: forgets what was computed for the last one.
  void BeginPlan();
  // Starts tasks whose held room has become free, then all others. Tasks that
  // find no room are remembered until the next Begin.
  void Run(plan_draft& draft);
  // Starts one task on the given VM if it has room and everything else allows
  // it. Used for probes and for reservations.
  bool StartOn(vm_slot& slot,
               const state::job& job,
               uint32_t index,
               plan_draft& draft);

  // The request for a task of the job. Valid until the next Begin.
  placement_request MakeRequest(const state::job& job, uint32_t index);
  // When the planner first saw the job pending; the epoch if it is not.
  boot_time PendingSince(const std::string& job) const {
    return deps_.order.PendingSince(job);
  }
  // A pending task that no VM had room for. Valid during the plan.
  struct unplaced_task {
    const state::job* job = nullptr;
    uint32_t index = 0;
  };
  // Tasks that found no room in the last Run, one per shape of job.
  const std::vector<unplaced_task>& tasks_without_room() const {
    return tasks_without_room_;
  }

 private:
  void StartHeld(plan_draft& draft);
  void StartProbes(plan_draft& draft);
  void StartBand(state::band priority, plan_draft& draft);
  // What became of one offer of a job.
  enum class outcome : uint8_t { kStarted, kSkipTask, kSkipJob };
  outcome TryStart(const pending_job& offered,
                   uint32_t index,
                   plan_draft& draft);
  bool QuotaAllows(const state::job& job, plan_draft& draft);
  void Grant(vm_slot& slot,
             const state::job& job,
             uint32_t index,
             plan_draft& draft);
  job_spread& SpreadOf(const state::job& job);

  dependencies deps_;
  std::unordered_map<std::string, job_spread> spreads_;
  // Searches that failed in this plan, by shape; kNone: not tried.
  std::vector<obstacle> failed_searches_;
  std::vector<unplaced_task> tasks_without_room_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_STARTER_H_
