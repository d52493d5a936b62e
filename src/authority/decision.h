// One decision round, which gathers the events of one append.
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

// Longest time from the end of a start order's validity until a heartbeat must
// report the attempt. Twice the sum of the worker's start call (up to 0.5 s)
// and the poll interval of its list (0.5 s).
constexpr millis kStartReportMargin{2'000};
// How long a confirmed attempt must be missing from heartbeats, by the agent's
// clock, before it counts as lost.
constexpr millis kMissingAttemptTimeout{5'000};

// Inputs of a round. All references must outlive the round.
struct decision_input {
  const control_rows& control;
  vm_views& views;
  const std::map<state::attempt_id, int64_t>& start_ticks;
  uint64_t epoch = 0;
  boot_time now{};
  boot_time holding_since{};  // when the takeover was confirmed
  millis heartbeat_timeout{0};
};

class decision {
 public:
  // `state` equals the committed state; the round applies its events to it.
  decision(const decision_input& input, state::cluster_state& state)
      : in_(input), state_(state) {}

  // Applies an event and adds it to the batch, unless the state's rules refuse
  // it.
  result<done> Add(const state::event& change);

  // Adds the events that follow from the latest heartbeats of these VMs.
  void ApplyHeartbeats(const std::set<state::vm_id>& updated);
  // Executes command rows; each row is deleted by the append that records its
  // outcome.
  void ExecuteCommands();
  // Ends attempts on silent VMs whose run lease has expired.
  void ExpireLeases();
  // Creates and resizes service jobs, scales removed services to zero and
  // submits declared jobs. Returns false if some are left for a later round.
  bool SyncManifest(const config::manifest& manifest);
  // Adds the planner's events, except grants in data centres that are out of
  // service and on VMs that are silent or drained.
  void ApplyPlan(const sched::plan& plan);

  append_batch batch;
  // For each granted attempt, the agent's tick from which its start order's
  // validity counts.
  std::map<state::attempt_id, int64_t> order_ticks;
  // Names of VMs with attempts that this round declares lost.
  std::set<std::string> vms_with_lost_attempts;
  uint64_t rejected_events = 0;

  // SyncManifest submits no more declared jobs once the batch has this many
  // events.
  static constexpr size_t kMaxEventsPerAppend = 2'000;

 private:
  void ApplyView(const state::vm_id& id, vm_view& view);
  bool JoinVm(const state::vm_id& id, const vm_view& view);
  bool IsProvenNewer(const vm_view& view) const;
  // Applies the reported ends of attempts that the state has on `host`, which
  // may be an older incarnation of the sender.
  void ApplyEnds(const state::vm_id& host, const state::heartbeat& message);
  void ApplyReports(const state::vm& host, vm_view& view);
  void CheckMissing(const state::attempt_id& attempt, vm_view& view);
  void EndAttemptsOn(const state::vm_id& id, const std::string& why);
  void EndAttempt(const state::attempt_id& attempt,
                  state::attempt_end how,
                  const std::string& detail);
  void ExecuteRow(const store::row& row);
  result<done> Execute(const command& order);
  result<done> Submit(const command& order);
  result<done> Cancel(const command& order);
  result<done> RemoveGoneVm(const command& order);
  bool MayGrant(const state::attempt_granted& grant);
  bool IsSilent(const state::vm_id& id) const;
  void SyncService(const config::manifest& manifest,
                   const config::service_spec& service);

  const decision_input& in_;
  state::cluster_state& state_;
  std::set<std::string> joined_vms_;  // VM names that joined in this round
  // Data centres with grants in this round.
  std::set<std::string> start_data_centres_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_DECISION_H_
