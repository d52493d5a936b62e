// The own load of the replicas of one serving step.
#ifndef CHIVEGLADE_WORKFLOW_REPLICA_LOAD_H_
#define CHIVEGLADE_WORKFLOW_REPLICA_LOAD_H_

#include <cstddef>
#include <map>

#include "chiveglade/core/clock.h"
#include "chiveglade/workflow/decaying_peak.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// Separates what the requests of a serving step do to its latency from what
// best-effort tasks do.
//
// Answers this load: best-effort tasks whose effect is far from the predicted
// one. Replicas share the requests of their step, so the least disturbed ones
// show its own load, and a higher latency of others has another cause. Taken
// for own load, it would keep best-effort tasks away long after it has ended.
class replica_load {
 public:
  // Replicas that are needed to know the own load.
  static constexpr size_t kMinReplicas = 4;

  // Adds a measurement of one replica: its tail latency as a share of its
  // target.
  void Update(const run_key& run, double ratio, boot_time now);
  void Remove(const run_key& run) { replicas_.erase(run); }
  bool empty() const { return replicas_.empty(); }

  // Returns true if there are enough replicas to tell their own load from
  // disturbances.
  bool IsKnown() const { return replicas_.size() >= kMinReplicas; }
  // The own load as a share of the target, at present and at its recent peak; 0
  // before the first measurement.
  double now() const { return now_; }
  double peak() const { return peak_.value(); }

 private:
  struct measurement {
    double ratio = 0;
    boot_time at{};
  };
  std::map<run_key, measurement> replicas_;
  double now_ = 0;
  decaying_peak peak_;
  boot_time updated_at_{};
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_REPLICA_LOAD_H_
