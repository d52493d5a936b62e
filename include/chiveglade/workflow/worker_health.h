// Detection of VMs that should get no new runs although they send heartbeats:
// their workers fail every run, refuse starts, or make no progress.
#ifndef CHIVEGLADE_WORKFLOW_WORKER_HEALTH_H_
#define CHIVEGLADE_WORKFLOW_WORKER_HEALTH_H_

#include <cstdint>
#include <set>
#include <string>

#include "chiveglade/core/clock.h"

namespace chiveglade::workflow {

// Failure history of one VM.
class worker_health {
 public:
  // A VM becomes suspect once runs of this many different jobs have failed
  // since its last success. A single job may fail through its own fault.
  static constexpr size_t kSuspectFailedJobs = 2;
  // How long a VM stays suspect after its last failure or hang. Longer than a
  // typical run, shorter than the periods over which workers fail.
  static constexpr millis kSuspectDuration{4'000};

  void OnDone();
  // A run of `job` failed.
  void OnFailed(const std::string& job, boot_time now);
  // A run made no progress.
  void OnHung(boot_time now);
  // The worker refused a start as unhealthy.
  void OnRefused(boot_time now);

  bool IsSuspect(boot_time now) const { return now < suspect_until_; }
  // True if a run has failed since the last success.
  bool HasFailedSinceSuccess() const { return !failed_jobs_.empty(); }

 private:
  std::set<std::string> failed_jobs_;  // IDs; since the last success
  boot_time suspect_until_{};
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_WORKER_HEALTH_H_
