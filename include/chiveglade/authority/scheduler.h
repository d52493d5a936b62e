// The scheduler role: decides on the committed state, appends, and only then
// lets effects out.
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
  millis command_poll{250};
  millis data_centre_poll{500};
  millis idle_append{1'000};   // age of the head at which it is renewed
  millis silent_after{3'000};  // three missed heartbeats
  millis return_ramp{60'000};  // a returning data centre is kReturning
  uint64_t snapshot_records = 5'000;
  millis snapshot_interval{30'000};
  millis ended_jobs_kept{3'600'000};    // before a job is retired
  millis failed_jobs_kept{86'400'000};  // the same if a task failed
  millis vms_kept{86'400'000};          // silent VMs without attempts
  // Receives one line for each change of role; may be empty.
  std::function<void(const std::string&)> log;
};

// Totals since the process started.
struct scheduler_counters {
  uint64_t appends = 0;
  uint64_t events = 0;
  uint64_t rejected_events = 0;  // decided but refused by the state's rules
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

// One entry's share in scheduling: watches the journal's head, takes over when
// it is silent, and schedules while it holds the head. Runs on one strand, on
// which the store's callbacks must arrive too; effects only through the hooks.
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

  // To be called every 50 ms: polls, takes over, decides, appends.
  void Tick();

  // Takes a heartbeat and answers it. Orders, acknowledgements and grants in
  // the answer rest on committed events only. An entry that does not hold the
  // role answers with epoch 0. `entries` is left to the caller.
  state::heartbeat_answer OnHeartbeat(const state::heartbeat& message);

  // Adopts a manifest; an older version than the present one is ignored.
  void SetManifest(uint64_t version, const config::manifest& manifest);

  // Gives up the role with a final append and never takes it again. `released`
  // is called once no append of this object can take effect any more.
  void Release(std::function<void()> released);

  bool holds_role() const { return role_ == role::kHolding; }
  // Of the role held, or 0.
  uint64_t epoch() const;
  // The holder's address from the head row; empty if unknown or released.
  std::string scheduler_address() const;
  // The committed state; empty while the role is not held.
  const state::cluster_state& committed() const { return committed_; }
  // Whether the data centre is out by the rows read last while the role was
  // held; unknown names are in service.
  bool DataCentreOut(const std::string& name) const;
  const scheduler_counters& counters() const { return counters_; }

  // A summary as JSON: role, journal, totals, data centres, jobs that wait.
  std::string StatusJson() const;
  // One job or VM as JSON, or an empty string if it is not there.
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

  // Watching and taking over.
  void Watch(boot_time now);
  void OnHead(const result<head_row>& found);
  void Recover();
  void OnTakenOver(append_status status);
  void BecomeWatcher(const std::string& why);
  millis TakeoverDelay();

  // Deciding and appending.
  void Hold(boot_time now);
  void Decide(boot_time now);
  void Plan(decision& round, boot_time now);
  sched::cluster_view View(boot_time now) const;
  void SendBatch(append_batch batch);
  void OnAppended(append_status status);
  void Commit();
  void CommitOne(const state::event& change);
  void AbandonBatch();
  // Retires jobs and forgets VMs whose time to be kept has passed.
  void Housekeep(decision& round, boot_time now);
  void RetireJobs(decision& round, boot_time now);
  void ForgetVms(decision& round, boot_time now);
  void AppendRelease();
  void FinishRelease();
  void TakeSnapshot(boot_time now);
  void OnSnapshot(uint64_t sequence, const result<done>& outcome);

  // Answering.
  void AnswerHolding(const state::heartbeat& message,
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
  std::unique_ptr<control_rows> control_;
  std::unique_ptr<recovery> recovery_;
  std::unique_ptr<vm_views> views_;
  std::shared_ptr<scheduler*> self_;

  role role_ = role::kWatching;
  uint64_t term_ = 0;  // changes with the role; guards callbacks
  scheduler_counters counters_;

  // Watching.
  head_row seen_;
  boot_time seen_at_{};    // when this version was first seen
  boot_time last_read_{};  // the last answered read
  boot_time next_read_{};
  millis takeover_delay_{0};
  bool reading_ = false;
  bool ever_read_ = false;

  // Holding.
  state::cluster_state committed_;
  state::cluster_state next_;  // committed_ plus the batch in flight
  append_batch batch_;
  std::map<state::attempt_id, int64_t> batch_ticks_;  // of starts in flight
  std::set<std::string> batch_lost_;    // VMs with lost attempts in flight
  std::set<state::vm_id> batch_dirty_;  // VMs whose reports are in flight
  std::map<std::string, boot_time> ended_since_;  // of jobs that have ended
  std::map<state::attempt_id, int64_t> start_ticks_;
  std::map<state::attempt_id, std::string> stop_reasons_;
  std::map<state::attempt_id, uint32_t> throttles_;
  std::map<std::string, std::string> why_pending_;
  boot_time holding_since_{};
  boot_time next_decision_{};
  boot_time next_housekeeping_{};
  uint64_t drain_version_ = 0;  // of the newest append that changed drains
  bool manifest_pending_ = false;

  // Snapshots.
  uint64_t snapshot_done_ = 0;  // newest stored, to be recorded in the head
  uint64_t snapshot_tried_ = 0;
  uint64_t changed_at_ = 0;  // newest record with events
  boot_time snapshot_at_{};
  bool snapshot_open_ = false;

  config::manifest manifest_;
  std::set<std::string> declared_;  // jobs in the manifest, never retired: a
                                    // forgotten name would be submitted again
  uint64_t manifest_version_ = 0;
  bool releasing_ = false;
  std::function<void()> released_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_SCHEDULER_H_
