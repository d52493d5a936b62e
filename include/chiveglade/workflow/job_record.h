// The durable progress of a job.
#ifndef CHIVEGLADE_WORKFLOW_JOB_RECORD_H_
#define CHIVEGLADE_WORKFLOW_JOB_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chiveglade/core/result.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

enum class task_phase : uint8_t {
  kPending,  // not running; started when its turn comes
  kDone,
  kFailed,  // has used up its attempts
};

// A run that has been ordered and is not known to have ended.
struct placed_run {
  uint32_t run = 0;
  std::string vm;
  int64_t worker_incarnation =
      0;  // the life of the worker that it was ordered from

  friend bool operator==(const placed_run&, const placed_run&) = default;
};

// Progress of one task. `live` holds more than one only where copies may run.
struct task_record {
  task_phase phase = task_phase::kPending;
  uint32_t last_run = 0;  // highest run number ever ordered
  uint32_t failures = 0;  // runs that ended kFailed
  std::string checkpoint;
  std::vector<placed_run> live_runs;

  friend bool operator==(const task_record&, const task_record&) = default;
};

// Progress of a job: tasks by occurrence, step and index.
struct job_record {
  bool cancelled = false;
  bool failed = false;
  bool ever_started = false;
  std::vector<std::vector<std::vector<task_record>>> tasks;

  friend bool operator==(const job_record&, const job_record&) = default;
};

// An untouched record with all tasks of `job` pending.
job_record MakeJobRecord(const job_spec& job);

// The phase that a record shows.
job_phase PhaseOf(const job_record& record, const job_spec& job);

// Binary forms. Reading gives "corrupt" as the reason.
std::string EncodeRecord(const job_record& in);
result<job_record> DecodeRecord(std::string_view bytes);
std::string EncodeSubmission(const submission& in);
result<submission> DecodeSubmission(std::string_view bytes);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_RECORD_H_
