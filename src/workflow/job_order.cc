#include "chiveglade/workflow/job_order.h"

#include <algorithm>

namespace chiveglade::workflow {

namespace {

// Share of the estimated time in which a job is taken to be able to end.
// Estimates are off by up to 90%; a job that is given up too early is worse off
// than one that is tried in vain.
constexpr int kOptimisticEstimateDivisor = 2;
constexpr double kMillisPerSecond = 1'000;
constexpr double kMillicoresPerCore = 1'000;

}  // namespace

remaining_work RemainingWork(const job_spec& job,
                             const std::vector<std::vector<uint32_t>>& done) {
  remaining_work out;
  std::vector<millis> ends(job.steps.size());
  for (const auto& done_tasks : done) {
    std::fill(ends.begin(), ends.end(), millis(0));
    for (size_t s = 0; s < job.steps.size(); ++s) {
      const auto& step = job.steps[s];
      for (const uint32_t earlier : step.after) {
        ends[s] = std::max(ends[s], ends[earlier]);
      }
      if (step.long_running || done_tasks[s] >= step.count) {
        continue;
      }
      ends[s] = SaturatingAdd(ends[s], step.estimate);
      out.critical_path = std::max(out.critical_path, ends[s]);
      out.core_seconds +=
          static_cast<double>(step.count - done_tasks[s]) *
          static_cast<double>(step.demand.millicores) / kMillicoresPerCore *
          static_cast<double>(step.estimate.count()) / kMillisPerSecond;
    }
  }
  return out;
}

job_rank RankJob(const job_outlook& job,
                 job_order_policy policy,
                 millis yield_duration,
                 boot_time now) {
  job_rank out;
  out.priority = job.priority;
  out.objective = job.objective;
  const bool by_feasibility = policy == job_order_policy::kFeasibleFirst;
  const auto needed = by_feasibility
                          ? job.left.critical_path / kOptimisticEstimateDivisor
                          : millis(0);
  out.yields =
      now + needed > job.objective && now - job.objective < yield_duration;
  if (out.yields && by_feasibility) {
    out.core_seconds = job.left.core_seconds;
  }
  return out;
}

}  // namespace chiveglade::workflow
