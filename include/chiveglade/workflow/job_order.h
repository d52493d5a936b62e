// Decides which jobs are placed first when more is ready than fits.
#ifndef CHIVEGLADE_WORKFLOW_JOB_ORDER_H_
#define CHIVEGLADE_WORKFLOW_JOB_ORDER_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// kObjective: jobs by their objective; a job that has missed it yields.
//
// kFeasibleFirst: a job yields as soon as it cannot meet its objective any
// more, and jobs that yield are placed by the least work left. Answers this
// load: bursts of wide jobs for which there is too little capacity. By
// objective alone, the job that is closest to missing its objective goes first
// and misses it all the same, and so do all after it.
enum class job_order_policy : uint8_t { kObjective, kFeasibleFirst };

// What is left to do of a job, by its estimates.
struct remaining_work {
  millis critical_path{0};  // of the steps that are not done
  double core_seconds = 0;

  friend bool operator==(const remaining_work&,
                         const remaining_work&) = default;
};

// Returns what is left of a job. `done` has the number of done tasks by
// occurrence and step; the occurrences of a periodic job run side by side.
// Steps that last for ever count for nothing.
remaining_work RemainingWork(const job_spec& job,
                             const std::vector<std::vector<uint32_t>>& done);

// A job as far as its place in the order depends on it.
struct job_outlook {
  uint32_t priority = 0;  // of its queue; 0 goes first
  boot_time objective{};  // deadline for completion
  remaining_work left;

  friend bool operator==(const job_outlook&, const job_outlook&) = default;
};

// clang-tidy 14 reports a false positive for the generated code of defaulted
// comparisons.
// NOLINTBEGIN(modernize-use-nullptr)

// Place of a job in the order; the lowest rank is placed first.
struct job_rank {
  uint32_t priority = 0;
  bool yields = false;  // to jobs that can meet their objective
  double core_seconds = 0;
  boot_time objective{};

  friend auto operator<=>(const job_rank&, const job_rank&) = default;
};

// NOLINTEND(modernize-use-nullptr)

// Returns the place of a job. A job stops yielding `yield_duration` after its
// objective, so that it is not passed over for ever.
job_rank RankJob(const job_outlook& job,
                 job_order_policy policy,
                 millis yield_duration,
                 boot_time now);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_JOB_ORDER_H_
