#include "chiveglade/routing/outcome.h"

#include <catch2/catch.hpp>

#include "chiveglade/routing/retry_budget.h"

namespace chiveglade::routing {

// Checks each row of the verdict table (design, 4.6): after a wrong not_run,
// callers would run a request twice.
TEST_CASE("each try end maps to its row of the verdict table") {
  struct row {
    try_end end;
    bool idempotent;
    outcome expected;
  };
  const row rows[] = {
      {try_end::kEntryRefused, true, {verdict::kNotRun, false, false}},
      {try_end::kEntryRefused, false, {verdict::kNotRun, false, false}},
      {try_end::kConnectFailed, false, {verdict::kNotRun, true, false}},
      {try_end::kAgentRefused, false, {verdict::kNotRun, true, false}},
      {try_end::kStreamRefused, false, {verdict::kNotRun, true, false}},
      {try_end::kOutcomeUnknown, false, {verdict::kMayHaveRun, false, false}},
      {try_end::kOutcomeUnknown, true, {verdict::kMayHaveRun, true, false}},
      {try_end::kResponseTruncated, true, {verdict::kMayHaveRun, false, true}},
      {try_end::kResponseTruncated, false, {verdict::kMayHaveRun, false, true}},
      {try_end::kResponseComplete, false, {verdict::kRan, false, false}},
  };
  for (const auto& each : rows) {
    CAPTURE(static_cast<int>(each.end), each.idempotent);
    CHECK(ClassifyTry(each.end, each.idempotent) == each.expected);
  }
}

// Guards against retries that multiply the load during an outage, and against a
// budget that allows no retries at low traffic.
TEST_CASE("retries are limited to a share of requests with a minimum rate") {
  boot_time now{millis(1'000'000)};
  retry_budget budget([&] { return now; });
  int taken = 0;
  while (budget.TryRetry()) {
    ++taken;
  }
  CHECK(taken == 30);  // 3 a second over the window of 10 s
  now += millis(10'000);
  for (int i = 0; i < 1'000; ++i) {
    budget.OnRequest();
  }
  taken = 0;
  while (budget.TryRetry()) {
    ++taken;
  }
  CHECK(taken == 200);
  now += millis(9'000);
  CHECK_FALSE(budget.TryRetry());
  now += millis(1'000);
  CHECK(budget.TryRetry());
}

}  // namespace chiveglade::routing
