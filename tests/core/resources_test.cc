#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

#include "chiveglade/core/resources.h"

namespace chiveglade {

// Guards against a fit check that looks at processors only.
TEST_CASE("an amount fits only if every resource fits") {
  const resources limit{1000, 100, 1};
  CHECK(FitsWithin({1000, 100, 1}, limit));
  CHECK_FALSE(FitsWithin({1001, 0, 0}, limit));
  CHECK_FALSE(FitsWithin({0, 101, 0}, limit));
  CHECK_FALSE(FitsWithin({0, 0, 2}, limit));
}

// Regression, review/15: a sum overflowed, was negative and fit everywhere.
TEST_CASE("sums, differences and products of amounts do not overflow") {
  constexpr int64_t kMost = std::numeric_limits<int64_t>::max();
  constexpr int64_t kLeast = std::numeric_limits<int64_t>::min();
  const resources one{1, 1, 1};
  const resources most{kMost, kMost, kMost};
  const resources least{kLeast, kLeast, kLeast};
  CHECK(most + one == most);
  CHECK(least - one == least);
  CHECK(one - least == most);
  CHECK(most * 2 == most);
  CHECK(most * -2 == least);
  CHECK(most * 0 == resources{});
  CHECK_FALSE(FitsWithin(most + one, {1000, 1000, 1000}));
  CHECK(resources{3, 2, 1} + one - one == resources{3, 2, 1});
}

TEST_CASE("amounts from outside are checked and brought into range") {
  CHECK(AreAmounts({0, kMaxAmount, 1}));
  CHECK_FALSE(AreAmounts({0, kMaxAmount + 1, 1}));
  CHECK_FALSE(AreAmounts({0, 0, -1}));
  CHECK(ClampAmounts({-1, kMaxAmount + 1, 5}) == resources{0, kMaxAmount, 5});
}

TEST_CASE("durations are scaled within the longest one") {
  CHECK(ScaleDuration(millis(100), 1.5) == millis(150));
  CHECK(ScaleDuration(kMaxDuration, 1e300) == kMaxDuration);
  CHECK(ScaleDuration(millis(100), -1) == millis(0));
  CHECK(ScaleDuration(millis(100), std::nan("")) == millis(0));
  CHECK(SaturatingAdd(millis::max(), millis(1)) == millis::max());
}

}  // namespace chiveglade
