#include "chiveglade/workflow/worker_health.h"

#include <algorithm>

namespace chiveglade::workflow {

void worker_health::OnDone() {
  failed_jobs_.clear();
  suspect_until_ = {};
}

void worker_health::OnFailed(const std::string& job, boot_time now) {
  failed_jobs_.insert(job);
  if (failed_jobs_.size() >= kSuspectFailedJobs) {
    suspect_until_ = now + kSuspectDuration;
  }
}

void worker_health::OnHung(boot_time now) {
  suspect_until_ = now + kSuspectDuration;
}

void worker_health::OnRefused(boot_time now) {
  constexpr millis kRefusalSuspectDuration{1'000};
  suspect_until_ = std::max(suspect_until_, now + kRefusalSuspectDuration);
}

}  // namespace chiveglade::workflow
