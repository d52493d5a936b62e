#include <rapidcheck.h>

#include "tests/sched/cluster_fixture.h"

namespace chiveglade::sched {
namespace {

using state::band;

// Generates a random cluster, jobs, ends of attempts, operators' actions and
// reports from a seed.
class random_cluster {
 public:
  explicit random_cluster(uint64_t seed) : c_({}, seed), random_(seed) {
    for (uint64_t i = 0, count = 2 + RandomBelow(12); i < count; ++i) {
      JoinVm("vm" + std::to_string(i), 1);
    }
    for (auto& tenant : c_.manifest.tenants) {
      tenant.quota = {static_cast<int64_t>(RandomBelow(100'000)),
                      static_cast<int64_t>(RandomBelow(400'000)), 8};
    }
    c_.policy->SetManifest(c_.manifest);
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      ChangeCluster();
      Plan();
    }
  }

 private:
  uint64_t RandomBelow(uint64_t limit) { return random_() % limit; }
  std::string RandomDataCentre() {
    return "dc" + std::to_string(RandomBelow(3));
  }

  void JoinVm(const std::string& name, uint64_t incarnation) {
    c_.Apply(state::vm_joined{{name, incarnation},
                              "dc" + std::to_string(name.back() % 3),
                              "r" + std::to_string(name.back() % 4),
                              {16'000, 60'000, name.back() % 3 ? 0 : 4}});
  }
  void Submit() {
    auto spec = cluster_fixture::Job(
        "j" + std::to_string(jobs_++), static_cast<band>(RandomBelow(4)),
        1 + static_cast<uint32_t>(RandomBelow(8)),
        {static_cast<int64_t>(100 + RandomBelow(9'000)),
         static_cast<int64_t>(100 + RandomBelow(30'000)),
         RandomBelow(5) ? 0 : static_cast<int64_t>(RandomBelow(6))});
    spec.tenant = RandomBelow(8) ? (RandomBelow(2) ? "a" : "b") : "unknown";
    spec.klass = RandomBelow(3) ? spec.klass : "strict";
    spec.max_per_vm = static_cast<uint32_t>(RandomBelow(3));
    spec.max_per_rack = static_cast<uint32_t>(RandomBelow(3));
    if (RandomBelow(4) == 0) {
      spec.data_centres = {RandomDataCentre()};
    }
    c_.Submit(spec);
  }
  void RandomOperatorAction() {
    const auto vm = "vm" + std::to_string(RandomBelow(8));
    switch (RandomBelow(6)) {
      case 3:
        c_.Apply(state::vm_quarantined{vm, RandomBelow(3) > 0, 0});
        break;
      case 0:
        c_.Apply(state::vm_drained{vm, RandomBelow(2) == 0});
        break;
      case 1:
        c_.view.silent = {vm};
        break;
      case 2:
        c_.view.silent.clear();
        break;
      default: {
        const auto data_centre = RandomDataCentre();
        c_.view.data_centres[data_centre] =
            static_cast<data_centre_phase>(RandomBelow(3));
        c_.view.returned_at[data_centre] = c_.view.now;
      }
    }
  }
  // Simulates agents: starts, ends, and reports with random measurements.
  void SimulateAgents() {
    for (const auto& [name, vm] : std::map(c_.state.vms())) {
      state::heartbeat heartbeat;
      heartbeat.vm = vm.id;
      for (const auto& id : vm.tasks) {
        const auto* task = c_.state.FindTask(id);
        const state::attempt_id attempt{id, task->attempt};
        heartbeat.attempts.push_back(
            {.attempt = attempt,
             .used = {static_cast<int64_t>(RandomBelow(20'000)),
                      static_cast<int64_t>(RandomBelow(40'000)), 0},
             .work_done = millis(static_cast<int64_t>(RandomBelow(100'000))),
             .slowdown_pct = static_cast<uint32_t>(RandomBelow(300))});
        if (task->phase == state::task_phase::kStarting && RandomBelow(2)) {
          c_.Apply(state::attempt_running{attempt});
        } else if (RandomBelow(6) == 0) {
          c_.End(attempt, static_cast<state::attempt_end>(RandomBelow(5)));
        }
      }
      c_.policy->Observe(heartbeat, c_.view.now);
    }
  }
  void ChangeCluster() {
    for (uint64_t i = RandomBelow(4); i > 0; --i) {
      Submit();
    }
    if (RandomBelow(3) == 0) {
      RandomOperatorAction();
    }
    if (jobs_ > 0 && RandomBelow(6) == 0) {
      const auto job = "j" + std::to_string(RandomBelow(jobs_));
      c_.Apply(state::job_cancelled{job});
    }
    SimulateAgents();
    if (RandomBelow(10) == 0) {
      RejoinFirstVm();
    }
  }
  void RejoinFirstVm() {
    const auto vm = c_.state.vms().begin()->second;
    for (const auto& id : vm.tasks) {
      c_.End({id, c_.state.FindTask(id)->attempt}, state::attempt_end::kLost);
    }
    JoinVm(vm.id.name, vm.id.incarnation + 1);
  }

  void Plan() {
    c_.view.now += millis(static_cast<int64_t>(RandomBelow(30'000)));
    const auto made = c_.policy->Plan(c_.state, c_.view);
    for (const auto& change : made.events) {
      const auto outcome = c_.state.Apply(change);
      RC_ASSERT(outcome.has_value());
      if (const auto* grant = std::get_if<state::attempt_granted>(&change)) {
        CheckGrant(*grant);
      }
    }
  }
  void CheckGrant(const state::attempt_granted& grant) {
    const auto& vm = *c_.state.FindVm(grant.vm.name);
    const auto& spec = c_.state.FindJob(grant.attempt.task.job)->spec;
    RC_ASSERT(FitsWithin(vm.committed, vm.capacity));
    const auto data_centre = c_.view.data_centres.find(vm.data_centre);
    RC_ASSERT(data_centre == c_.view.data_centres.end() ||
              data_centre->second != data_centre_phase::kOutOfService);
    RC_ASSERT(!c_.view.silent.contains(vm.id.name));
    RC_ASSERT(!c_.state.drained().contains(vm.id.name));
    RC_ASSERT(!c_.state.quarantined().contains(vm.id.name) ||
              spec.priority >= band::kNormal);
    RC_ASSERT(spec.tenant != "unknown");
    const auto& quota = c_.manifest.tenants[spec.tenant == "a" ? 0 : 1].quota;
    RC_ASSERT(FitsWithin(c_.state.usage().at(spec.tenant), quota));
    size_t on_vm = 0;
    size_t in_rack = 0;
    for (const auto& task : c_.state.FindJob(spec.name)->tasks) {
      if (state::HoldsVm(task.phase)) {
        const auto& other = *c_.state.FindVm(task.vm.name);
        on_vm += task.vm.name == vm.id.name ? 1 : 0;
        in_rack += other.rack == vm.rack && other.data_centre == vm.data_centre
                       ? 1
                       : 0;
      }
    }
    RC_ASSERT(spec.max_per_vm == 0 || on_vm <= spec.max_per_vm);
    RC_ASSERT(spec.max_per_rack == 0 || in_rack <= spec.max_per_rack);
  }

  cluster_fixture c_;
  random_engine random_;
  uint64_t jobs_ = 0;
};

}  // namespace

// Guards against plans that the durable state refuses, and against grants that
// exceed capacity, quota or spread limits, or on VMs where nothing may start.
TEST_CASE("any plan is accepted and keeps every limit") {
  CHECK(rc::check([](uint64_t seed) {
    random_cluster cluster(seed);
    cluster.Run(40);
  }));
}

}  // namespace chiveglade::sched
