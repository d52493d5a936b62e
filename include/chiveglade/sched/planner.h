// The scheduling policy: decides which tasks to start, stop and throttle.
#ifndef CHIVEGLADE_SCHED_PLANNER_H_
#define CHIVEGLADE_SCHED_PLANNER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/config/manifest.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/sched/planner_options.h"
#include "chiveglade/state/cluster_state.h"
#include "chiveglade/state/event.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::sched {

// The decisions of one planning pass.
struct plan {
  std::vector<state::event> events;  // to be applied in this order
  std::vector<state::throttle_order> throttles;
  std::map<std::string, std::string> why_pending;  // reason by job
};

// In kReturning a data centre is back in service, and the share of its capacity
// that may be committed ramps up.
enum class data_centre_phase { kInService, kOutOfService, kReturning };

// Inputs of the planner that are not part of the durable state.
struct cluster_view {
  // Data centres that are not listed are in service.
  std::map<std::string, data_centre_phase> data_centres;
  // Start of the ramp, by kReturning data centre.
  std::map<std::string, boot_time> returned_at;
  // VMs without a recent heartbeat. Nothing starts there.
  std::set<std::string> silent;
  boot_time now;
};

// Deterministic: reads no clock, does no I/O, and returns the same plans for
// the same calls and random numbers. Not thread-safe.
class planner {
 public:
  // Fails with reason "bad_options" if a limit is zero, if a share is not in
  // (0, 1], or if `random` is null.
  static result<std::unique_ptr<planner>> Make(planner_options options,
                                               random_fn random);
  ~planner();
  planner(const planner&) = delete;
  planner& operator=(const planner&) = delete;

  // Adopts the workspaces' quotas and the workload classes. Nothing starts
  // before the first manifest.
  void SetManifest(const config::manifest& manifest);

  // Records the measurements of one VM for the next Plan. Reports of attempts
  // that do not hold the VM in the state given to Plan are ignored.
  void Observe(const state::heartbeat& report, boot_time now);

  // Records how an attempt ended on the named VM. Must be called exactly once
  // per ended attempt.
  void ObserveEnd(const state::attempt_ended& end,
                  const std::string& vm,
                  const state::job_spec& spec,
                  boot_time now);

  // Returns the decisions for `state`, which must be the committed state. The
  // caller may drop the events: the next call starts from the state passed to
  // it.
  plan Plan(const state::cluster_state& state, const cluster_view& view);

  // Returns the learned tables as JSON, to be stored in a snapshot.
  std::string SaveHints() const;
  // Restores tables written by SaveHints. Ignores text that it cannot parse,
  // since the tables can be learned again.
  void LoadHints(const std::string& hints);

 private:
  class impl;
  explicit planner(std::unique_ptr<impl> implementation);

  std::unique_ptr<impl> impl_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLANNER_H_
