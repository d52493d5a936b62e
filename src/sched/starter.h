// Plans the starts of pending tasks.
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

// Takes the bands from the highest down and, within each, pending jobs in fair
// order. Grants starts as far as quotas, start limits and room allow, and
// preempts lower bands where there is no room.
class starter {
 public:
  // The planner's components that the starter uses. All must outlive it.
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

  // Clears what was computed for the last plan.
  void BeginPlan();
  // Starts tasks whose held room has become free, then probes of quarantined
  // VMs, then all others. Tasks that find no room are kept until the next
  // BeginPlan.
  void Run(plan_draft& draft);
  // Starts one task on the given VM if it has room, and constraints, quotas and
  // start limits allow it. Ignores a reservation or quarantine of the VM.
  // Returns true if it was started.
  bool StartOn(vm_slot& slot,
               const state::job& job,
               uint32_t index,
               plan_draft& draft);

  // Returns the placement request for a task of the job. Valid until the next
  // BeginPlan.
  placement_request MakeRequest(const state::job& job, uint32_t index);
  // Returns when the planner first saw the job pending; the epoch if it is not
  // pending.
  boot_time PendingSince(const std::string& job) const {
    return deps_.order.PendingSince(job);
  }
  // A pending task that found no VM with room. Valid during the plan.
  struct unplaced_task {
    const state::job* job = nullptr;
    uint32_t index = 0;
  };
  // Tasks that found no room in the last Run. At most one per equivalence class
  // if their jobs have no limits of their own.
  const std::vector<unplaced_task>& tasks_without_room() const {
    return tasks_without_room_;
  }

 private:
  void StartHeld(plan_draft& draft);
  void StartProbes(plan_draft& draft);
  void StartBand(state::band priority, plan_draft& draft);
  // Result of trying to start one task of a job.
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
  // Why a search failed in this plan, by equivalence class; kNone if none has
  // failed.
  std::vector<obstacle> failed_searches_;
  std::vector<unplaced_task> tasks_without_room_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_STARTER_H_
