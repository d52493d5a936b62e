// Amounts of processors, memory and accelerators.
#ifndef CHIVEGLADE_CORE_RESOURCES_H_
#define CHIVEGLADE_CORE_RESOURCES_H_

#include <algorithm>
#include <compare>
#include <cstdint>

#include "chiveglade/core/saturating.h"

namespace chiveglade {

// Largest amount of a resource that is accepted from outside. The sum of the
// demands of all tasks on a VM is exact.
constexpr int64_t kMaxAmount = int64_t{1} << 40;

// An amount of each resource of a VM. Amounts are exact integers, so sums never
// drift. Negative amounts occur only as the result of a subtraction. A sum,
// difference or product out of range is the nearest amount in range, so one
// that is too large never appears to fit.
struct resources {
  int64_t millicores = 0;    // thousandths of a processor
  int64_t memory_mib = 0;    // MiB
  int64_t accelerators = 0;  // whole devices

  friend bool operator==(const resources&, const resources&) = default;

  resources& operator+=(const resources& other) {
    millicores = SaturatingAdd(millicores, other.millicores);
    memory_mib = SaturatingAdd(memory_mib, other.memory_mib);
    accelerators = SaturatingAdd(accelerators, other.accelerators);
    return *this;
  }
  resources& operator-=(const resources& other) {
    millicores = SaturatingSubtract(millicores, other.millicores);
    memory_mib = SaturatingSubtract(memory_mib, other.memory_mib);
    accelerators = SaturatingSubtract(accelerators, other.accelerators);
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
  friend resources operator*(const resources& a, int64_t times) {
    return {SaturatingMultiply(a.millicores, times),
            SaturatingMultiply(a.memory_mib, times),
            SaturatingMultiply(a.accelerators, times)};
  }
};

// True if each amount from outside is between 0 and kMaxAmount.
constexpr bool AreAmounts(const resources& in) {
  return std::min({in.millicores, in.memory_mib, in.accelerators}) >= 0 &&
         std::max({in.millicores, in.memory_mib, in.accelerators}) <=
             kMaxAmount;
}
constexpr resources ClampAmounts(const resources& in) {
  return {std::clamp<int64_t>(in.millicores, 0, kMaxAmount),
          std::clamp<int64_t>(in.memory_mib, 0, kMaxAmount),
          std::clamp<int64_t>(in.accelerators, 0, kMaxAmount)};
}

// True if `amount` is at most `limit` in every resource.
constexpr bool FitsWithin(const resources& amount, const resources& limit) {
  return amount.millicores <= limit.millicores &&
         amount.memory_mib <= limit.memory_mib &&
         amount.accelerators <= limit.accelerators;
}

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_RESOURCES_H_
