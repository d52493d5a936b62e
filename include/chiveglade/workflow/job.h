// Jobs that consist of steps of tasks.
#ifndef CHIVEGLADE_WORKFLOW_JOB_H_
#define CHIVEGLADE_WORKFLOW_JOB_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/core/result.h"

namespace chiveglade::workflow {

// One step: `count` tasks of the same kind.
struct step_spec {
  uint32_t count = 1;
  resources demand;             // of each task
  millis estimate{0};           // rough run time of a task; 0: unknown
  std::vector<uint32_t> after;  // earlier steps that must be done, from 0

  bool saves_progress = false;    // tasks write checkpoints
  bool gang = false;              // tasks work only together
  bool same_rack = false;         // slower when spread over racks
  bool allow_duplicates = false;  // copies may run in parallel
  bool long_running = false;      // runs until cancelled, restarted if it ends
  bool best_effort = false;  // uses only the processors that others leave over
  std::string required_label;  // label that the VM must have; empty: any
  std::string preferred_rack;  // slower on any other rack; empty: none
  uint32_t max_per_vm = 0;     // most tasks of the step on a VM; 0: no limit
  std::string image;           // tasks of one image behave alike
  millis latency_target{0};    // tail latency of a serving task; 0: none
  // How many tasks of a long-running step may be down by this project's own
  // actions; negative: no limit was set.
  int32_t disruption_budget = -1;

  friend bool operator==(const step_spec&, const step_spec&) = default;
};

// When the steps of a job run; once at acceptance if `occurrences` is 0.
struct repetition {
  uint32_t occurrences = 0;
  int64_t first_unix_ms = 0;
  millis interval{0};

  friend bool operator==(const repetition&, const repetition&) = default;
};

struct job_spec {
  std::string payload;  // handed to each task as it is
  std::vector<step_spec> steps;
  repetition repeat;

  friend bool operator==(const job_spec&, const job_spec&) = default;
};

// Most tasks of one job, over all steps and occurrences. Keeps the durable
// record of a job within one table row.
constexpr uint32_t kMaxTasksPerJob = 1'000;

// Reason "bad_job" for an empty job, a step without tasks, a dependency on a
// later or missing step, a negative demand, or more than kMaxTasksPerJob.
result<done> CheckJob(const job_spec& job);

// A job as handed in by a caller, and as stored with its acceptance.
// The policy of the queue is kept for the case that the queue is removed before
// the job ends.
struct submission {
  std::string queue;  // name of the queue in the catalogue
  std::string service;
  uint32_t priority = 0;
  uint32_t attempts = 1;
  int64_t accepted_unix_ms = 0;
  job_spec job;

  friend bool operator==(const submission&, const submission&) = default;
};

// The linter's exception is for a false alarm of clang-tidy 14 on the generated
// code of defaulted comparisons.
// NOLINTBEGIN(modernize-use-nullptr)

// Identifies one task.
struct task_key {
  std::string job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  friend auto operator<=>(const task_key&, const task_key&) = default;
};

// Identifies one run of a task. Runs are numbered from 1.
struct run_key {
  task_key task;
  uint32_t run = 0;

  friend auto operator<=>(const run_key&, const run_key&) = default;
};

// NOLINTEND(modernize-use-nullptr)

// "JOB/OCCURRENCE/STEP/INDEX", for logs.
std::string ToString(const task_key& in);

enum class job_phase : uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

const char* ToString(job_phase in);

// True if the phase never changes again.
constexpr bool IsFinal(job_phase in) {
  return in == job_phase::kCompleted || in == job_phase::kFailed ||
         in == job_phase::kCancelled;
}

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_H_
