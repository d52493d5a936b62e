// The parts of the planner and the order in which they work.
#ifndef CHIVEGLADE_SCHED_PLANNER_IMPL_H_
#define CHIVEGLADE_SCHED_PLANNER_IMPL_H_

#include <string>

#include "chiveglade/sched/planner.h"
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

 private:
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
  worker_health health_;
  placement places_;
  preemption evictions_;
  starter starter_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLANNER_IMPL_H_
