// Checks that accepted jobs do not stand still while there is room for them.
#ifndef CHIVEGLADE_TESTS_WORKFLOW_IDLE_JOB_CHECK_H_
#define CHIVEGLADE_TESTS_WORKFLOW_IDLE_JOB_CHECK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// Follows orders, starts and ends as the runners and workers of a simulation
// see them, and finds jobs of which nothing runs although a task could.
class idle_job_check {
 public:
  // Longest time for which nothing of a job may run while one of its tasks
  // could, once there has been no disturbance for kCalmTime.
  static constexpr millis kMaxIdleTime{3'000};
  static constexpr millis kCalmTime{4'000};
  // The same after the last disturbance, where a worker may have started the
  // task out of sight, so that its lease has to expire first.
  static constexpr millis kMaxIdleTimeUnderLease{9'000};

  struct vm {
    std::string name;
    // Its worker can be given new tasks, and nothing is wrong with it.
    bool sound = false;
    // Its reports arrive and show what its worker runs.
    bool lists_arrive = false;
    uint64_t runner_process = 0;  // number of the runner's process
    uint64_t known_epoch = 0;     // of the newest coordinator it has heard
    resources free;
  };

  struct world_view {
    millis now{0};
    int64_t unix_ms = 0;
    bool has_ready_coordinator = false;
    uint64_t epoch = 0;  // of that coordinator
    std::vector<vm> vms;
    // Accepted jobs that have not ended and were not cancelled, and those of
    // them that are not to stand still.
    std::map<std::string, const submission*> jobs;
    std::set<std::string> checked_jobs;
    std::set<task_key> running;
  };

  // A fault has begun or ended. While messages are lost at random, each moment
  // is a disturbance.
  void OnDisturbance(millis now) { disturbed_at_ = now; }
  // The next coordinator may not know ends that this one was told.
  void OnCoordinatorChanged(millis now);
  void OnStartSent(const run_key& run,
                   const std::string& vm,
                   uint64_t epoch,
                   millis now);
  // A process of the runner has received an order to start the run.
  void OnStartReceived(const run_key& run, uint64_t runner_process);
  void OnStarted(const task_key& task);
  void OnDone(const task_key& task, const std::string& vm);
  void OnFailed(const task_key& task) { ++failures_[task]; }
  // A coordinator has received the end of a run that was done.
  void OnDoneReported(const task_key& task);
  // The end of a run that was done has been acknowledged.
  void OnDoneAcknowledged(const task_key& task);
  // The worker has forgotten the ends that it has not reported.
  void OnWorkerLost(const std::string& vm);

  // Returns descriptions of the jobs that have been idle for too long since the
  // last call, each once while it stays idle.
  std::vector<std::string> Check(const world_view& view);

 private:
  struct sent_start {
    run_key run;
    std::string vm;
    uint64_t epoch = 0;  // of the coordinator that sent it first
    millis sent_at{0};
    std::optional<uint64_t> received_by;  // process of the runner
  };
  struct idle_job {
    millis since{0};
    bool reported = false;
    std::map<task_key, millis> deadlines;  // of the tasks that wait
  };

  // An end that was not reported counts if its worker's VM is sound.
  // Otherwise nobody may know of it, and the task has to run again.
  bool IsDone(const task_key& task,
              const step_spec& step,
              const world_view& view) const;
  bool IsStepDone(const task_key& first,
                  const step_spec& step,
                  const world_view& view) const;
  // Returns the tasks of a job whose turn has come and that do not run.
  std::vector<task_key> WaitingTasks(const std::string& id,
                                     const submission& job,
                                     const world_view& view) const;
  // Returns true if the sound VMs have room for all waiting tasks together.
  static bool HaveRoom(
      const world_view& view,
      const std::map<std::string, std::vector<task_key>>& waiting);
  // Returns true if the last run of the task may be at work although no report
  // shows it.
  bool MayRunUnseen(const task_key& task, const world_view& view) const;
  // Returns until when the task may wait, as far as its last start shows.
  millis Deadline(const idle_job& idle,
                  const task_key& task,
                  const world_view& view) const;
  std::string Describe(const idle_job& idle,
                       const task_key& task,
                       const world_view& view) const;

  millis disturbed_at_{0};
  std::map<task_key, sent_start> last_starts_;
  std::set<task_key> done_;  // by an acknowledged end
  // By an end that the coordinator knows, with the VM.
  std::map<task_key, std::string> reported_done_;
  std::map<task_key, std::string> done_on_;  // by any other end, with the VM
  std::map<task_key, uint32_t> failures_;
  std::map<std::string, idle_job> idle_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_TESTS_WORKFLOW_IDLE_JOB_CHECK_H_
