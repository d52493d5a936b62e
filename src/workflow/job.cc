#include "chiveglade/workflow/job.h"

#include <algorithm>
#include <utility>

namespace chiveglade::workflow {

namespace {

reason BadJob(std::string detail) {
  return {"bad_job", std::move(detail)};
}

result<done> CheckStep(const step_spec& step, size_t number) {
  const std::string name = "step " + std::to_string(number);
  if (step.count == 0) {
    return BadJob(name + " has no tasks");
  }
  if (!AreAmounts(step.demand)) {
    return BadJob(name + " has a demand that is negative or too large");
  }
  if (!IsDuration(step.estimate) || !IsDuration(step.latency_target)) {
    return BadJob(name + " has a duration that is negative or too long");
  }
  for (const uint32_t earlier : step.after) {
    if (earlier >= number) {
      return BadJob(name + " depends on a step that does not come before it");
    }
  }
  return done{};
}

}  // namespace

int64_t DueUnixMs(const repetition& in, uint32_t occurrence) {
  if (in.occurrences == 0) {
    return 0;
  }
  return SaturatingAdd(in.first_unix_ms,
                       SaturatingMultiply(occurrence, in.interval.count()));
}

void ClampNumbers(job_spec& job) {
  for (auto& step : job.steps) {
    step.demand = ClampAmounts(step.demand);
    step.estimate = ClampDuration(step.estimate);
    step.latency_target = ClampDuration(step.latency_target);
  }
  auto& repeat = job.repeat;
  repeat.first_unix_ms = ClampDuration(millis(repeat.first_unix_ms)).count();
  repeat.interval = ClampDuration(repeat.interval);
}

result<done> CheckJob(const job_spec& job) {
  if (job.steps.empty()) {
    return BadJob("a job needs at least one step");
  }
  if (!IsDuration(millis(job.repeat.first_unix_ms)) ||
      !IsDuration(job.repeat.interval)) {
    return BadJob("a due time or interval is negative or too large");
  }
  uint64_t tasks = 0;
  for (size_t i = 0; i < job.steps.size(); ++i) {
    if (auto checked = CheckStep(job.steps[i], i); !checked) {
      return checked;
    }
    tasks += job.steps[i].count;
  }
  const uint64_t occurrences = std::max(1U, job.repeat.occurrences);
  if (tasks > kMaxTasksPerJob || occurrences * tasks > kMaxTasksPerJob) {
    return BadJob("more than " + std::to_string(kMaxTasksPerJob) + " tasks");
  }
  return done{};
}

std::string ToString(const task_key& in) {
  return in.job + "/" + std::to_string(in.occurrence) + "/" +
         std::to_string(in.step) + "/" + std::to_string(in.index);
}

const char* ToString(job_phase in) {
  switch (in) {
    case job_phase::kQueued:
      return "queued";
    case job_phase::kRunning:
      return "running";
    case job_phase::kCompleted:
      return "completed";
    case job_phase::kFailed:
      return "failed";
    case job_phase::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace chiveglade::workflow
