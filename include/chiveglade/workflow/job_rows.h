// Rows of jobs in the store.
//
// A live job has a row with the accepted submission, rows with its progress
// once anything was placed, and perhaps a row that cancels it. When its last
// progress is durable and none of its runs can be alive, a small row among the
// ended jobs takes the place of submission and cancellation, and the progress
// is deleted after that. So a takeover reads live jobs only, and a repeated
// request for an ended job meets its row.
//
// Submissions and ended jobs are spread over the parts of the store by the
// first digit of the ID: a part carries out one transaction after another, and
// when the store is slow, acceptance must not wait for the coordinator's writes
// nor they for it.
//
// A job may be cancelled while the write of its submission is still under way,
// held up by a partition. Its cancellation is then stored alone and keeps the
// submission out. The coordinator deletes it once no such write can arrive.
#ifndef CHIVEGLADE_WORKFLOW_JOB_ROWS_H_
#define CHIVEGLADE_WORKFLOW_JOB_ROWS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chiveglade/core/result.h"
#include "chiveglade/store/table.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

inline constexpr char kJobPrefix[] = "job/";  // accepted jobs, cancellations
inline constexpr char kProgressPrefix[] = "progress/";
inline constexpr char kEndedPrefix[] = "ended/";
// First digits of the IDs of jobs.
inline constexpr std::string_view kJobIdDigits = "0123456789abcdefABCDEF";
// Ends the key of the row that cancels a job.
inline constexpr char kCancelSuffix[] = ".cancel";
// Value of that row.
inline constexpr char kCancellation[] = "cancelled";

// Value of the row of an ended job.
struct ended_job {
  job_phase phase = job_phase::kCompleted;
  int64_t ended_unix_ms = 0;

  friend bool operator==(const ended_job&, const ended_job&) = default;
};

// clang-tidy 14 reports a false positive for the generated code of defaulted
// comparisons.
// NOLINTBEGIN(modernize-use-nullptr)

// Key of a row of progress: "progress/ID" for row 0, "progress/ID.ROW" for the
// others.
struct progress_key {
  std::string job;
  uint32_t row = 0;

  friend auto operator<=>(const progress_key&, const progress_key&) = default;
};

// NOLINTEND(modernize-use-nullptr)

std::string ToString(const progress_key& in);
// Fails with "corrupt" for other keys.
result<progress_key> ParseProgressKey(std::string_view key);

// CBOR encoding. Decoding fails with "corrupt".
std::string EncodeEndedJob(const ended_job& in);
result<ended_job> DecodeEndedJob(std::string_view bytes);

// Replaces the submission of a job by the row that says how it ended. Its last
// progress must be durable; then these mutations are true at any later time and
// need no condition.
void AppendEnd(const std::string& id,
               const ended_job& in,
               std::vector<store::mutation>& out);
// Deletes the row of an ended job.
void AppendForget(const std::string& id, std::vector<store::mutation>& out);
// Most entries of a transaction that the two functions above take for a job.
inline constexpr size_t kEntriesPerEndedJob = 3;
// Returns the key of the row that cancels a job.
std::string CancellationKey(const std::string& id);
// Returns the transaction that accepts a job unless it was accepted or
// cancelled before. A cancellation of this version is deleted instead, since
// the job was submitted again after it; 0: none.
store::transaction AcceptJob(const std::string& id,
                             std::string submission,
                             uint64_t cancellation = 0);
// Returns the transaction that cancels a job for which there is no row, so that
// it cannot be accepted by a write that arrives later. `version` is that of an
// earlier cancellation, which is replaced; 0: none.
store::transaction CancelAbsentJob(const std::string& id, uint64_t version);
// Adds what deletes such a cancellation unless it has been replaced since.
void AppendForgetCancellation(const std::string& id,
                              uint64_t version,
                              store::transaction& out);
// Entries of a transaction that the function above takes for a job.
inline constexpr size_t kEntriesPerCancellation = 3;

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_ROWS_H_
