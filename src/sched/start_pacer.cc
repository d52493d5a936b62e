#include "src/sched/start_pacer.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

constexpr int64_t kIntervalMs = 100;

}  // namespace

void second_window::Advance(boot_time now) {
  const int64_t interval = now.time_since_epoch().count() / kIntervalMs;
  const int64_t steps = std::clamp<int64_t>(interval - newest_, 0, kIntervals);
  for (int64_t i = 1; i <= steps; ++i) {
    auto& slot =
        counts_[static_cast<size_t>(interval - steps + i) % kIntervals];
    sum_ -= slot;
    slot = 0;
  }
  newest_ = std::max(newest_, interval);
}

uint32_t second_window::Count(boot_time now) {
  Advance(now);
  return sum_;
}

uint32_t second_window::Current(boot_time now) {
  Advance(now);
  return counts_[static_cast<size_t>(newest_) % kIntervals];
}

void second_window::Add(boot_time now) {
  Advance(now);
  ++counts_[static_cast<size_t>(newest_) % kIntervals];
  ++sum_;
}

start_pacer::start_pacer(uint32_t per_second, uint32_t per_vm_second)
    : per_second_(per_second),
      per_interval_(std::max(1U, per_second / 5)),
      per_vm_second_(per_vm_second) {}

bool start_pacer::Allows(boot_time now) {
  return all_.Current(now) < per_interval_ && all_.Count(now) < per_second_;
}

bool start_pacer::AllowsOn(const std::string& vm, boot_time now) {
  const auto it = by_vm_.find(vm);
  return it == by_vm_.end() || it->second.Count(now) < per_vm_second_;
}

void start_pacer::Started(const std::string& vm, boot_time now) {
  all_.Add(now);
  by_vm_[vm].Add(now);
}

void start_pacer::Trim(boot_time now) {
  for (auto it = by_vm_.begin(); it != by_vm_.end();) {
    it = it->second.Count(now) == 0 ? by_vm_.erase(it) : std::next(it);
  }
}

}  // namespace chiveglade::sched
