#include <catch2/catch.hpp>

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

}  // namespace chiveglade
