#include <catch2/catch.hpp>

#include "chiveglade/core/clock.h"

namespace chiveglade {

// Guards against a margin that two clocks at opposite ends of the allowed rate
// error would eat up.
TEST_CASE("the clock margin covers two clocks that drift apart") {
  constexpr millis kLease{100'000};
  const auto slow_holder =
      static_cast<double>(kLease.count()) / (1.0 - kMaxClockRateError);
  const auto fast_grantor =
      static_cast<double>(WithClockMargin(kLease).count()) /
      (1.0 + kMaxClockRateError);
  CHECK(fast_grantor >= slow_holder);
  CHECK(boot_clock::now().time_since_epoch().count() > 0);
}

}  // namespace chiveglade
