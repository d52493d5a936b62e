// Arithmetic on numbers from outside, which may have any value: a result out of
// range is the nearest number in range.
#ifndef CHIVEGLADE_CORE_SATURATING_H_
#define CHIVEGLADE_CORE_SATURATING_H_

#include <algorithm>
#include <cstdint>
#include <limits>

#include "chiveglade/core/clock.h"

namespace chiveglade {

constexpr int64_t SaturatingAdd(int64_t a, int64_t b) {
  int64_t out = 0;
  if (__builtin_add_overflow(a, b, &out)) {
    return b < 0 ? std::numeric_limits<int64_t>::min()
                 : std::numeric_limits<int64_t>::max();
  }
  return out;
}

constexpr int64_t SaturatingSubtract(int64_t a, int64_t b) {
  int64_t out = 0;
  if (__builtin_sub_overflow(a, b, &out)) {
    return b > 0 ? std::numeric_limits<int64_t>::min()
                 : std::numeric_limits<int64_t>::max();
  }
  return out;
}

constexpr int64_t SaturatingMultiply(int64_t a, int64_t b) {
  int64_t out = 0;
  if (__builtin_mul_overflow(a, b, &out)) {
    return (a < 0) != (b < 0) ? std::numeric_limits<int64_t>::min()
                              : std::numeric_limits<int64_t>::max();
  }
  return out;
}

constexpr millis SaturatingAdd(millis a, millis b) {
  return millis(SaturatingAdd(a.count(), b.count()));
}

// Returns a length times a factor, at most kMaxDuration and at least 0. A
// factor that is not a number counts as 0.
inline millis ScaleDuration(millis length, double factor) {
  const double out = static_cast<double>(length.count()) * factor;
  if (!(out > 0)) {
    return millis(0);
  }
  return millis(static_cast<int64_t>(
      std::min(out, static_cast<double>(kMaxDuration.count()))));
}

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_SATURATING_H_
