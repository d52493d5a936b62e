// The word for a task's phase, in status pages and metric labels.
#ifndef CHIVEGLADE_STATE_PHASE_NAME_H_
#define CHIVEGLADE_STATE_PHASE_NAME_H_

#include "chiveglade/state/job.h"

namespace chiveglade::state {

// "pending", "starting", "running", "stopping", "finished", "cancelled" or
// "failed".
constexpr const char* PhaseName(task_phase phase) {
  switch (phase) {
    case task_phase::kPending:
      return "pending";
    case task_phase::kStarting:
      return "starting";
    case task_phase::kRunning:
      return "running";
    case task_phase::kStopping:
      return "stopping";
    case task_phase::kFinished:
      return "finished";
    case task_phase::kCancelled:
      return "cancelled";
    case task_phase::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_PHASE_NAME_H_
