#include "chiveglade/authority/planner_hooks.h"

#include <utility>

namespace chiveglade::authority {

planner_hooks MakePlannerHooks(std::unique_ptr<sched::planner> owned) {
  const std::shared_ptr<sched::planner> at = std::move(owned);
  planner_hooks out;
  out.set_manifest = [at](const config::manifest& in) { at->SetManifest(in); };
  out.observe = [at](const state::heartbeat& report, boot_time now) {
    at->Observe(report, now);
  };
  out.observe_end = [at](const state::attempt_ended& end, const std::string& vm,
                         const state::job_spec& spec,
                         boot_time now) { at->ObserveEnd(end, vm, spec, now); };
  out.plan = [at](const state::cluster_state& state,
                  const sched::cluster_view& view) {
    return at->Plan(state, view);
  };
  out.save_hints = [at] { return at->SaveHints(); };
  out.load_hints = [at](const std::string& hints) { at->LoadHints(hints); };
  return out;
}

}  // namespace chiveglade::authority
