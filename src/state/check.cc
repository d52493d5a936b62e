#include "check.h"

namespace chiveglade::state {

bool IsAmount(const resources& in) {
  const resources largest{kMaxAmount, kMaxAmount, kMaxAmount};
  return FitsWithin({}, in) && FitsWithin(in, largest);
}

result<done> CheckSpec(const job_spec& spec) {
  if (spec.name.empty()) {
    return reason{"invalid_job", "the job has no name"};
  }
  if (!IsAmount(spec.per_task)) {
    return reason{"invalid_job", "resources of job " + spec.name +
                                     " are negative or above 2^40"};
  }
  if (spec.tasks > kMaxTasks ||
      (spec.tasks == 0 && spec.priority != band::kService)) {
    return reason{"invalid_job",
                  "job " + spec.name + " must have 1 to 100000 tasks"};
  }
  if (spec.run_lease <= millis(0)) {
    return reason{"invalid_job", "job " + spec.name + " has no run lease"};
  }
  return done{};
}

}  // namespace chiveglade::state
