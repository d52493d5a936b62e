#include "tools/platform_standin/rate_limit.h"

#include <algorithm>
#include <utility>

namespace chiveglade::standin {

rate_limit::rate_limit(double per_second, clock_fn clock)
    : per_second_(per_second),
      clock_(std::move(clock)),
      tokens_(per_second),
      filled_at_(clock_()) {}

bool rate_limit::Take(double amount) {
  if (per_second_ <= 0) {
    return true;
  }
  const auto now = clock_();
  const std::chrono::duration<double> passed = now - filled_at_;
  tokens_ = std::min(per_second_, tokens_ + passed.count() * per_second_);
  filled_at_ = now;
  if (tokens_ < std::min(amount, per_second_)) {
    return false;
  }
  tokens_ -= amount;
  return true;
}

}  // namespace chiveglade::standin
