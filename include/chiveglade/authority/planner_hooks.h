// Interface between the scheduler and a planner.
#ifndef CHIVEGLADE_AUTHORITY_PLANNER_HOOKS_H_
#define CHIVEGLADE_AUTHORITY_PLANNER_HOOKS_H_

#include <functional>
#include <memory>
#include <string>

#include "chiveglade/sched/planner.h"

namespace chiveglade::authority {

// The methods of sched::planner as hooks. Only `plan` is required.
struct planner_hooks {
  std::function<void(const config::manifest&)> set_manifest;
  std::function<void(const state::heartbeat&, boot_time)> observe;
  std::function<void(const state::attempt_ended&,
                     const std::string& vm,
                     const state::job_spec&,
                     boot_time)>
      observe_end;
  std::function<sched::plan(const state::cluster_state&,
                            const sched::cluster_view&)>
      plan;
  std::function<std::string()> save_hints;
  std::function<void(const std::string&)> load_hints;
};

// Returns hooks that forward to the planner and own it.
planner_hooks MakePlannerHooks(std::unique_ptr<sched::planner> owned);

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_PLANNER_HOOKS_H_
