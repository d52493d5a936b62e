// One round of decisions: gathers the events of one append.
#ifndef CHIVEGLADE_AUTHORITY_DECISION_H_
#define CHIVEGLADE_AUTHORITY_DECISION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/authority/journal.h"
#include "chiveglade/config/manifest.h"
#include "chiveglade/sched/planner.h"
#include "chiveglade/state/cluster_state.h"
#include "control_rows.h"
#include "vm_views.h"

namespace chiveglade::authority {

// Longest time from the end of a start's validity until a heartbeat must show
// it: the worker's start call takes up to 0.5 s and its list is polled every
// 0.5 s; doubled.
constexpr millis kStartMargin{2'000};
// How long an attempt that had been confirmed must be missing from heartbeats
// before it is taken as lost, by the agent's clock.
constexpr millis kMissingLimit{5'000};

// What a round is decided on. All references outlive the round.
struct decision_input {
  const control_rows& control;
  vm_views& views;
  const std::map<state::attempt_id, int64_t>& start_ticks;
  uint64_t epoch = 0;
  boot_time now{};
  boot_time holding_since{};  // when the takeover was confirmed
  millis silent_after{0};
};

class decision {
 public:
  // `state` is the committed state; it takes the round's events.
  decision(const decision_input& input, state::cluster_state& state)
      : in_(input), state_(state) {}

  // Applies an event and records it, unless the state's rules refuse it.
  result<done> Add(const state::event& change);

  // Turns what VMs have reported since the last round into events.
  void TakeHeartbeats(const std::set<state::vm_id>& dirty);
  // Absorbs command rows; each is deleted by the append that carries its
  // outcome.
  void TakeCommands();
  // Ends attempts whose run lease has expired on VMs that are silent.
  void ExpireLeases();
  // Creates, resizes and removes service jobs and submits declared jobs.
  // Returns false if more is left for a later round.
  bool SyncManifest(const config::manifest& manifest);
  // Adds the planner's events. Starts in data centres that are out, or on VMs
  // that are silent, are dropped.
  void TakePlan(const sched::plan& plan);

  append_batch batch;
  // Ticks for the start orders of granted attempts.
  std::map<state::attempt_id, int64_t> ticks;
  // VMs with attempts that this round declares lost.
  std::set<std::string> lost_on;
  uint64_t rejected = 0;

  // Largest number of events in one append that SyncManifest fills up to.
  static constexpr size_t kMaxEvents = 2'000;

 private:
  void TakeView(const state::vm_id& id, vm_view& view);
  bool Join(const state::vm_id& id, const vm_view& view);
  bool ProvenNewer(const vm_view& view) const;
  // Takes the ends reported for attempts that the state has on `host`, which
  // may be an older incarnation of the sender.
  void TakeEnds(const state::vm_id& host, const state::heartbeat& message);
  void TakeReports(const state::vm& host, vm_view& view);
  void TakeMissing(const state::attempt_id& attempt, vm_view& view);
  void EndAllOn(const state::vm_id& id, const std::string& why);
  void End(const state::attempt_id& attempt,
           state::attempt_end how,
           const std::string& detail);
  void TakeCommand(const store::row& row);
  result<done> Execute(const command& order);
  result<done> Submit(const command& order);
  result<done> Cancel(const command& order);
  result<done> Gone(const command& order);
  bool MayGrant(const state::attempt_granted& grant);
  bool Silent(const state::vm_id& id) const;
  void SyncService(const config::manifest& manifest,
                   const config::service_spec& service);

  const decision_input& in_;
  state::cluster_state& state_;
  std::set<std::string> joined_;        // names that joined in this round
  std::set<std::string> data_centres_;  // with starts in this round
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_DECISION_H_
