// Limits how many attempts start per second.
#ifndef CHIVEGLADE_SCHED_START_PACER_H_
#define CHIVEGLADE_SCHED_START_PACER_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "chiveglade/core/clock.h"

namespace chiveglade::sched {

// Counts events in intervals of 100 ms and answers how many happened in the
// last second. The window is up to one interval longer, never shorter.
class sliding_window {
 public:
  // Events in the second before `now`. `now` must not go backwards.
  uint32_t CountInLastSecond(boot_time now);
  // Events in the current interval.
  uint32_t CountInInterval(boot_time now);
  void Add(boot_time now);

 private:
  static constexpr size_t kIntervals = 11;
  void Advance(boot_time now);

  std::array<uint16_t, kIntervals> counts_{};
  int64_t newest_interval_ = 0;
  uint32_t sum_ = 0;
};

// Allows at most `per_second` starts in any second, at most a fifth of them in
// 100 ms, and `per_vm_second` on one VM.
class start_pacer {
 public:
  start_pacer(uint32_t per_second, uint32_t per_vm_second);

  // True if another start is allowed anywhere.
  bool Allows(boot_time now);
  // True if another start is allowed on the VM.
  bool AllowsOn(const std::string& vm, boot_time now);
  void RecordStart(const std::string& vm, boot_time now);
  // Forgets VMs without a recent start.
  void Trim(boot_time now);

 private:
  uint32_t max_per_second_;
  uint32_t max_per_interval_;
  uint32_t max_per_vm_second_;
  sliding_window cluster_window_;
  std::unordered_map<std::string, sliding_window> vm_windows_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_START_PACER_H_
