#include "src/sched/planner_impl.h"

#include <utility>

namespace chiveglade::sched {

planner::impl::impl(const planner_options& options, random_fn random)
    : options_(options),
      random_(std::move(random)),
      pacer_(options.starts_per_second, options.starts_per_vm_second),
      index_(options_),
      health_(options_),
      places_(options_, index_, classes_, interference_, pacer_, random_),
      evictions_(options_, index_, places_, holds_),
      starter_({options_, index_, classes_, demand_, quotas_, order_, pacer_,
                places_, evictions_, holds_, health_}) {}

void planner::impl::SetManifest(const config::manifest& manifest) {
  classes_.SetManifest(manifest);
  quotas_.SetManifest(manifest);
}

void planner::impl::Observe(const state::heartbeat& report, boot_time now) {
  (void)report;
  (void)now;
}

void planner::impl::ObserveEnd(const state::attempt_ended& end,
                               const std::string& vm,
                               const state::job_spec& spec,
                               boot_time now) {
  (void)spec;
  (void)now;
  health_.ObserveEnd(end, vm);
}

plan planner::impl::Plan(const state::cluster_state& state,
                         const cluster_view& view) {
  index_.Sync(state, view, classes_, demand_);
  plan_draft draft(state, view, index_);
  quotas_.Begin(state.usage());
  order_.Begin(state, view.now);
  pacer_.Trim(view.now);
  holds_.Apply(draft, index_);
  health_.Run(draft);
  starter_.Run(draft);
  return draft.Take();
}

}  // namespace chiveglade::sched
