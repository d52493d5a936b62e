// Settings of the scheduling policy.
#ifndef CHIVEGLADE_SCHED_PLANNER_OPTIONS_H_
#define CHIVEGLADE_SCHED_PLANNER_OPTIONS_H_

#include <cstdint>

#include "chiveglade/core/clock.h"

namespace chiveglade::sched {

// How to choose among the VMs that have room. kFirstFit and kLeastLoaded are
// baselines for comparison.
enum class placement_rule : uint8_t { kScored, kFirstFit, kLeastLoaded };

// How to use measured slowdowns. kLearned throttles neighbours and learns the
// effects of pairs of classes. The others are baselines for comparison:
// kReactive throttles but learns no pairs, kIgnore does nothing, and
// kEvictImmediately evicts instead of throttling.
enum class interference_rule : uint8_t {
  kLearned,
  kReactive,
  kIgnore,
  kEvictImmediately
};

struct planner_options {
  placement_rule placement = placement_rule::kScored;
  interference_rule interference = interference_rule::kLearned;

  // Number of VMs with room that are scored per task. 16 random candidates
  // include one of the best tenth of all VMs in four of five decisions.
  uint32_t placement_candidates = 16;

  // Limits on starts per second, over all VMs and on one VM.
  uint32_t starts_per_second = 400;
  uint32_t starts_per_vm_second = 8;

  // Time that a large task must wait for room before a VM is reserved for it.
  millis reservation_delay{30'000};
  // Time that a job must fit no known VM before it is parked. After a full
  // restart VMs join one by one, so a fitting VM may still be missing.
  millis parking_delay{10'000};
  // Time that room is held for a task while its victims stop. Three times the
  // default stop grace.
  millis hold_timeout{10'000};

  // Evacuation of a data centre or a drained VM: share of its attempts that may
  // be stopping at the same time, and the least value of that limit.
  double evacuation_share = 0.10;
  uint32_t min_evacuation_limit = 4;
  // Return of a data centre to service: share of its capacity that may be
  // committed at first, and the time of the linear ramp to all of it.
  double return_initial_share = 0.05;
  millis return_ramp{60'000};

  // Time constant of the exponential lag between a neighbour's arrival and its
  // effect on the reported slowdown.
  millis measurement_lag{5'000};
  // A task may be placed beside a latency-critical one if the predicted
  // slowdown of the latter stays within this share of its limit.
  double placement_margin = 0.95;
  // Latency-critical classes with a slowdown limit at or below this are strict:
  // no batch class whose effect on them is unknown is placed beside them.
  uint32_t strict_limit_pct = 110;

  // Quarantine: maximum share of all VMs, and the initial and maximum delay of
  // the exponential backoff between probes.
  double quarantine_share = 0.10;
  millis initial_probe_delay{60'000};
  millis max_probe_delay{3'600'000};
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLANNER_OPTIONS_H_
