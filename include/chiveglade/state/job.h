// Jobs and tasks as kept in the durable state.
#ifndef CHIVEGLADE_STATE_JOB_H_
#define CHIVEGLADE_STATE_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/state/ids.h"

namespace chiveglade::state {

// Priority bands, highest first. A task may displace only tasks of a lower
// band. kService: replicas of latency-critical services. kUrgent: batch work
// that must start within 7.1 s. kNormal: other batch work. kIdle: work that
// only fills otherwise unused room, such as calibration watchers.
enum class band : uint8_t { kService, kUrgent, kNormal, kIdle };

// What a caller declares about a job. Declared amounts and times are estimates.
struct job_spec {
  std::string name;    // unique for ever; also the submission's idempotency key
  std::string tenant;  // whose quota is charged
  std::string klass;   // workload class of the manifest, for interference
  band priority = band::kNormal;
  uint32_t tasks = 1;
  resources per_task;
  millis expected_run{0};  // declared run time of one task; zero if not known
  // How long a task may go on running without word from the scheduler.
  millis run_lease{900'000};
  uint32_t max_failures = 3;  // failures of one task before the job is parked
  std::vector<std::string> data_centres;  // allowed ones; empty: any
  // Spread: at most this many tasks of the job on one VM and in one rack;
  // 0: no limit.
  uint32_t max_per_vm = 0;
  uint32_t max_per_rack = 0;
  std::string payload;  // opaque to the scheduler, handed to the worker

  friend bool operator==(const job_spec&, const job_spec&) = default;
};

enum class task_phase : uint8_t {
  kPending,   // may be started
  kStarting,  // an attempt has the right to start; the VM has not confirmed it
  kRunning,   // the VM confirmed the start
  kStopping,  // asked to checkpoint and stop; still counted as running
  kFinished,
  kCancelled,
  kFailed,  // used up its failures; kept for the operator
};

struct task {
  task_phase phase = task_phase::kPending;
  uint32_t attempt = 0;  // number of the newest attempt; 0 if none yet
  vm_id vm;              // of the newest attempt, in the three middle phases
  uint32_t failures = 0;
  uint32_t evictions = 0;
  std::string checkpoint;  // object key of the newest checkpoint; may be empty
  millis work_done{0};     // work that the checkpoint holds
  bool cancel_requested = false;

  friend bool operator==(const task&, const task&) = default;
};

// True while the newest attempt may be executing somewhere.
constexpr bool HoldsVm(task_phase phase) {
  return phase == task_phase::kStarting || phase == task_phase::kRunning ||
         phase == task_phase::kStopping;
}

struct job {
  job_spec spec;
  std::vector<task> tasks;  // by index
  bool cancelled = false;
  // Why no task of the job is being started, for the operator; empty if none.
  std::string parked_reason;

  friend bool operator==(const job&, const job&) = default;
};

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_JOB_H_
