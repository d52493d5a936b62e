// Orders pending jobs by dominant resource fairness.
#ifndef CHIVEGLADE_SCHED_FAIR_ORDER_H_
#define CHIVEGLADE_SCHED_FAIR_ORDER_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chiveglade/state/cluster_state.h"
#include "src/sched/quota.h"

namespace chiveglade::sched {

// A job with pending tasks.
struct pending_job {
  const state::job* job = nullptr;
  const std::set<uint32_t>* tasks = nullptr;
  boot_time pending_since;  // when the planner first saw the job pending
  // Jobs with the same number agree in everything that a search for room
  // depends on: class, band, resources per task and allowed data centres.
  uint32_t equivalence_class = 0;
};

// Within a band, the workspace with the smallest dominant share of its quota
// comes first; within a workspace, the job that has waited longest.
class fair_order {
 public:
  // Collects the pending jobs of the state, which must outlive the plan.
  void BeginPlan(const state::cluster_state& state, boot_time now);

  // Returns the next job of the band; null if there is none. Bands must be
  // taken from the highest down. The same job is returned again until
  // RemoveOffered, or until UpdateShare puts another workspace first.
  const pending_job* Next(state::band priority, const quota& quotas);
  // Reorders the workspace of the job returned last, whose share has grown by a
  // grant.
  void UpdateShare(state::band priority, const quota& quotas);
  // Removes the job returned last from this plan.
  void RemoveOffered(state::band priority);

  // All pending jobs, in no particular order.
  const std::vector<pending_job>& pending_jobs() const { return pending_jobs_; }
  // One more than the largest equivalence class.
  size_t equivalence_classes() const { return equivalence_classes_.size(); }
  // Returns when a job was first seen pending; the epoch if it is not pending.
  boot_time PendingSince(const std::string& job) const;

 private:
  struct workspace_queue {
    std::string workspace;
    std::vector<const pending_job*> jobs;  // the next one is last
  };
  struct band_queue {
    std::vector<workspace_queue> workspaces;
    // Workspaces with jobs as (dominant share, position in `workspaces`),
    // smallest share first. Built by the first Next of the band, since grants
    // to higher bands change the shares.
    std::set<std::pair<double, size_t>> order;
    bool ordered = false;
    std::pair<double, size_t> offered;
  };

  std::vector<pending_job> pending_jobs_;
  struct known_job {
    std::string name;
    boot_time pending_since;
    uint32_t equivalence_class = 0;
  };
  uint32_t EquivalenceClassOf(const state::job_spec& spec);

  std::vector<known_job> known_;  // sorted by name
  std::unordered_map<std::string, uint32_t> equivalence_classes_;
  band_queue bands_[4];
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_FAIR_ORDER_H_
