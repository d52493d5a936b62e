// The components of the planner and the order in which a pass runs them.
#ifndef CHIVEGLADE_SCHED_PLANNER_IMPL_H_
#define CHIVEGLADE_SCHED_PLANNER_IMPL_H_

#include <string>

#include "chiveglade/sched/planner.h"
#include "src/sched/backfill.h"
#include "src/sched/evacuation.h"
#include "src/sched/hints.h"
#include "src/sched/measurements.h"
#include "src/sched/parking.h"
#include "src/sched/starter.h"

namespace chiveglade::sched {

class planner::impl {
 public:
  impl(const planner_options& options, random_fn random);

  void SetManifest(const config::manifest& manifest);
  void Observe(const state::heartbeat& report, boot_time now);
  void ObserveEnd(const state::attempt_ended& end,
                  const std::string& vm,
                  const state::job_spec& spec,
                  boot_time now);
  plan Plan(const state::cluster_state& state, const cluster_view& view);
  std::string SaveHints();
  void LoadHints(const std::string& hints) { loaded_hints_ = hints; }

 private:
  learned_tables LearnedTables() {
    return {classes_, demand_, interference_, guard_};
  }

  const planner_options options_;
  const random_fn random_;
  class_table classes_;
  demand_model demand_;
  interference_model interference_;
  quota quotas_;
  fair_order order_;
  start_pacer pacer_;
  vm_index index_;
  hold_table holds_;
  vm_health health_;
  placement placement_;
  preemption preemption_;
  starter starter_;
  interference_guard guard_;
  measurements measurements_;
  evacuation evacuation_;
  backfill backfill_;
  parking parking_;
  // Parsed by the next Plan, which knows the current time. Empty: nothing to
  // load.
  std::string loaded_hints_;
  boot_time last_plan_time_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLANNER_IMPL_H_
