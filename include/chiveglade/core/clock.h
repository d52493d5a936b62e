// Monotonic time that goes on while a VM is suspended, passed in as a hook.
#ifndef CHIVEGLADE_CORE_CLOCK_H_
#define CHIVEGLADE_CORE_CLOCK_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>

namespace chiveglade {

using millis = std::chrono::milliseconds;

// Longest duration that is accepted from outside, and latest time since 1970:
// about 1,000 years. The sum of as many as a job has steps is exact.
constexpr millis kMaxDuration{int64_t{31'536'000'000'000}};

// True if a duration from outside is one.
constexpr bool IsDuration(millis in) {
  return in >= millis(0) && in <= kMaxDuration;
}
constexpr millis ClampDuration(millis in) {
  return std::clamp(in, millis(0), kMaxDuration);
}

// The system clock CLOCK_BOOTTIME. Comparable only on the VM that read it.
struct boot_clock {
  using duration = millis;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The standard fixes the names is_steady and now.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  // Reads CLOCK_BOOTTIME. Decision code receives a clock_fn instead.
  static time_point now();
};

using boot_time = boot_clock::time_point;

// Source of time for decision code; tests pass a manual clock.
using clock_fn = std::function<boot_time()>;

// Largest relative error between the clocks of two VMs that safety margins
// allow for. One in fifty is far above the drift of a disciplined VM clock.
constexpr double kMaxClockRateError = 0.02;

// `length` stretched so that it has passed on every clock within the rate error
// once it has passed on this one: the holder's clock may be slow by the error
// while this one is fast by it.
constexpr millis WithClockMargin(millis length) {
  constexpr double kStretch =
      (1.0 + kMaxClockRateError) / (1.0 - kMaxClockRateError);
  return millis(static_cast<millis::rep>(
      static_cast<double>(length.count()) * kStretch + 1));
}

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_CLOCK_H_
