#include "tests/sched/cluster_fixture.h"

namespace chiveglade::sched {
namespace {

using state::attempt_end;
using state::attempt_granted;
using state::attempt_stopping;
using state::band;

}  // namespace

// Guards against options that would divide by zero or never start anything.
TEST_CASE("bad options are refused with a reason") {
  planner_options options;
  options.evacuation_share = 0;
  const auto made = planner::Make(options, [] { return 1; });
  REQUIRE_FALSE(made);
  CHECK(made.last_reason().code == "bad_options");
}

// Guards against plans that depend on anything but state, view and seed.
TEST_CASE("the same seed gives the same plans") {
  std::vector<plan> first;
  for (int run = 0; run < 2; ++run) {
    cluster_fixture c({}, 99);
    for (int i = 0; i < 20; ++i) {
      c.AddVm("vm" + std::to_string(i));
    }
    c.Submit(c.Job("j", band::kNormal, 30));
    c.Submit(c.Job("k", band::kUrgent, 30));
    for (int i = 0; i < 5; ++i) {
      const auto made = c.Step();
      if (run == 0) {
        first.push_back(made);
      } else {
        CHECK(made.events == first[static_cast<size_t>(i)].events);
      }
    }
  }
}

// Guards against starts on VMs that are drained, out of service or without a
// recent heartbeat.
TEST_CASE("nothing starts on drained, silent or out-of-service VMs") {
  cluster_fixture c;
  c.AddVm("drained");
  c.AddVm("silent");
  c.AddVm("departed", "dc2");
  c.Apply(state::vm_drained{"drained"});
  c.view.silent = {"silent"};
  c.view.data_centres["dc2"] = data_centre_phase::kOutOfService;
  c.Submit(c.Job("j"));
  const auto made = c.Step();
  CHECK(c.VmOf("j").empty());
  CHECK(made.why_pending.at("j") == "no_vm_in_service");
  c.view.silent.clear();
  c.Step();
  CHECK(c.VmOf("j") == "silent");
}

// Guards against placement that ignores the declared spread or data centres.
TEST_CASE("spread limits and allowed data centres are kept") {
  cluster_fixture c;
  for (int i = 0; i < 6; ++i) {
    c.AddVm("vm" + std::to_string(i), i < 4 ? "dc1" : "dc2",
            "r" + std::to_string(i / 2));
  }
  auto spec = c.Job("service:s", band::kService, 6);
  spec.max_per_vm = 1;
  spec.max_per_rack = 1;
  spec.data_centres = {"dc1"};
  c.Submit(spec);
  const auto made = c.Step();
  CHECK(c.EventsOf<attempt_granted>(made).size() == 2);
  CHECK(c.VmOf("service:s", 0)[2] / 2 != c.VmOf("service:s", 1)[2] / 2);
  CHECK(made.why_pending.at("service:s") == "spread_limit");
}

// Guards against a service whose replicas all share one failure domain.
TEST_CASE("replicas spread over racks and data centres without limits") {
  cluster_fixture c;
  for (int i = 0; i < 12; ++i) {
    c.AddVm("vm" + std::to_string(i), "dc" + std::to_string(i / 4),
            "r" + std::to_string(i / 2));
  }
  c.Submit(c.Job("service:s", band::kService, 6));
  c.Step();
  std::map<std::string, int> per_data_centre;
  std::set<std::string> racks;
  for (uint32_t i = 0; i < 6; ++i) {
    const auto* vm = c.state.FindVm(c.VmOf("service:s", i));
    ++per_data_centre[vm->data_centre];
    racks.insert(vm->data_centre + vm->rack);
  }
  CHECK(per_data_centre.size() == 3);
  CHECK(per_data_centre["dc0"] == 2);
  CHECK(racks.size() == 6);
}

// Guards against many tasks of one workspace delaying the few of another.
TEST_CASE("workspaces with a smaller share of their quota come first") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("a-flood", band::kNormal, 100));
  auto other = c.Job("z-few", band::kNormal, 2);
  other.tenant = "b";
  c.Submit(other);
  c.Step();
  CHECK(c.VmOf("z-few", 0) == "vm");
  CHECK(c.VmOf("z-few", 1) == "vm");
}

// Guards against exceeding a quota within one plan.
TEST_CASE("a workspace never holds more than its quota") {
  cluster_fixture c;
  c.manifest.tenants[0].quota = {9'000, 100'000, 0};
  c.policy->SetManifest(c.manifest);
  c.AddVm("vm");
  c.AddVm("vm2");
  c.Submit(c.Job("j", band::kNormal, 8));
  auto stranger = c.Job("s");
  stranger.tenant = "nobody";
  c.Submit(stranger);
  const auto made = c.Step();
  CHECK(c.state.usage().at("a").millicores == 8'000);
  CHECK(made.why_pending.at("j") == "quota");
  CHECK(made.why_pending.at("s") == "unknown_tenant");
}

// Guards against urgent work waiting for batch work, and against evicting more
// or costlier work than needed.
TEST_CASE("urgent work evicts the cheapest lower-band task and starts") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("normal", band::kNormal, 3));
  c.Submit(c.Job("idle", band::kIdle));
  c.Step();
  REQUIRE(c.VmOf("idle") == "vm");
  c.Submit(c.Job("urgent", band::kUrgent));
  const auto stops = c.EventsOf<attempt_stopping>(c.Step());
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].attempt.task.job == "idle");
  CHECK(stops[0].why == "preempted");
  c.Step();
  CHECK(c.VmOf("urgent") == "vm");
  CHECK(c.VmOf("idle").empty());
}

