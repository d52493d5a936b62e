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
                           uint32_t percent,
                           uint32_t minimum_per_second)
    : clock_(std::move(clock)),
      percent_(percent),
      minimum_per_second_(minimum_per_second) {}

void retry_budget::OnRequest() {
  const std::lock_guard lock(mutex_);
  ++Current().requests;
}

bool retry_budget::TryRetry() {
  const std::lock_guard lock(mutex_);
  second& current = Current();
  uint64_t requests = 0;
  uint64_t retries = 0;
  for (const auto& each : window_) {
    if (each.number > current.number - static_cast<int64_t>(kWindowSeconds)) {
      requests += each.requests;
      retries += each.retries;
    }
  }
  const uint64_t allowed =
      std::max<uint64_t>(requests * percent_ / 100,
                         uint64_t{minimum_per_second_} * kWindowSeconds);
  if (retries >= allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

retry_budget::second& retry_budget::Current() {
  const int64_t number = SecondOf(clock_());
  second& at = window_[static_cast<size_t>(number) % kWindowSeconds];
  if (at.number != number) {
    at = {number, 0, 0};
  }
  return at;
}

}  // namespace chiveglade::routing
