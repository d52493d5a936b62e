// Simulation of coordinators, runners, workers and a store.
#ifndef CHIVEGLADE_TESTS_WORKFLOW_WORKFLOW_WORLD_H_
#define CHIVEGLADE_TESTS_WORKFLOW_WORKFLOW_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/core/random.h"
#include "chiveglade/workflow/coordinator.h"
#include "chiveglade/workflow/fenced_writer.h"
#include "chiveglade/workflow/supervisor.h"
#include "tests/support/memory_store.h"
#include "tests/workflow/fake_worker.h"
#include "tests/workflow/idle_job_check.h"

namespace chiveglade::workflow {

// Runs the production decision code of all processes under one simulated clock.
// Messages are delayed, lost and reordered. Records each violated invariant.
// Deterministic for a given seed.
class workflow_world {
 public:
  // The runs of jobs whose IDs begin so stand still and fail about when the
  // coordinator stops them.
  static constexpr char kFailingJob[] = "failing";
  // The tasks of jobs whose IDs begin so run until they are lost or stopped. Of
  // the second kind are serving tasks, whose latency rises and falls, and of
  // the third best-effort tasks, which the runners throttle meanwhile.
  static constexpr char kLastingJob[] = "lasting";
  static constexpr char kServingJob[] = "serving";
  static constexpr char kFillingJob[] = "filling";
  // The tasks of jobs whose IDs begin so are gangs and save their progress.
  static constexpr char kGangJob[] = "gang";
  // The tasks of jobs whose IDs begin so ask for more than any VM has.
  static constexpr char kHopelessJob[] = "hopeless";
  // A long-running task whose run has ended runs again within this: 6 s of
  // lease and 3 s.
  static constexpr millis kMaxRestartTime{9'000};
  // What a worker does with calls.
  enum class call_handling : uint8_t {
    kAnswer,
    kNoReply,  // carries them out, but its replies are lost
    kIgnore,   // accepts connections and does nothing
  };

  struct faults {
    double lost_message = 0;       // share of messages between processes
    double late_order = 0;         // share of calls to workers that run late
    double lost_store_answer = 0;  // share of commits without a reply
    // Share of messages between processes that come seconds late, or twice.
    double late_message = 0;
    // Share of pace calls without a reply, which run seconds late.
    double late_pace = 0;
    friend bool operator==(const faults&, const faults&) = default;
  };

  workflow_world(uint64_t seed, size_t runners, size_t gateways);
  ~workflow_world();

  void Submit(const std::string& id, const submission& in);
  // A cancelled job starts nothing later than a bound after this.
  void Cancel(const std::string& id);
  // The write that accepts a job reaches the store after `delay`, whatever its
  // sender has been told.
  void SubmitLate(const std::string& id, const submission& in, millis delay);
  // Cancels a job that may not have been stored. Tells nobody of it but by rows
  // in the store.
  void CancelEarly(const std::string& id);
  void Advance(millis time);

  void SetFaults(const faults& in);
  // A frozen process does nothing but keeps its state.
  void SetGatewayFrozen(size_t index, bool frozen);
  void SetStorePartitioned(size_t index, bool partitioned);
  void SetRunnerPartitioned(size_t index, bool partitioned);
  void SetRunnerFrozen(size_t index, bool frozen);
  // Orders to the runner, its reports, or the replies to them are lost, each
  // independently of the others.
  void SetOrdersLost(size_t index, bool lost);
  void SetReportsLost(size_t index, bool lost);
  void SetReportRepliesLost(size_t index, bool lost);
  // The gateway hears of no new jobs and cancellations. Its writes go on.
  void SetNewsSilent(size_t index, bool silent);
  void RestartGateway(size_t index);
  void RestartRunner(size_t index);
  void CrashWorker(size_t index, bool stays_down);
  void BringUpWorker(size_t index);
  // A worker that refuses calls runs on.
  void SetWorkerRefusing(size_t index, bool refusing);
  void SetCallHandling(size_t index, call_handling how);
  // The worker's heartbeats do not arrive; calls are answered.
  void SetHeartbeatsLost(size_t index, bool lost);
  // The worker's heartbeats say that it drains; it runs on.
  void SetWorkerDraining(size_t index, bool draining);
  // The worker is lost for good: it ends, and calls get no reply. Heartbeats
  // stop. Heal() replaces it.
  void LoseWorker(size_t index);
  // Neither the runner nor the worker does anything, and the clock of the
  // worker stands still. Its tasks do not count as running.
  void SetVmSuspended(size_t index, bool suspended);
  // Checks from now on that each long-running task without best-effort runs
  // again within kMaxRestartTime, so there must be capacity and a coordinator.
  void CheckRestarts() { checks_restarts_ = true; }
  // Checks from now on that no accepted finite job stands still while there is
  // a coordinator and room on sound VMs for all tasks that wait.
  void CheckIdleJobs() { checks_idle_jobs_ = true; }
  // The runner gets a notice that the worker exits, which goes on nevertheless.
  void AnnounceExit(size_t index);
  // A heartbeat of another worker reaches the runner.
  void SendForeignHeartbeat(size_t index);
  // Each worker lists at most this many ends at a time.
  void SetMaxListedEnds(size_t limit);
  // Coordinators let tasks wait for racks, "rack0" and "rack1" in turn. To be
  // set before the first Advance.
  void SetRemoteSlowdown(double factor);
  // Each run has a checkpoint of this length from its start.
  void SetCheckpointBytes(size_t bytes);
  // The worker crashes and is back at once under its instance name. Its first
  // heartbeat comes after `first_heartbeat`.
  void BounceWorker(size_t index, millis first_heartbeat);
  void SetStoreDown(bool down);
  void Heal();

  // Violated invariants; empty if there were none.
  const std::vector<std::string>& violations() const { return violations_; }
  // True if the failing jobs have failed, and all others have completed or were
  // cancelled.
  bool AllEnded() const;
  size_t coordinators() const;

 private:
  struct gateway;
  struct runner;
  struct pending {
    millis at;
    std::function<void()> run;
  };

  void Step();
  void StepGateway(gateway& on);
  void NoteOrders(const orders& in, const runner& to);
  void ReceiveOrders(const orders& in, runner& by);
  void StepRunner(runner& on);
  void WriteEnded(gateway& on);
  void Recover(gateway& on, uint64_t epoch);
  void LoadJobs(gateway& on);
  // Passes on the jobs and cancellations that the gateway hears of.
  void TakeNews(gateway& on);
  void DeliverReport(size_t from, const std::string& bytes, boot_time sent);
  void Schedule(millis delay, std::function<void()> run);
  // Schedules what a runner's process does with a message; not while it is
  // frozen.
  void ScheduleAt(const runner& on, millis delay, std::function<void()> run);
  // Schedules what a worker does with a call; not while its VM is suspended.
  void ScheduleAtWorker(const runner& on,
                        millis delay,
                        std::function<void()> run);
  // Delivers a message between processes by calling `schedule` with its delay.
  // False if the sender takes it for lost.
  bool Send(const std::function<void(millis delay)>& schedule);
  bool Chance(double share);
  millis Delay();
  void CallWorker(runner& on);
  void CallLease(runner& on, const lease_call& call);
  void CallPace(runner& on, const pace_call& call);
  // Carries out a call to the worker, unless calls go unanswered.
  call_status Call(runner& on, const std::function<call_status()>& call);
  // Passes the outcome of a call on, late if it is a timeout.
  void Reply(const runner& on,
             call_status status,
             const std::function<void()>& reply);
  run_plan PlanOf(const run_key& run) const;
  static bool IsLasting(const std::string& job);
  // Ends the other members of a gang's run, as workers do.
  void EndGang(const run_key& run);
  void CheckDownTimes();
  // A fault has begun or ended.
  void NoteDisturbance() { idle_jobs_.OnDisturbance(time_); }
  void FindIdleJobs();
  idle_job_check::world_view MakeIdleJobView() const;
  idle_job_check::vm MakeIdleJobVm(const runner& on) const;
  // The gateway that can place tasks; null if there is none.
  const gateway* ReadyCoordinator() const;
  void CheckPaces(runner& on);
  void CheckStop(const run_key& run);
  // All members of a run of a gang are to start with the same checkpoint.
  void CheckGang(const start_order& order);
  const step_spec* StepOf(const task_key& task) const;

  void OnStarted(const std::string& vm, const run_key& run);
  void CheckAttempts(const task_key& task);
  void OnEnded(const std::string& vm, const run_key& run, run_result how);
  void OnAcknowledged(const std::string& vm, const run_end& end, bool lapsed);

  random_engine random_;
  faults faults_;
  millis time_{0};
  bool store_down_ = false;
  testing::memory_store store_;
  std::vector<std::unique_ptr<gateway>> gateways_;
  std::vector<std::unique_ptr<runner>> runners_;
  double remote_slowdown_ = 1;
  std::multimap<millis, std::function<void()>> scheduled_;
  std::map<std::string, submission> jobs_;
  std::map<std::string, millis> cancelled_at_;
  std::map<std::string, millis> absent_cancelled_at_;  // by CancelEarly
  std::map<task_key, std::set<std::string>> running_;  // VMs by task
  std::map<std::string, int> running_on_;              // tasks by VM
  std::set<task_key> done_;                            // by an acknowledged end
  // When each run completed, and when each task last started.
  std::map<run_key, millis> done_at_;
  std::map<task_key, millis> started_at_;
  std::map<run_key, millis> failed_at_;
  // When the runs of each task failed whose ends were acknowledged in time.
  std::map<task_key, std::vector<millis>> acknowledged_failures_;
  bool checks_restarts_ = false;
  bool checks_idle_jobs_ = false;
  idle_job_check idle_jobs_;
  millis late_until_{0};  // messages may arrive that were sent long before
  uint64_t last_ready_epoch_ = 0;
  // When the last run of each long-running task ended, while it has none.
  std::map<task_key, millis> down_since_;
  std::set<task_key> down_by_stop_;  // of these, those that were stopped
  std::set<run_key> ordered_stops_;  // by a coordinator
  std::map<run_key, std::string> gang_checkpoints_;  // of member 0
  std::vector<std::string> violations_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_TESTS_WORKFLOW_WORKFLOW_WORLD_H_
