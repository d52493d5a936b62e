// Amounts of processors, memory and accelerators.
#ifndef CHIVEGLADE_CORE_RESOURCES_H_
#define CHIVEGLADE_CORE_RESOURCES_H_

#include <compare>
#include <cstdint>

namespace chiveglade {

// An amount of each resource of a VM. Amounts are exact integers, so sums never
// drift. Negative amounts occur only as the result of a subtraction.
struct resources {
  int64_t millicores = 0;    // thousandths of a processor
  int64_t memory_mib = 0;    // MiB
  int64_t accelerators = 0;  // whole devices

  friend bool operator==(const resources&, const resources&) = default;

  resources& operator+=(const resources& other) {
    millicores += other.millicores;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    millicores -= other.millicores;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
};

// True if `amount` is at most `limit` in every resource.
constexpr bool FitsWithin(const resources& amount, const resources& limit) {
  return amount.millicores <= limit.millicores &&
         amount.memory_mib <= limit.memory_mib &&
         amount.accelerators <= limit.accelerators;
}

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_RESOURCES_H_
