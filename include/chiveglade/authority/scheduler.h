// The scheduler role: decides on the committed state and sends out the effects
// of a decision only after its append is committed.
#ifndef CHIVEGLADE_AUTHORITY_SCHEDULER_H_
#define CHIVEGLADE_AUTHORITY_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/authority/journal.h"
#include "chiveglade/authority/planner_hooks.h"
#include "chiveglade/config/manifest.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/cluster_state.h"
#include "chiveglade/state/heartbeat.h"
#include "chiveglade/store/object_store.h"
#include "chiveglade/store/table.h"

namespace chiveglade::authority {

class control_rows;
class decision;
class recovery;
class vm_views;

struct scheduler_options {
  std::string name;     // of the entry, unique among running ones
  std::string address;  // where agents send heartbeats
  millis append_interval{100};
  millis scheduler_lease{3'000};
  millis takeover_jitter{500};
  millis head_poll_interval{1'000};
  millis command_poll_interval{250};
  millis data_centre_poll_interval{500};
  // Age of the last append at which the head is renewed.
  millis idle_append_interval{1'000};
  // A VM without a heartbeat for this long (three missed ones) is silent.
  millis heartbeat_timeout{3'000};
  millis return_ramp{60'000};  // how long a returning data centre is kReturning
  uint64_t records_per_snapshot = 5'000;
  millis snapshot_interval{30'000};
  // From the end of a job to its retirement.
  millis ended_job_retention{3'600'000};
  // The same for jobs with a failed task.
  millis failed_job_retention{86'400'000};
  millis silent_vm_retention{86'400'000};  // for silent VMs without attempts
  // Receives one line for each change of role; may be null.
  std::function<void(const std::string&)> log;
};

// Totals since the scheduler was created.
struct scheduler_counters {
  uint64_t appends = 0;
  uint64_t events = 0;
  // Refused by the state's rules or unsafe to grant.
  uint64_t rejected_events = 0;
  uint64_t stale_batches = 0;    // dropped because a data centre row changed
  uint64_t refused_appends = 0;  // not applied by the store
  uint64_t takeovers = 0;
  uint64_t losses = 0;
  uint64_t snapshots = 0;
  uint64_t heartbeats = 0;
  uint64_t stale_heartbeats = 0;
  friend bool operator==(const scheduler_counters&,
                         const scheduler_counters&) = default;
};

// One entry's candidate for the scheduler role. Polls the journal head, takes
// over when the holder stops renewing it, and schedules while it holds the
// role. Runs on one strand, on which the store's callbacks must also run; has
// effects only through the hooks.
class scheduler {
 public:
  static result<std::unique_ptr<scheduler>> Make(scheduler_options options,
                                                 store::table_service table,
                                                 store::object_store objects,
                                                 planner_hooks planner,
                                                 clock_fn clock,
                                                 random_fn random);
  static result<std::unique_ptr<scheduler>> Make(
      scheduler_options options,
      store::table_service table,
      store::object_store objects,
      std::unique_ptr<sched::planner> planner,
      clock_fn clock,
      random_fn random);
  ~scheduler();

  // Polls, takes over, decides and appends as due. Must be called every 50 ms.
  void Tick();

  // Records a heartbeat and returns its answer. Orders, acknowledgements and
  // grants in the answer are based on committed events only. An entry that does
  // not hold the role answers with epoch 0. The caller fills in `entries`.
  state::heartbeat_answer OnHeartbeat(const state::heartbeat& message);

  // Adopts a manifest; a version that is not newer than the current one is
  // ignored.
  void SetManifest(uint64_t version, const config::manifest& manifest);

  // Gives up the role with a final append and never takes it again. Calls
  // `released` once no append of this object can take effect any more.
  void Release(std::function<void()> released);

  bool holds_role() const { return role_ == role::kHolding; }
  // The epoch of the role held, or 0.
  uint64_t epoch() const;
  // The holder's address from the head row; empty if unknown or released.
  std::string scheduler_address() const;
  // The committed state; empty while the role is not held.
  const state::cluster_state& committed() const { return committed_; }
  // Whether the data centre is out of service according to the rows read last
  // while the role was held. Unknown names count as in service.
  bool IsOutOfService(const std::string& name) const;
  const scheduler_counters& counters() const { return counters_; }

  // Returns a summary as JSON: role, journal, totals, data centres, waiting
  // jobs.
  std::string StatusJson() const;
  // Returns one job or VM as JSON, or an empty string if there is none.
  std::string JobJson(const std::string& name) const;
  std::string VmJson(const std::string& name) const;

 private:
  enum class role { kWatching, kRecovering, kTakingOver, kHolding, kReleased };

  scheduler(scheduler_options options,
            store::table_service table,
            store::object_store objects,
            planner_hooks planner,
            clock_fn clock,
            random_fn random);

  // Polling the head and taking over.
  void PollHead(boot_time now);
  void OnHeadRead(const result<head_row>& found);
  void Recover();
  void OnTakeoverAppended(append_status status);
  void BecomeWatcher(const std::string& why);
  millis TakeoverDelay();

  // Deciding and appending.
  void RunRound(boot_time now);
  void Decide(boot_time now);
  void Plan(decision& round, boot_time now);
  sched::cluster_view MakeClusterView(boot_time now) const;
  void SendBatch(append_batch batch);
  void OnAppended(append_status status);
  void OnBatchCommitted();
  void ApplyCommitted(const state::event& change);
  void ClearBatch();
  // Retires jobs and removes VMs whose retention time has passed.
  void RunHousekeeping(decision& round, boot_time now);
  void RetireJobs(decision& round, boot_time now);
  void RemoveSilentVms(decision& round, boot_time now);
  void AppendRelease();
  void FinishRelease();
  void SnapshotIfDue(boot_time now);
  void OnSnapshotStored(uint64_t sequence, const result<done>& outcome);

  // Answering heartbeats.
  void AnswerAsHolder(const state::heartbeat& message,
                      state::heartbeat_answer& answer);
  void AddOrders(const state::heartbeat& message,
                 const state::vm& host,
                 state::heartbeat_answer& answer);
  state::stop_order StopOrder(const state::attempt_id& attempt,
                              const state::job_spec& spec) const;
  void SetOutOfService(const state::heartbeat& message,
                       state::heartbeat_answer& answer) const;

  void Log(const std::string& line) const;

  scheduler_options options_;
  store::table_service table_;
  store::object_store objects_;
  planner_hooks planner_;
  clock_fn clock_;
  random_fn random_;
  std::unique_ptr<journal> journal_;
  std::unique_ptr<control_rows> control_rows_;
  std::unique_ptr<recovery> recovery_;
  std::unique_ptr<vm_views> vm_views_;
  std::shared_ptr<scheduler*> self_;

  role role_ = role::kWatching;
  // Changes with the role; makes older callbacks void.
  uint64_t role_generation_ = 0;
  scheduler_counters counters_;

  // State of kWatching.
  head_row seen_head_;
  boot_time head_seen_at_{};    // when this version was first seen
  boot_time last_head_read_{};  // when the last read was answered
  boot_time next_head_read_{};
  millis takeover_delay_{0};
  bool head_read_in_flight_ = false;
  bool head_read_once_ = false;

  // State of kHolding.
  state::cluster_state committed_;
  // `committed_` plus the events of the batch in flight.
  state::cluster_state proposed_;
  append_batch batch_;
  // Order ticks of the grants in flight.
  std::map<state::attempt_id, int64_t> batch_ticks_;
  // VMs with attempts that the batch declares lost.
  std::set<std::string> batch_lost_vms_;
  // VMs whose reports the batch covers.
  std::set<state::vm_id> batch_updated_vms_;
  // When a job was first found ended.
  std::map<std::string, boot_time> ended_since_;
  std::map<state::attempt_id, int64_t> start_ticks_;
  std::map<state::attempt_id, std::string> stop_reasons_;
  std::map<state::attempt_id, uint32_t> throttles_;
  std::map<std::string, std::string> why_pending_;
  boot_time holding_since_{};
  boot_time next_decision_{};
  boot_time next_housekeeping_{};
  // Head version of the last append that drained or undrained.
  uint64_t last_drain_version_ = 0;
  bool manifest_pending_ = false;

  // Snapshots.
  // Sequence of the newest stored one; the next append records it in the head.
  uint64_t stored_snapshot_ = 0;
  uint64_t attempted_snapshot_ = 0;
  uint64_t last_change_sequence_ = 0;  // newest record with events
  boot_time last_snapshot_at_{};
  bool snapshot_in_flight_ = false;

  config::manifest manifest_;
  // Jobs in the manifest; never retired, because a forgotten name would be
  // submitted again.
  std::set<std::string> declared_jobs_;
  uint64_t manifest_version_ = 0;
  bool releasing_ = false;
  std::function<void()> on_released_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_SCHEDULER_H_
