// The scheduling policy: decides which tasks start, stop and are throttled.
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

// What to do next.
struct plan {
  std::vector<state::event> events;  // each valid after the ones before it
  std::vector<state::throttle_order> throttles;
  std::map<std::string, std::string> why_pending;  // job -> reason
};

// kReturning: back in service, with starts that ramp up.
enum class data_centre_phase { kInService, kOutOfService, kReturning };

// What the planner needs to know and is not durable.
struct cluster_view {
  // A data centre that is not listed is in service.
  std::map<std::string, data_centre_phase> data_centres;
  std::map<std::string, boot_time> returned_at;  // of kReturning ones
  std::set<std::string> silent;  // VMs without a recent heartbeat: no starts
  boot_time now;
};

// Pure: reads no clock and does no I/O. Not thread-safe. The same calls with
// the same random numbers give the same plans.
class planner {
 public:
  // Fails with reason "bad_options" if a limit is zero or a share is not
  // between 0 and 1.
  static result<std::unique_ptr<planner>> Make(planner_options options,
                                               random_fn random);
  ~planner();
  planner(const planner&) = delete;
  planner& operator=(const planner&) = delete;

  // Adopts tenants' quotas and workload classes. Without a manifest nothing is
  // started.
  void SetManifest(const config::manifest& manifest);

  // Notes the measurements of one VM; they are used by the next Plan. Reports
  // of attempts that the state doesn't hold on the VM are ignored.
  void Observe(const state::heartbeat& report, boot_time now);

  // Notes how an attempt ended on the named VM. Must be called once per end.
  void ObserveEnd(const state::attempt_ended& end,
                  const std::string& vm,
                  const state::job_spec& spec,
                  boot_time now);

  // Decides what to do in `state`, which must be the committed state. The
  // events may be dropped: the next Plan starts from the state given to it.
  plan Plan(const state::cluster_state& state, const cluster_view& view);

  // The learned tables as JSON, to be kept in a snapshot.
  std::string SaveHints() const;
  // Adopts saved tables. Text that cannot be read is ignored: only learning
  // time is lost.
  void LoadHints(const std::string& hints);

 private:
  class impl;
  explicit planner(std::unique_ptr<impl> implementation);

  std::unique_ptr<impl> impl_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLANNER_H_
