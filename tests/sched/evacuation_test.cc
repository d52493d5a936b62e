#include "tests/sched/cluster_fixture.h"

namespace chiveglade::sched {
namespace {

using state::attempt_granted;
using state::attempt_stopping;
using state::band;

size_t CountStopping(const cluster_fixture& c) {
  size_t count = 0;
  for (const auto& [name, job] : c.state.jobs()) {
    for (const auto& task : job.tasks) {
      count += task.phase == state::task_phase::kStopping ? 1 : 0;
    }
  }
  return count;
}

size_t AttemptsIn(const cluster_fixture& c, const std::string& data_centre) {
  size_t count = 0;
  for (const auto& [name, vm] : c.state.vms()) {
    count += vm.data_centre == data_centre ? vm.tasks.size() : 0;
  }
  return count;
}

// Adds two data centres of eight VMs, `batch` batch tasks and a service with
// four replicas.
void FillDataCentres(cluster_fixture& c, uint32_t batch) {
  for (int i = 0; i < 16; ++i) {
    c.AddVm("vm" + std::to_string(i), i < 8 ? "dc1" : "dc2",
            "r" + std::to_string(i / 2));
  }
  auto service = c.Job("service:s", band::kService, 4, {4'000, 4'000, 0});
  service.max_per_vm = 1;
  c.Submit(service);
  c.Submit(c.Job("batch", band::kNormal, batch, {1'000, 1'000, 0}));
  for (int i = 0; i < 60; ++i) {
    c.Step();
  }
}

}  // namespace

// Guards against an evacuation that stops all attempts at once.
TEST_CASE("an evacuation stops batch work at a limited rate") {
  cluster_fixture c;
  FillDataCentres(c, 120);
  const auto before = AttemptsIn(c, "dc1");
  REQUIRE(before > 50);
  c.view.data_centres["dc1"] = data_centre_phase::kOutOfService;
  c.PlanAndApply();
  CHECK(CountStopping(c) == (before + 9) / 10);
  // No further stops while these are in progress.
  c.PlanAndApply();
  CHECK(CountStopping(c) == (before + 9) / 10);
}

// Guards against stopping replicas before batch work, several at a time, or
// without a replacement.
TEST_CASE(
    "replicas are evacuated last, one at a time, once room is held elsewhere") {
  cluster_fixture c;
  FillDataCentres(c, 60);
  c.view.data_centres["dc1"] = data_centre_phase::kOutOfService;
  size_t least = 4;
  bool batch_left = true;
  for (int i = 0; i < 200 && AttemptsIn(c, "dc1") > 0; ++i) {
    const auto stops = c.EventsOf<attempt_stopping>(c.PlanAndApply());
    for (const auto& stop : stops) {
      if (stop.attempt.task.job == "service:s") {
        CHECK_FALSE(batch_left);
        CHECK(stop.why == "data_centre_out");
      }
    }
    size_t running = 0;
    for (const auto& task : c.state.FindJob("service:s")->tasks) {
      running += task.phase == state::task_phase::kRunning ? 1 : 0;
    }
    least = std::min(least, running);
    c.Step();
    batch_left = false;
    for (const auto& task : c.state.FindJob("batch")->tasks) {
      batch_left |= state::HoldsVm(task.phase) &&
                    c.state.FindVm(task.vm.name)->data_centre == "dc1";
    }
  }
  c.Step();
  CHECK(AttemptsIn(c, "dc1") == 0);
  CHECK(least == 3);
  CHECK(AttemptsIn(c, "dc2") == 64);
}

// Guards against an evacuation that waits for ever for a service that fits
// nowhere else.
TEST_CASE("a replica without room elsewhere is stopped after a timeout") {
  cluster_fixture c;
  c.AddVm("vm1", "dc1");
  auto service = c.Job("service:s", band::kService, 1);
  service.data_centres = {"dc1"};
  c.Submit(service);
  c.Step();
  c.view.data_centres["dc1"] = data_centre_phase::kOutOfService;
  CHECK(c.EventsOf<attempt_stopping>(c.Step()).empty());
  CHECK(c.EventsOf<attempt_stopping>(c.Step(10'000)).size() == 1);
  c.Step();
  CHECK(c.VmOf("service:s").empty());
}

// Guards against a drained VM whose attempts are never stopped.
TEST_CASE("a drained VM is evacuated") {
  cluster_fixture c;
  c.AddVm("vm1");
  c.Submit(c.Job("j", band::kNormal, 4));
  c.Step();
  c.AddVm("vm2");
  c.Apply(state::vm_drained{"vm1"});
  const auto stops = c.EventsOf<attempt_stopping>(c.Step());
  REQUIRE(stops.size() == 4);
  CHECK(stops[0].why == "drained");
  c.Step();
  CHECK(c.state.FindVm("vm2")->tasks.size() == 4);
}

// Guards against a burst of starts in a data centre that has just returned to
// service.
TEST_CASE("starts in a returning data centre ramp up over a minute") {
  cluster_fixture c;
  for (int i = 0; i < 10; ++i) {
    c.AddVm("vm" + std::to_string(i));
  }
  c.view.data_centres["dc1"] = data_centre_phase::kReturning;
  c.view.returned_at["dc1"] = c.view.now;
  c.Submit(c.Job("j", band::kNormal, 160, {1'000, 1'000, 0}));
  c.Step();
  CHECK(AttemptsIn(c, "dc1") == 8);
  for (int i = 0; i < 30; ++i) {
    c.Step(1'000);
  }
  CHECK(AttemptsIn(c, "dc1") > 70);
  CHECK(AttemptsIn(c, "dc1") < 100);
  for (int i = 0; i < 32; ++i) {
    c.Step(1'000);
  }
  CHECK(AttemptsIn(c, "dc1") == 160);
}

// Guards against a burst of starts on one VM, as after many cancellations.
TEST_CASE("the rate of starts is limited overall and on each VM") {
  cluster_fixture c;
  c.AddVm("vm1", "dc1", "r1", {1'000'000, 1'000'000, 0});
  for (int i = 0; i < 100; ++i) {
    c.AddVm("w" + std::to_string(i), "dc1", "r1", {100'000, 100'000, 0});
  }
  c.Submit(c.Job("j", band::kNormal, 900, {1'000, 1'000, 0}));
  size_t started = 0;
  for (int i = 0; i < 10; ++i) {
    started += c.EventsOf<attempt_granted>(c.Step()).size();
  }
  CHECK(started == 400);
  for (const auto& [name, vm] : c.state.vms()) {
    CHECK(vm.tasks.size() <= 8);
  }
}

}  // namespace chiveglade::sched