// Guards against evictions within a band, which would repeat for ever.
TEST_CASE("no band evicts its own or a higher one") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("urgent", band::kUrgent, 4));
  c.Step();
  c.Submit(c.Job("more", band::kUrgent));
  c.Submit(c.Job("normal", band::kNormal));
  CHECK(c.EventsOf<attempt_stopping>(c.Step()).empty());
}

// Guards against other tasks taking room that was freed for urgent work.
TEST_CASE("room freed by eviction is held for the task that needs it") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("idle", band::kIdle, 4));
  c.Step();
  c.Submit(c.Job("urgent", band::kUrgent, 1, {8'000, 8'000, 0}));
  CHECK(c.EventsOf<attempt_stopping>(c.PlanAndApply()).size() == 2);
  for (uint32_t i = 0; i < 4; ++i) {
    if (c.state.FindTask({"idle", i})->phase == state::task_phase::kStopping) {
      c.EndNow("idle", attempt_end::kStopped, i);
      break;
    }
  }
  c.Submit(c.Job("normal"));
  // Half of the held room is free now, and must not go to the smaller task.
  CHECK(c.EventsOf<attempt_granted>(c.PlanAndApply()).empty());
  c.Step();
  c.Step();
  CHECK(c.VmOf("urgent") == "vm");
}

// Guards against small tasks starving a large one.
TEST_CASE("a large task reserves a VM after 30 s and gets it") {
  cluster_fixture c;
  c.AddVm("vm1");
  c.AddVm("vm2");
  c.Submit(c.Job("small", band::kNormal, 200, {8'000, 1'000, 0}));
  c.Step();
  c.Submit(c.Job("large", band::kNormal, 1, {16'000, 1'000, 0}));
  uint32_t next = 0;
  int64_t waited = 0;
  for (; waited < 120'000 && c.VmOf("large").empty(); waited += 1'000) {
    // One small task ends each second, the oldest first.
    while (!state::HoldsVm(c.state.FindTask({"small", next})->phase)) {
      ++next;
    }
    c.EndNow("small", attempt_end::kFinished, next);
    c.Step(1'000);
  }
  CHECK(waited >= 30'000);
  CHECK(waited <= 40'000);
}

// Guards against jobs that wait for ever without telling why.
TEST_CASE("a job that fits no VM is parked, and released by a larger one") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("gpu", band::kNormal, 1, {1'000, 1'000, 2}));
  c.Step();
  CHECK(c.state.FindJob("gpu")->parked_reason.empty());
  c.Step(10'000);
  CHECK(c.state.FindJob("gpu")->parked_reason ==
        "no VM fits: accelerators 2 needed, largest VM has 0");
  c.AddVm("big", "dc1", "r1", {16'000, 60'000, 4});
  c.Step();
  c.Step();
  CHECK(c.VmOf("gpu") == "big");
}

// Guards against placement by declared demand when the class uses far more.
TEST_CASE("measured use above the declaration limits packing") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("j", band::kNormal, 8, {2'000, 1'000, 0}));
  c.Step();
  REQUIRE(c.state.FindVm("vm")->tasks.size() == 8);
  for (int i = 0; i < 5; ++i) {
    state::heartbeat heartbeat;
    heartbeat.vm = {"vm", 1};
    for (const auto& id : c.state.FindVm("vm")->tasks) {
      heartbeat.attempts.push_back(
          {.attempt = {id, 1}, .used = {4'000, 1'000, 0}});
    }
    c.policy->Observe(heartbeat, c.view.now);
    c.Step();
  }
  c.AddVm("new");
  c.Submit(c.Job("k", band::kNormal, 8, {2'000, 1'000, 0}));
  c.Step(1'000);
  const auto count = c.state.FindVm("new")->tasks.size();
  CHECK(count >= 3);
  CHECK(count <= 4);
}

// Guards against a crash caused by damaged hints in a snapshot.
TEST_CASE("hints survive a restart, and unreadable ones are ignored") {
  cluster_fixture c;
  c.AddVm("vm");
  c.Submit(c.Job("j"));
  c.Step();
  for (int i = 0; i < 30; ++i) {
    c.Report("vm", "none", 0);
    c.Step();
  }
  const auto saved = c.policy->SaveHints();
  CHECK(saved.find("\"batch\"") != std::string::npos);
  for (const std::string& bad :
       {std::string(), std::string("{"), std::string("[]"), std::string("null"),
        std::string(R"({"version":1,"pairs":[3,{"victim":1}],"classes":[],)"
                    R"("throttles":{"vm":7}})"),
        saved.substr(0, saved.size() / 2)}) {
    c.policy->LoadHints(bad);
    c.Step();
  }
  cluster_fixture other;
  other.policy->LoadHints(saved);
  other.Step();
  CHECK(other.policy->SaveHints() == saved);
}

}  // namespace chiveglade::sched
