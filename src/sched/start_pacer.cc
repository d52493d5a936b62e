#include "src/sched/start_pacer.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

constexpr int64_t kIntervalMs = 100;

}  // namespace

void sliding_window::Advance(boot_time now) {
  const int64_t interval = now.time_since_epoch().count() / kIntervalMs;
  const int64_t steps =
      std::clamp<int64_t>(interval - newest_interval_, 0, kIntervals);
  for (int64_t i = 1; i <= steps; ++i) {
    auto& slot =
        counts_[static_cast<size_t>(interval - steps + i) % kIntervals];
    sum_ -= slot;
    slot = 0;
  }
  newest_interval_ = std::max(newest_interval_, interval);
}

uint32_t sliding_window::CountInLastSecond(boot_time now) {
  Advance(now);
  return sum_;
}

uint32_t sliding_window::CountInInterval(boot_time now) {
  Advance(now);
  return counts_[static_cast<size_t>(newest_interval_) % kIntervals];
}

void sliding_window::Add(boot_time now) {
  Advance(now);
  ++counts_[static_cast<size_t>(newest_interval_) % kIntervals];
  ++sum_;
}

start_pacer::start_pacer(uint32_t per_second, uint32_t per_vm_second)
    : max_per_second_(per_second),
      max_per_interval_(std::max(1U, per_second / 5)),
      max_per_vm_second_(per_vm_second) {}

bool start_pacer::Allows(boot_time now) {
  return cluster_window_.CountInInterval(now) < max_per_interval_ &&
         cluster_window_.CountInLastSecond(now) < max_per_second_;
}

bool start_pacer::AllowsOn(const std::string& vm, boot_time now) {
  const auto it = vm_windows_.find(vm);
  return it == vm_windows_.end() ||
         it->second.CountInLastSecond(now) < max_per_vm_second_;
}

void start_pacer::RecordStart(const std::string& vm, boot_time now) {
  cluster_window_.Add(now);
  vm_windows_[vm].Add(now);
}

void start_pacer::DropIdleVms(boot_time now) {
  for (auto it = vm_windows_.begin(); it != vm_windows_.end();) {
    it = it->second.CountInLastSecond(now) == 0 ? vm_windows_.erase(it)
                                                : std::next(it);
  }
}

}  // namespace chiveglade::sched
