// Tunable limits of the scheduling policy.
#ifndef CHIVEGLADE_SCHED_PLANNER_OPTIONS_H_
#define CHIVEGLADE_SCHED_PLANNER_OPTIONS_H_

#include <cstdint>

#include "chiveglade/core/clock.h"

namespace chiveglade::sched {

// How a VM is chosen among those with room. kFirstFit and kLeastLoaded are
// baselines for comparison.
enum class placement_rule : uint8_t { kScored, kFirstFit, kLeastLoaded };

// How measured slowdowns are used. All but kLearned are baselines for
// comparison: kReactive throttles by measurements but learns nothing about
// pairs, kIgnore does nothing, kEvictImmediately evicts instead of throttling.
enum class interference_rule : uint8_t {
  kLearned,
  kReactive,
  kIgnore,
  kEvictImmediately
};

struct planner_options {
  placement_rule placement = placement_rule::kScored;
  interference_rule interference = interference_rule::kLearned;

  // VMs with room that are scored for one task. 16 random placement_candidates
  // find one in the best tenth of all VMs in four of five decisions.
  uint32_t placement_candidates = 16;

  // Start limits per second, overall and on one VM.
  uint32_t starts_per_second = 400;
  uint32_t starts_per_vm_second = 8;

  // How long a large task waits before it reserves a VM.
  millis reservation_delay{30'000};
  // How long a job must fit no VM before it is parked. VMs announce themselves
  // one by one after a restart of everything.
  millis parking_delay{10'000};
  // How long room is held for a task whose victims are stopping. Three times
  // the default stop grace.
  millis hold_timeout{10'000};

  // Departure of a data centre: share of its attempts that may be stopping at
  // one time, and the least number.
  double evacuation_share = 0.10;
  uint32_t min_concurrent_evacuations = 4;
  // Return of a data centre: share of its capacity that may be committed at
  // first, and the time until all of it may be.
  double return_initial_share = 0.05;
  millis return_ramp{60'000};

  // Time constant of the lag between a neighbour's arrival and its effect on
  // the reported slowdown.
  millis measurement_lag{5'000};
  // A task may join a latency-critical one if the predicted slowdown stays
  // below this share of the limit.
  double placement_margin = 0.95;
  // Latency-critical classes with a slowdown limit at or below this are
  // strict: batch classes without measurements are not tried beside them.
  uint32_t strict_limit_pct = 110;

  // Quarantine: largest share of workers, first wait before a probe, longest.
  double quarantine_share = 0.10;
  millis initial_probe_delay{60'000};
  millis max_probe_delay{3'600'000};
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLANNER_OPTIONS_H_
