#include <catch2/catch.hpp>

#include "src/app/commit_pacer.h"

namespace chiveglade::app {

namespace {

constexpr millis kInterval{15};
constexpr millis kPlayed{10'000};

struct totals {
  millis in_passes{0};
  int passes = 0;
};

// Plays an event loop that begins a pass as soon as it may.
totals Play(millis pass_time) {
  commit_pacer pacer(kInterval);
  totals out;
  boot_time now{millis(1'000'000)};
  const auto end = now + kPlayed;
  while (now < end) {
    const auto began = std::max(now, pacer.next());
    pacer.OnCommit(began);
    now = began + pass_time;
    pacer.OnPass(began, now);
    out.in_passes += pass_time;
    ++out.passes;
  }
  return out;
}

}  // namespace

TEST_CASE("a pass waits for overdue news, but not for good") {
  CHECK_FALSE(commit_pacer::Yields(millis(1'500)));
  CHECK(commit_pacer::Yields(millis(2'000)));
  CHECK(commit_pacer::Yields(millis(3'000)));
  CHECK_FALSE(commit_pacer::Yields(millis(4'500)));
}

TEST_CASE(
    "passes of an overloaded coordinator leave half of the time to reports") {
  for (const millis pass_time : {millis(20), millis(70), millis(400)}) {
    CAPTURE(pass_time.count());
    CHECK(Play(pass_time).in_passes <= kPlayed / 2 + pass_time);
  }
}

TEST_CASE("short passes follow each other at the interval of the settings") {
  CHECK(Play(millis(1)).passes >= kPlayed / kInterval);
}

TEST_CASE("a short pass without a commit delays the next one no longer") {
  commit_pacer pacer(kInterval);
  const boot_time now{millis(1'000'000)};
  pacer.OnPass(now, now + millis(1));
  CHECK(pacer.next() == now + millis(2));
}

TEST_CASE("a VM that was frozen during a pass places tasks soon after") {
  commit_pacer pacer(kInterval);
  const boot_time thawed{millis(1'000'000)};
  pacer.OnPass(thawed - millis(4'000), thawed);
  CHECK(pacer.next() <= thawed + millis(500));
}

}  // namespace chiveglade::app
