// The order in which pending jobs are considered.
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
  boot_time pending_since;  // when the planner first saw it pending
  // Jobs with the same number are alike in all that a search for room depends
  // on: class, band, size and data centres.
  uint32_t equivalence_class = 0;
};

// Within a band, the tenant that holds the smallest dominant share of its
// quota comes first; within a tenant, the job that has waited longest.
class fair_order {
 public:
  // Starts a plan with the state's pending jobs. The state must outlive it.
  void BeginPlan(const state::cluster_state& state, boot_time now);

  // The next job of the band; null if there is none. Bands must be asked for
  // from the highest down. A job is offered again until Drop, or until its
  // tenant's turn passes to another.
  const pending_job* Next(state::band priority, const quota& quotas);
  // Tells that the job offered last was granted room, so that its tenant's
  // share grew.
  void UpdateShare(state::band priority, const quota& quotas);
  // Ends the turn of the job offered last.
  void RemoveOffered(state::band priority);

  // Every pending job, in no particular order.
  const std::vector<pending_job>& pending_jobs() const { return pending_jobs_; }
  // One more than the largest shape number.
  size_t equivalence_classes() const { return equivalence_classes_.size(); }
  // When a job was first seen pending; the epoch if it is not.
  boot_time PendingSince(const std::string& job) const;

 private:
  struct workspace_queue {
    std::string workspace;
    std::vector<const pending_job*> jobs;  // the next one last
  };
  struct band_queue {
    std::vector<workspace_queue> workspaces;
    // Tenants with jobs by (share, number), smallest share first; built when
    // the band is first asked for, after all higher bands.
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

  std::vector<known_job> known_;  // by name
  std::unordered_map<std::string, uint32_t> equivalence_classes_;
  band_queue bands_[4];
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_FAIR_ORDER_H_
