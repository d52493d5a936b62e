// Latency headroom of serving tasks: how many times faster than their target
// they respond.
//
// The latency of a queue is inversely proportional to the capacity that is left
// for it. Disturbances add up in headroom, whatever the load, while the same
// disturbance raises the latency little at low load and manifold at high load.
#ifndef CHIVEGLADE_WORKFLOW_HEADROOM_H_
#define CHIVEGLADE_WORKFLOW_HEADROOM_H_

#include <algorithm>

namespace chiveglade::workflow {

// Latency ratios (latency over target) outside this range count as its ends.
constexpr double kMinLatencyRatio = 0.05;
constexpr double kMaxLatencyRatio = 20;

// Returns the headroom at a latency ratio: its inverse.
inline double HeadroomAt(double latency_ratio) {
  return 1 / std::clamp(latency_ratio, kMinLatencyRatio, kMaxLatencyRatio);
}

// Returns the latency ratio at a headroom, which may be negative.
inline double LatencyRatioAt(double headroom) {
  return 1 / std::clamp(headroom, 1 / kMaxLatencyRatio, 1 / kMinLatencyRatio);
}

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_HEADROOM_H_
