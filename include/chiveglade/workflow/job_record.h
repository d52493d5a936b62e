// Durable progress of a job.
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
  kPending,  // not done; may have live runs
  kDone,
  kFailed,  // all attempts have failed
};

// A run that has been placed on a VM and is not known to have ended.
struct placed_run {
  uint32_t run = 0;
  std::string vm;
  // Incarnation of the worker process that the run was placed on.
  int64_t worker_incarnation = 0;

  friend bool operator==(const placed_run&, const placed_run&) = default;
};

// Progress of one task. `live_runs` has more than one element only for a step
// with `allow_duplicates`.
struct task_record {
  task_phase phase = task_phase::kPending;
  uint32_t last_run = 0;   // highest run number used so far
  uint32_t failures = 0;   // runs that ended with run_result::kFailed
  std::string checkpoint;  // newest; empty: none
  std::vector<placed_run> live_runs;

  friend bool operator==(const task_record&, const task_record&) = default;
};

// Progress of a job.
struct job_record {
  bool cancelled = false;
  bool failed = false;
  bool ever_started = false;
  // By occurrence, step and index.
  std::vector<std::vector<std::vector<task_record>>> tasks;

  friend bool operator==(const job_record&, const job_record&) = default;
};

// Returns a record with all tasks of `job` pending.
job_record MakeJobRecord(const job_spec& job);

// Derives the phase of a job from its record.
job_phase PhaseOf(const job_record& record, const job_spec& job);

// CBOR encodings. Decoding fails with "corrupt".
std::string EncodeRecord(const job_record& in);
result<job_record> DecodeRecord(std::string_view bytes);
std::string EncodeSubmission(const submission& in);
result<submission> DecodeSubmission(std::string_view bytes);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_RECORD_H_
