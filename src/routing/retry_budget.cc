#include "chiveglade/routing/retry_budget.h"

#include <algorithm>
#include <utility>

namespace chiveglade::routing {

namespace {

int64_t SecondOf(boot_time at) {
  return std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch())
      .count();
}

}  // namespace

retry_budget::retry_budget(clock_fn clock,
                           uint32_t retry_percent,
                           uint32_t min_retries_per_second)
    : clock_(std::move(clock)),
      retry_percent_(retry_percent),
      min_retries_per_second_(min_retries_per_second) {}

void retry_budget::OnRequest() {
  const std::lock_guard lock(mutex_);
  ++CurrentBucket().requests;
}

bool retry_budget::TryRetry() {
  const std::lock_guard lock(mutex_);
  bucket& current = CurrentBucket();
  uint64_t requests = 0;
  uint64_t retries = 0;
  for (const auto& each : window_) {
    if (each.second > current.second - static_cast<int64_t>(kWindowSeconds)) {
      requests += each.requests;
      retries += each.retries;
    }
  }
  const uint64_t allowed =
      std::max<uint64_t>(requests * retry_percent_ / 100,
                         uint64_t{min_retries_per_second_} * kWindowSeconds);
  if (retries >= allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

retry_budget::bucket& retry_budget::CurrentBucket() {
  const int64_t second = SecondOf(clock_());
  bucket& found = window_[static_cast<size_t>(second) % kWindowSeconds];
  if (found.second != second) {
    found = {second, 0, 0};
  }
  return found;
}

}  // namespace chiveglade::routing
