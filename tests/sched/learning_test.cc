#include "tests/sched/cluster_fixture.h"

namespace chiveglade::sched {
namespace {

using state::attempt_end;
using state::attempt_stopping;
using state::band;
using state::vm_quarantined;

// Reports a slowdown of the service each second, and returns the throttle
// orders that follow.
std::vector<state::throttle_order> ReportSlowdowns(cluster_fixture& c,
                                                   uint32_t percent,
                                                   int seconds) {
  std::vector<state::throttle_order> orders;
  for (int i = 0; i < seconds; ++i) {
    c.Report("vm", "service:s", percent);
    const auto made = c.Step(1'000);
    orders.insert(orders.end(), made.throttles.begin(), made.throttles.end());
  }
  return orders;
}

void ServiceBesideBatch(cluster_fixture& c) {
  c.AddVm("vm");
  c.Submit(c.Job("service:s", band::kService));
  c.Step();
  c.Submit(c.Job("batch"));
  c.Step();
  REQUIRE(c.VmOf("batch") == "vm");
}

// Fails five attempts of three jobs on the VM "bad". If `elsewhere`, the same
// jobs each finish a task on the VM "good".
void FailAttemptsOnBad(cluster_fixture& c, bool elsewhere) {
  c.AddVm("bad");
  for (int i = 0; i < 3; ++i) {
    c.Submit(
        c.Job("j" + std::to_string(i), band::kNormal, 4, {1'000, 1'000, 0}));
  }
  c.Step();
  c.Step(1'200);
  for (int i = 0; i < 5; ++i) {
    const auto name = "j" + std::to_string(i % 3);
    uint32_t index = 0;
    while (c.VmOf(name, index) != "bad") {
      ++index;
    }
    c.EndNow(name, attempt_end::kFailed, index);
  }
  c.AddVm("good");
  c.Step(2'000);
  c.Step(2'000);
  for (int i = 0; elsewhere && i < 3; ++i) {
    const auto name = "j" + std::to_string(i);
    for (uint32_t index = 0; index < 4; ++index) {
      if (c.VmOf(name, index) == "good") {
        c.EndNow(name, attempt_end::kFinished, index);
        break;
      }
    }
  }
}

}  // namespace

// Guards against acting on fewer than three consecutive reports, and against
// eviction where throttling is enough.
TEST_CASE("a slowed service throttles its neighbour in steps") {
  cluster_fixture c;
  ServiceBesideBatch(c);
  CHECK(ReportSlowdowns(c, 150, 2).empty());
  CHECK(ReportSlowdowns(c, 100, 1).empty());
  auto orders = ReportSlowdowns(c, 150, 3);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].attempt.task.job == "batch");
  CHECK(orders[0].percent == 50);
  orders = ReportSlowdowns(c, 150, 6);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].percent == 25);
  CHECK(c.VmOf("batch") == "vm");
}

// Guards against throttles that outlast the slowdown.
TEST_CASE("throttles are released after ten seconds below the threshold") {
  cluster_fixture c;
  ServiceBesideBatch(c);
  ReportSlowdowns(c, 150, 3);
  for (const auto& order : ReportSlowdowns(c, 100, 9)) {
    CHECK(order.percent == 50);
  }
  const auto orders = ReportSlowdowns(c, 100, 4);
  REQUIRE_FALSE(orders.empty());
  CHECK(orders.back().percent == 100);
}

// Guards against a neighbour that slows a service indefinitely, and against an
// eviction that loses more work than it gains.
TEST_CASE(
    "a throttled neighbour is evicted only if the gain outweighs the loss") {
  for (const bool costly : {false, true}) {
    cluster_fixture c;
    ServiceBesideBatch(c);
    size_t evicted = 0;
    for (int i = 0; i < 40; ++i) {
      state::heartbeat heartbeat;
      heartbeat.vm = {"vm", 1};
      for (const auto& id : c.state.FindVm("vm")->tasks) {
        const bool service = id.job == "service:s";
        heartbeat.attempts.push_back(
            {.attempt = {id, c.state.FindTask(id)->attempt},
             .used = {},
             .work_done = millis(costly && !service ? 100'000'000 : 0),
             .slowdown_pct = service ? 300U : 0U});
      }
      c.policy->Observe(heartbeat, c.view.now);
      for (const auto& stop : c.EventsOf<attempt_stopping>(c.Step(1'000))) {
        CHECK(stop.why == "interference");
        CHECK(i >= 15);
        ++evicted;
      }
    }
    CHECK((evicted > 0) == !costly);
  }
}

// Guards against repeating a placement that measurements have shown to slow a
// service.
TEST_CASE("a class known to slow a service is placed elsewhere") {
  cluster_fixture c;
  ServiceBesideBatch(c);
  ReportSlowdowns(c, 180, 8);
  c.AddVm("other");
  c.Submit(c.Job("more", band::kNormal, 2));
  c.Step(1'000);
  CHECK(c.VmOf("more", 0) == "other");
  CHECK(c.VmOf("more", 1) == "other");
}

// Guards against trying several unknown classes beside one service, and any
// beside a strict one.
TEST_CASE(
    "unknown pairs are tried one at a time, never beside a strict service") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("service:s", band::kService));
  c.Step();
  c.Submit(c.Job("batch", band::kNormal, 3, {1'000, 1'000, 0}));
  auto made = c.Step();
  CHECK(c.state.FindVm("vm")->tasks.size() == 2);
  CHECK(made.why_pending.at("batch") == "interference");
  cluster_fixture d;
  d.AddVm("vm");
  auto strict = d.Job("service:s", band::kService);
  strict.klass = "strict";
  d.Submit(strict);
  d.Step();
  d.Submit(d.Job("batch"));
  CHECK(d.Step().why_pending.at("batch") == "interference");
  CHECK(d.VmOf("batch").empty());
}

// Guards against a VM that keeps receiving tasks although all of them fail
// there.
TEST_CASE(
    "a VM that fails tasks that succeed elsewhere is quarantined and probed") {
  cluster_fixture c;
  FailAttemptsOnBad(c, true);
  const auto events = c.EventsOf<vm_quarantined>(c.Step());
  REQUIRE(events.size() == 1);
  CHECK(events[0] == vm_quarantined{"bad", true, 0});
  c.Submit(c.Job("probe", band::kNormal, 20));
  c.Step(1'000);
  const auto held = c.state.FindVm("bad")->tasks.size();
  c.Step(50'000);
  CHECK(c.state.FindVm("bad")->tasks.size() == held);
  for (const auto& id : std::set(c.state.FindVm("bad")->tasks)) {
    c.EndNow(id.job, attempt_end::kStopped, id.index);
  }
  const auto probes = c.EventsOf<vm_quarantined>(c.Step(10'000));
  REQUIRE(probes.size() == 1);
  CHECK(probes[0].probes == 1);
  REQUIRE(c.state.FindVm("bad")->tasks.size() == 1);
  const auto id = *c.state.FindVm("bad")->tasks.begin();
  c.EndNow(id.job, attempt_end::kFinished, id.index);
  c.Step();
  CHECK_FALSE(c.state.quarantined().contains("bad"));
}

// Guards against quarantining a VM because of jobs that fail everywhere.
TEST_CASE("jobs that succeed nowhere quarantine no VM") {
  cluster_fixture c;
  FailAttemptsOnBad(c, false);
  CHECK(c.EventsOf<vm_quarantined>(c.Step()).empty());
}

// Guards against a task using up all its attempts on one faulty VM.
TEST_CASE("a failed task is tried on another VM") {
  cluster_fixture c;
  c.AddVm("vm1");
  c.AddVm("vm2");
  c.Submit(c.Job("j"));
  std::set<std::string> tried;
  for (int i = 0; i < 2; ++i) {
    c.Step();
    tried.insert(c.VmOf("j"));
    c.EndNow("j", attempt_end::kFailed);
  }
  CHECK(tried == std::set<std::string>{"vm1", "vm2"});
  // The task has failed on every VM, and must start again nevertheless.
  c.Step();
  CHECK_FALSE(c.VmOf("j").empty());
}

}  // namespace chiveglade::sched
