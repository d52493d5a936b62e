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
  millis estimate{0};           // estimated run time of a task; 0: unknown
  std::vector<uint32_t> after;  // indexes of earlier steps to wait for

  bool saves_progress = false;    // tasks write checkpoints
  bool gang = false;              // tasks must run at the same time
  bool same_rack = false;         // slower when spread over racks
  bool allow_duplicates = false;  // a task may have several live runs
  bool long_running = false;   // runs until cancelled; restarted when it ends
  bool best_effort = false;    // reserves no processors; uses idle ones
  std::string required_label;  // label that the VM must have; empty: none
  std::string preferred_rack;  // tasks run slower elsewhere; empty: none
  uint32_t max_per_vm = 0;     // limit of live runs on a VM; 0: none
  std::string image;           // tasks of one image behave alike
  millis latency_target{0};    // for the tail latency; 0: not a serving task
  // How many tasks of a long-running step voluntary disruptions may take down
  // at the same time; negative: no limit set.
  int32_t disruption_budget = -1;

  friend bool operator==(const step_spec&, const step_spec&) = default;
};

// Schedule of a periodic job. With 0 occurrences, the job runs once, on
// acceptance.
struct repetition {
  uint32_t occurrences = 0;
  int64_t first_unix_ms = 0;
  millis interval{0};

  friend bool operator==(const repetition&, const repetition&) = default;
};

struct job_spec {
  std::string payload;  // passed to each task unchanged
  std::vector<step_spec> steps;
  repetition repeat;

  friend bool operator==(const job_spec&, const job_spec&) = default;
};

// Returns when an occurrence is due, in milliseconds since 1970; 0 for a job
// that runs once.
int64_t DueUnixMs(const repetition& in, uint32_t occurrence);

// Maximum number of tasks of a job, over all steps and occurrences. Keeps the
// durable record of a job within one table row.
constexpr uint32_t kMaxTasksPerJob = 1'000;

// Fails with "bad_job" for a job without steps, a step without tasks, a
// dependency on a step that is not earlier, a demand, duration or due time
// that is negative or above kMaxAmount or kMaxDuration, or more than
// kMaxTasksPerJob tasks.
result<done> CheckJob(const job_spec& job);

// Brings demands, durations and due times into the range that CheckJob accepts.
// For stored jobs, which earlier versions did not check. A demand that no VM
// has remains one.
void ClampNumbers(job_spec& job);

// An accepted job as it is stored. Contains a copy of the queue's policy, which
// applies if the queue is removed from the catalogue before the job ends.
struct submission {
  std::string queue;  // name of the queue in the catalogue
  std::string service;
  uint32_t priority = 0;
  uint32_t attempts = 1;
  int64_t accepted_unix_ms = 0;
  job_spec job;

  friend bool operator==(const submission&, const submission&) = default;
};

// clang-tidy 14 reports a false positive for the generated code of defaulted
// comparisons.
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

// Returns true if the phase never changes again.
constexpr bool IsFinal(job_phase in) {
  return in == job_phase::kCompleted || in == job_phase::kFailed ||
         in == job_phase::kCancelled;
}

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_H_
