// Limits the rate of starts.
#ifndef CHIVEGLADE_SCHED_START_PACER_H_
#define CHIVEGLADE_SCHED_START_PACER_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "chiveglade/core/clock.h"

namespace chiveglade::sched {

// Counts events in a sliding window of one second, with a resolution of 100 ms.
// The window is up to one interval longer than a second, never shorter.
class sliding_window {
 public:
  // Returns the events in the second before `now`, which must not decrease.
  uint32_t CountInLastSecond(boot_time now);
  // Returns the events in the current interval.
  uint32_t CountInInterval(boot_time now);
  void Add(boot_time now);

 private:
  static constexpr size_t kIntervals = 11;
  void Advance(boot_time now);

  std::array<uint16_t, kIntervals> counts_{};
  int64_t newest_interval_ = 0;
  uint32_t sum_ = 0;
};

// Allows at most `per_second` starts in any second, at most a fifth of that in
// 100 ms, and at most `per_vm_second` per second on one VM.
class start_pacer {
 public:
  start_pacer(uint32_t per_second, uint32_t per_vm_second);

  // Returns true if the limits over all VMs allow another start.
  bool Allows(boot_time now);
  // Returns true if the limit of the VM allows another start.
  bool AllowsOn(const std::string& vm, boot_time now);
  void RecordStart(const std::string& vm, boot_time now);
  // Drops the windows of VMs without a start in the last second.
  void DropIdleVms(boot_time now);

 private:
  uint32_t max_per_second_;
  uint32_t max_per_interval_;
  uint32_t max_per_vm_second_;
  sliding_window cluster_window_;
  std::unordered_map<std::string, sliding_window> vm_windows_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_START_PACER_H_
