// The runner's state machine for the worker on its VM. Does no I/O: calls and
// reports are values, and the caller passes the time.
#ifndef CHIVEGLADE_WORKFLOW_SUPERVISOR_H_
#define CHIVEGLADE_WORKFLOW_SUPERVISOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/workflow/message.h"
#include "chiveglade/workflow/pacer.h"
#include "chiveglade/workflow/worker_port.h"

namespace chiveglade::workflow {

struct supervisor_options {
  std::string vm;
  std::string address;             // where this runner accepts orders
  std::string runner_incarnation;  // unique for this process
  // Longest lease that the worker grants; set by the platform.
  millis worker_lease{6'000};
  // How long the worker may hold a lease call open until a run ends.
  millis lease_reply_wait{1'000};
  // The same while best-effort runs are beside serving tasks. The pacer needs a
  // fresh load figure each half second, the window over which the worker
  // measures.
  millis paced_lease_reply_wait{450};
  // Delay before an unanswered or refused call is retried.
  millis retry_delay{120};
  // A worker is declared gone if neither heartbeats nor replies have arrived
  // for this long and its lease is over. If only replies are missing, its runs
  // are refused then. Covers two missed heartbeats.
  millis heartbeat_timeout{3'500};
  pacer_options pacing;
  // Most start calls, stop calls and throttle calls each without a reply. Each
  // has a connection of its own.
  uint32_t max_calls = 64;
  // A worker that has refused connections for this long gets no new runs, and
  // is declared gone once its lease is over. Covers a restart of its listener.
  millis connect_refused_timeout{250};
  std::function<void(const char* event,
                     const std::vector<std::pair<std::string, std::string>>&)>
      log;
};

// Tracks the runs of one worker. Starts only what the coordinator with the
// highest epoch ordered within the order's validity, extends leases no further
// than the coordinator's grant, and reports each end until it is acknowledged.
// Not thread-safe.
class supervisor {
 public:
  explicit supervisor(supervisor_options options);

  // Returns false if the heartbeat is of an older incarnation or out of
  // sequence, or if it contradicts those before and no second one agrees with
  // it. One of a later incarnation takes effect once the worker itself has
  // replied as that incarnation.
  bool OnHeartbeat(const worker_heartbeat& in, boot_time now);
  // Handles the worker's notice that it is exiting. It gets no new runs, and is
  // gone once it no longer listens. A later heartbeat that does not drain voids
  // the notice, which may have been of an earlier incarnation.
  void OnWorkerExit(const std::string& instance, boot_time now);

  // The VM was suspended for this long until now, which the clock of the caller
  // has counted. The clock of the worker may have stood still, so that its
  // lease lasts longer than was allowed for.
  void OnSuspension(millis length, boot_time now);

  // Adopts the coordinator unless its epoch is lower than the known one, in
  // which case it returns false. An empty address keeps the known one.
  bool OnCoordinator(uint64_t epoch, const std::string& address);
  void OnOrders(const orders& in, boot_time now);

  // Return the calls that are due, as long as no more than max_calls of a kind
  // are without a reply. The caller must report the outcome of each by the
  // matching On...Reply().
  std::vector<start_call> TakeStarts(boot_time now);
  std::vector<stop_call> TakeStops(boot_time now);
  std::vector<pace_call> TakePaces(boot_time now);
  void OnStartReply(const start_call& call,
                    call_status status,
                    boot_time sent,
                    boot_time now);
  void OnStopReply(const run_key& run, call_status status, boot_time now);
  void OnPaceReply(const pace_call& call, call_status status, boot_time now);

  // Returns the next lease call, or nothing while the worker is gone or ends
  // are waiting for their acknowledgement.
  std::optional<lease_call> NextLease(boot_time now);
  // Returns a lease call that asks which incarnation the worker is, if a
  // heartbeat has named a later one. It changes nothing on the worker, and may
  // be sent beside another lease call.
  std::optional<lease_call> TakeProbe(boot_time now);
  void OnLeaseReply(const lease_call& call,
                    const lease_reply& in,
                    boot_time sent,
                    boot_time now);

  // True if there is something to report before the next regular report.
  bool IsReportDue() const { return report_due_; }
  report MakeReport(boot_time now);
  void OnReportReply(const report& sent_report,
                     const report_reply& in,
                     boot_time sent);

  uint64_t epoch() const { return epoch_; }
  const std::string& coordinator() const { return coordinator_; }
  bool knows_worker() const { return incarnation_ > 0; }
  bool worker_gone() const { return worker_gone_; }
  // Time left of the coordinator's grant; never negative.
  millis GrantLeft(boot_time now) const;
  // Lowest throttle among the best-effort runs; 100 if there are none.
  uint32_t filler_percent() const { return pacer_.lowest_percent(); }
  size_t run_count() const { return runs_.size(); }

 private:
  enum class run_phase : uint8_t { kStarting, kRunning, kStopping };
  struct tracked_run {
    run_phase phase = run_phase::kStarting;
    start_order order;
    run_status status;
    bool call_in_flight = false;
    bool stop_in_flight = false;  // it is a stop call
    bool start_sent = false;      // a start call may have reached the worker
    // Latest lease of these start calls, by the worker's clock; the worker
    // carries out none of them later.
    int64_t latest_lease_ms = 0;
    // A start call got no reply, or an earlier process may have sent one, so
    // the worker may yet carry it out.
    bool may_still_start = false;
    bool stop_confirmed = false;   // the worker will not start or continue it
    int64_t stop_incarnation = 0;  // to which the last stop call was sent
    bool listed = false;           // in the newest lists
    std::string refusal_reason;    // reported once the run is known not to run
    boot_time start_deadline{};    // no start call is sent after this
    boot_time next_attempt_at{};
    // When the worker confirmed the start or stop. Only lists requested after
    // this tell whether the run runs.
    boot_time confirmed_at{};
    uint32_t attempts = 0;
    uint32_t requested_percent = 100;  // throttle last sent to the worker
    // One pace call for a run is under way at a time, since the worker may
    // carry out two in either order.
    bool pace_in_flight = false;
    // The worker has not confirmed `requested_percent`.
    bool pace_unconfirmed = false;
    boot_time next_pace_at{};  // of a call that does not change the throttle
    // Until then the worker may carry out a pace call that it did not answer.
    boot_time late_paces_until{};
    latency_filter filter;  // used for a serving task
    double latency_ms = 0;  // estimate of `filter`; 0: none yet
  };
  using tracked_runs = std::map<run_key, tracked_run>;

  void Log(
      const char* event,
      const std::vector<std::pair<std::string, std::string>>& fields) const;
  // Drops all state of the worker's previous incarnation, except the starts
  // that may have reached the new one, which are stopped there.
  void BeginIncarnation(int64_t incarnation, boot_time now);
  void AddRefusal(const run_key& run, const std::string& why, boot_time now);
  void BeginStop(tracked_run& run, const std::string& why, boot_time now);
  // Refuses a start, and stops the run first if the worker may have been sent
  // it. Returns the next run.
  tracked_runs::iterator RefuseStart(tracked_runs::iterator at,
                                     const std::string& why,
                                     boot_time now);
  // Refuses starts that are past their deadline or whose worker drains.
  void DropExpiredStarts(boot_time now);
  void ApplyLists(const lease_reply& in, boot_time sent, boot_time now);
  // Clears a checkpoint that is too long to be stored.
  void DropLongCheckpoint(const run_key& run,
                          std::string& checkpoint,
                          boot_time now);
  // Returns the runs whose start calls the previous incarnation is not known to
  // have received, as runs to stop.
  tracked_runs TakeUnlocatedStarts(boot_time now);
  // Accounts for a lease that the worker may have taken; `answered` is false if
  // it may carry out the call later.
  void OnLeaseSent(int64_t lease_until_ms,
                   bool answered,
                   boot_time sent,
                   boot_time now);
  void OnLeaseFailed(call_status status, boot_time now);
  // Compares the incarnation that the worker replied with to the one that a
  // heartbeat has named. `sent` is the time of the call.
  void CheckUnconfirmedHeartbeat(int64_t incarnation,
                                 boot_time sent,
                                 boot_time now);
  // True if a heartbeat of the current incarnation cannot follow the last one:
  // it names another instance or service, or its sequence number is too high.
  bool Contradicts(const worker_heartbeat& in, boot_time now) const;
  // Adopts a heartbeat of the current incarnation.
  void TakeHeartbeat(const worker_heartbeat& in, boot_time now);
  void UpdatePace(boot_time now);
  // Returns the time until which the next call asks the worker to extend its
  // lease, on the worker's clock; `left` is what the grant allows.
  int64_t NextLeaseEnd(millis left, boot_time now);
  // A lease call was sent without a reply, or a start call was.
  void OnNoReply(boot_time sent);
  // Stops all runs if the grant is over and the worker's lease may not be,
  // because of a suspension.
  void StopRunsBeyondGrant(boot_time now);
  // Refuses all runs of a worker that does not reply, after its lease.
  void RefuseAllRuns(const std::string& why, boot_time now);
  // True if the worker has not replied to lease calls for heartbeat_timeout.
  bool IsUnresponsive(boot_time now) const;
  // True if the worker does not reply and its lease is over.
  bool IsLeaseOver(boot_time now) const;
  // A time that the worker's clock reaches within `length` even if it is slow.
  int64_t WorkerTimeAfter(millis length, boot_time now) const;
  // The latest time that the worker's clock can show.
  int64_t LatestWorkerTime(boot_time now) const;
  // True if the worker accepts no new runs, since it is about to exit.
  bool IsLeaving() const { return heartbeat_.draining || exit_announced_; }
  // True if the worker has refused connections for long.
  bool IsRefusing(boot_time now) const;
  // True if both serving tasks and best-effort runs are on the VM.
  bool IsPacing() const;

  supervisor_options options_;
  uint64_t epoch_ = 0;
  std::string coordinator_;
  uint64_t sequence_ = 0;
  uint64_t answered_ = 0;  // last report answered by the coordinator of epoch_
  // report::boot_clock_ms of the first report of this process.
  int64_t first_report_ms_ = INT64_MAX;

  // The worker's current incarnation; 0 until one is known.
  int64_t incarnation_ = 0;
  worker_heartbeat heartbeat_;
  bool has_heartbeat_ = false;
  // The worker has exited or its lease is over, so nothing runs.
  bool worker_gone_ = false;
  bool exit_announced_ = false;     // the worker sent an exit notice
  bool reported_refusing_ = false;  // IsRefusing() has been logged
  boot_time last_heartbeat_at_{};
  // The last heartbeat, if it contradicts `heartbeat_`.
  std::optional<worker_heartbeat> contradicting_heartbeat_;
  // The worker's clock in its newest lease reply. A lower bound, since the
  // reply took time to arrive.
  int64_t worker_clock_ms_ = 0;
  boot_time worker_clock_read_at_{};
  bool has_worker_clock_ = false;
  // The last lease call succeeded, and no heartbeat of a later incarnation has
  // come since. Otherwise another process may be at the worker's address, so
  // nothing is started or acknowledged there.
  bool incarnation_confirmed_ = false;
  // The newest heartbeat of a later incarnation than the worker's. Anyone can
  // send one, so it counts only if the worker replies as that incarnation.
  std::optional<worker_heartbeat> unconfirmed_heartbeat_;
  boot_time unconfirmed_since_{};
  boot_time next_probe_at_{};
  // Latest time, by this VM's clock, until which a lease sent may last.
  boot_time latest_lease_end_{};
  // `latest_lease_end_` after the last suspension of the VM. Until then the
  // lease may outlast the grant.
  boot_time suspended_lease_end_{};
  // When the oldest call without a reply since the last lease reply was sent; 0
  // if there is none.
  boot_time unanswered_since_{};
  // Latest end of the lease asked for, on the worker's clock.
  int64_t latest_lease_requested_ms_ = 0;
  bool reported_unresponsive_ = false;  // IsUnresponsive() has been logged
  // Until then the worker may carry out starts of an earlier runner process.
  boot_time earlier_starts_until_{};
  boot_time last_lease_reply_at_{};
  boot_time connect_refused_since_{};  // 0 if the last call connected
  uint32_t starts_in_flight_ = 0;
  boot_time next_lease_call_at_{};

  tracked_runs runs_;
  std::vector<run_end> ends_;
  std::vector<run_refusal> refusals_;
  // When each run was refused in this incarnation. A repeated order may still
  // be in flight, sent before the coordinator learned of the refusal.
  std::map<run_key, boot_time> refused_at_;
  // When the worker listed the end of each run in this incarnation. A delayed
  // order may arrive after its acknowledgement, when the worker has crashed and
  // would start the run again.
  std::map<run_key, boot_time> ended_at_;
  uint64_t acknowledged_ = 0;  // newest end that the coordinator has stored
  boot_time grant_until_{};
  // The newest report with a list of runs that got a reply.
  struct {
    uint64_t epoch = 0;
    int64_t worker_incarnation = 0;
    boot_time sent_at{};
  } last_full_report_;
  uint64_t lists_epoch_ = 0;  // epoch under which the lists were read
  // The newest lists may lack runs or ends, so a run in neither is not settled.
  bool lists_complete_ = true;
  bool report_due_ = false;
  boot_time long_checkpoint_logged_at_{};
  pacer pacer_;
  boot_time pace_updated_at_{};
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_SUPERVISOR_H_
