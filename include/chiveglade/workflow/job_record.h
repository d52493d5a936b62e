// Durable progress of a job.
#ifndef CHIVEGLADE_WORKFLOW_JOB_RECORD_H_
#define CHIVEGLADE_WORKFLOW_JOB_RECORD_H_

#include <cstdint>
#include <map>
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
  job_phase phase = job_phase::kQueued;
  // By occurrence, step and index.
  std::vector<std::vector<std::vector<task_record>>> tasks;

  friend bool operator==(const job_record&, const job_record&) = default;
};

// Returns a record with all tasks of `job` pending.
job_record MakeJobRecord(const job_spec& job);

// The progress of a job is stored in rows of kTasksPerRow tasks, numbered over
// all occurrences and steps in this order. The limits below keep a row within
// kMaxProgressRowBytes, less than the store accepts, and all rows of a job
// within one transaction.
constexpr uint32_t kTasksPerRow = 32;
constexpr size_t kMaxProgressRowBytes = size_t{32} * 1024;
// Longest checkpoint that is stored, in bytes. A task whose checkpoint is
// longer resumes from an earlier one or starts again.
constexpr size_t kMaxCheckpointBytes = 512;

// Returns the row with the progress of a task.
uint32_t ProgressRowOf(const job_record& job, const task_key& task);
// Returns the number of rows; at least 1.
uint32_t ProgressRowCount(const job_record& job);

// One row as it is stored: the tasks that are not in their initial state, by
// number. The phase of the job is current in row 0 and may be an earlier one in
// the others.
struct progress_row {
  job_phase phase = job_phase::kQueued;
  std::map<uint32_t, task_record> tasks;

  friend bool operator==(const progress_row&, const progress_row&) = default;
};

// Copies the tasks of row `number`, and its phase if it is later, into the
// record. Fails with "corrupt" if the job has no such tasks in this row.
result<done> AddProgress(uint32_t number,
                         const progress_row& row,
                         job_record& to);

// CBOR encodings. Decoding fails with "corrupt".
std::string EncodeProgressRow(const job_record& in, uint32_t row);
result<progress_row> DecodeProgressRow(std::string_view bytes);
std::string EncodeSubmission(const submission& in);
result<submission> DecodeSubmission(std::string_view bytes);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_RECORD_H_
