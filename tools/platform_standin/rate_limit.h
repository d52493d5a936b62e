// A token bucket that holds one second of its rate.
#ifndef CHIVEGLADE_TOOLS_PLATFORM_STANDIN_RATE_LIMIT_H_
#define CHIVEGLADE_TOOLS_PLATFORM_STANDIN_RATE_LIMIT_H_

#include "chiveglade/core/clock.h"

namespace chiveglade::standin {

// Single-threaded.
class rate_limit {
 public:
  // `per_second` 0 means no limit.
  rate_limit(double per_second, clock_fn clock);

  // Takes `amount` tokens, or none and returns false. An amount above the rate
  // passes when the bucket is full, so that it is not refused for ever.
  bool Take(double amount);

 private:
  const double per_second_;
  const clock_fn clock_;
  double tokens_;
  boot_time filled_at_;
};

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_PLATFORM_STANDIN_RATE_LIMIT_H_
