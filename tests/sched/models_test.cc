#include <catch2/catch.hpp>

#include "src/sched/demand_model.h"
#include "src/sched/interference_model.h"
#include "src/sched/quota.h"
#include "src/sched/start_pacer.h"

namespace chiveglade::sched {
namespace {

boot_time At(int64_t ms) {
  return boot_time(millis(ms));
}

}  // namespace

// Guards against checking quotas against the durable state alone, so that one
// plan grants the same share twice.
TEST_CASE("a quota counts what the plan has added") {
  config::manifest manifest;
  manifest.tenants = {{"a", {4000, 100, 1}}};
  quota quotas;
  quotas.SetManifest(manifest);
  const std::map<std::string, resources> usage = {{"a", {1000, 10, 0}}};
  quotas.BeginPlan(usage);
  CHECK(quotas.Allows("a", {3000, 90, 1}));
  CHECK_FALSE(quotas.Allows("a", {1000, 10, 2}));
  CHECK_FALSE(quotas.Allows("unknown", {1, 1, 0}));
  quotas.Add("a", {2500, 10, 0});
  CHECK_FALSE(quotas.Allows("a", {1000, 10, 0}));
  CHECK(quotas.DominantShare("a") == Approx(0.875));
  quotas.BeginPlan(usage);
  CHECK(quotas.Allows("a", {3000, 90, 1}));
}

// Guards against a burst of starts across the boundary of two counting
// intervals.
TEST_CASE("no window of one second has more starts than the limit") {
  start_pacer pacer(400, 8);
  std::vector<int64_t> starts;
  for (int64_t ms = 0; ms < 5000; ms += 7) {
    while (pacer.Allows(At(ms))) {
      pacer.RecordStart("vm", At(ms));
      starts.push_back(ms);
    }
  }
  REQUIRE(starts.size() > 1500);
  for (size_t i = 400; i < starts.size(); ++i) {
    REQUIRE(starts[i] - starts[i - 400] >= 1000);
  }
}

// Guards against a burst of starts on a single VM.
TEST_CASE("one VM starts at most its own limit in a second") {
  start_pacer pacer(400, 8);
  for (int i = 0; i < 8; ++i) {
    REQUIRE(pacer.AllowsOn("vm", At(50)));
    pacer.RecordStart("vm", At(50));
  }
  CHECK_FALSE(pacer.AllowsOn("vm", At(999)));
  CHECK(pacer.AllowsOn("other", At(999)));
  CHECK(pacer.AllowsOn("vm", At(1200)));
}

// Guards against placement by declared demands that are far too small.
TEST_CASE("expected demand is the larger of declared and 90th percentile") {
  demand_model demand;
  const resources declared{1000, 100, 1};
  const resources capacity{16000, 180, 4};
  for (int i = 0; i < 100; ++i) {
    demand.ObserveUsage(0, declared,
                        {i < 80 ? 500 : 3000, i < 80 ? 50 : 400, 1});
  }
  const auto expected = demand.ExpectedDemand(0, declared, capacity);
  CHECK(expected.millicores >= 2900);
  CHECK(expected.millicores <= 3400);
  CHECK(expected.memory_mib == 180);
  CHECK(expected.accelerators == 1);
  // Never less than declared, since admission uses declared demands.
  for (int i = 0; i < 8000; ++i) {
    demand.ObserveUsage(0, declared, {10, 10, 0});
  }
  CHECK(demand.ExpectedDemand(0, declared, capacity) == declared);
}

// Guards against correcting demands by only a few reports.
TEST_CASE("few reports don't change the demand") {
  demand_model demand;
  const resources declared{1000, 100, 0};
  for (int i = 0; i < 5; ++i) {
    demand.ObserveUsage(0, declared, {9000, 900, 0});
  }
  CHECK(demand.ExpectedDemand(0, declared, {16000, 1000, 0}) == declared);
}

// Guards against relying on wrongly declared run times.
TEST_CASE("run times are corrected by what was measured") {
  demand_model demand;
  for (int i = 0; i < 50; ++i) {
    demand.ObserveRunTime(0, millis(1000), millis(4000));
  }
  CHECK(demand.ExpectedRunTime(0, millis(500)).count() ==
        Approx(2000).margin(50));
  CHECK(demand.ExpectedRunTime(0, millis(0)) == millis(0));
}

// Guards against attributing a slowdown to the wrong neighbour.
TEST_CASE("interference is learned per ordered pair") {
  interference_model model;
  const class_index service = 0;
  const class_index heavy = 1;
  const class_index light = 2;
  CHECK_FALSE(model.Known(service, heavy));
  CHECK(model.Effect(service, heavy) == Approx(interference_model::kPrior));
  for (int i = 0; i < 300; ++i) {
    const neighbour_count mixes[3][2] = {{{heavy, 1}, {light, 0}},
                                         {{heavy, 0}, {light, 2}},
                                         {{heavy, 1}, {light, 1}}};
    const double slow[3] = {1.3, 1.02, 1.31};
    model.Observe(service, mixes[i % 3], slow[i % 3], At(i));
  }
  CHECK(model.Known(service, heavy));
  CHECK(model.Effect(service, heavy) == Approx(0.3).margin(0.03));
  CHECK(model.Effect(service, light) == Approx(0.01).margin(0.02));
  // The other direction was not measured.
  CHECK_FALSE(model.Known(heavy, service));
}

// Guards against acting indefinitely on outdated measurements.
TEST_CASE("confidence decays and the estimate returns to the prior") {
  interference_model model;
  const neighbour_count one[1] = {{1, 1}};
  for (int i = 0; i < 100; ++i) {
    model.Observe(0, one, 1.5, At(i));
  }
  CHECK(model.Effect(0, 1) > 0.4);
  const auto next_day = At(24 * 3'600'000LL);
  model.DecayConfidence(next_day);
  CHECK_FALSE(model.Known(0, 1));
  CHECK(model.Effect(0, 1) == Approx(interference_model::kPrior).margin(0.01));
}

}  // namespace chiveglade::sched
