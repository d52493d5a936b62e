// A small cluster for planner tests. Applies each plan to a real cluster_state,
// and simulates the agents that carry it out.
#ifndef CHIVEGLADE_TESTS_SCHED_CLUSTER_FIXTURE_H_
#define CHIVEGLADE_TESTS_SCHED_CLUSTER_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "chiveglade/sched/planner.h"

namespace chiveglade::sched {

class cluster_fixture {
 public:
  explicit cluster_fixture(planner_options options = {}, uint64_t seed = 7)
      : engine_(seed) {
    manifest.tenants = {{"a", {1'000'000, 10'000'000, 1'000}},
                        {"b", {1'000'000, 10'000'000, 1'000}}};
    manifest.classes = {
        {.name = "service", .latency_critical = true},
        {.name = "strict", .latency_critical = true, .slowdown_limit_pct = 110},
        {.name = "batch"}};
    policy = *planner::Make(options, [this] { return engine_(); });
    policy->SetManifest(manifest);
    view.now = boot_time(millis(1'000'000));
  }
  cluster_fixture(const cluster_fixture&) = delete;
  cluster_fixture& operator=(const cluster_fixture&) = delete;

  void Apply(const state::event& change) {
    const auto outcome = state.Apply(change);
    INFO((outcome ? std::string() : outcome.last_reason().detail));
    REQUIRE(outcome);
  }
  void AddVm(const std::string& name,
             const std::string& data_centre = "dc1",
             const std::string& rack = "r1",
             resources capacity = {16'000, 60'000, 0}) {
    Apply(state::vm_joined{{name, 1}, data_centre, rack, capacity});
  }
  static state::job_spec Job(const std::string& name,
                             state::band priority = state::band::kNormal,
                             uint32_t tasks = 1,
                             resources each = {4'000, 8'000, 0}) {
    state::job_spec spec;
    spec.name = name;
    spec.tenant = "a";
    spec.klass = priority == state::band::kService ? "service" : "batch";
    spec.priority = priority;
    spec.tasks = tasks;
    spec.per_task = each;
    spec.expected_run = millis(60'000);
    return spec;
  }
  void Submit(const state::job_spec& spec) {
    Apply(state::job_submitted{spec});
  }

  // Plans after `later_ms` and applies every event of the plan.
  plan PlanAndApply(int64_t later_ms = 100) {
    view.now += millis(later_ms);
    auto made = policy->Plan(state, view);
    for (const auto& change : made.events) {
      Apply(change);
    }
    return made;
  }
  // Plans, and completes all starts and stops at once.
  plan Step(int64_t later_ms = 100) {
    auto made = PlanAndApply(later_ms);
    for (const auto& [name, job] : state.jobs()) {
      for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        const state::attempt_id id{{name, i}, job.tasks[i].attempt};
        if (job.tasks[i].phase == state::task_phase::kStarting) {
          Apply(state::attempt_running{id});
        } else if (job.tasks[i].phase == state::task_phase::kStopping) {
          End(id, state::attempt_end::kStopped);
        }
      }
    }
    return made;
  }
  void End(const state::attempt_id& id, state::attempt_end how) {
    const auto vm = state.FindTask(id.task)->vm.name;
    state::attempt_ended end;
    end.attempt = id;
    end.how = how;
    policy->ObserveEnd(end, vm, state.FindJob(id.task.job)->spec, view.now);
    Apply(end);
  }
  void EndNow(const std::string& job, state::attempt_end how, uint32_t i = 0) {
    End({{job, i}, state.FindJob(job)->tasks[i].attempt}, how);
  }
  std::string VmOf(const std::string& job, uint32_t index = 0) const {
    const auto& task = state.FindJob(job)->tasks[index];
    return state::HoldsVm(task.phase) ? task.vm.name : "";
  }
  // Sends a heartbeat of the VM in which the job's tasks report this slowdown.
  void Report(const std::string& vm,
              const std::string& job,
              uint32_t slowdown_pct) {
    state::heartbeat heartbeat;
    heartbeat.vm = state.FindVm(vm)->id;
    for (const auto& id : state.FindVm(vm)->tasks) {
      const auto& task = *state.FindTask(id);
      heartbeat.attempts.push_back(
          {.attempt = {id, task.attempt},
           .used = state.FindJob(id.job)->spec.per_task,
           .slowdown_pct = id.job == job ? slowdown_pct : 0});
    }
    policy->Observe(heartbeat, view.now);
  }
  template <typename Event>
  static std::vector<Event> EventsOf(const plan& made) {
    std::vector<Event> found;
    for (const auto& change : made.events) {
      if (const auto* one = std::get_if<Event>(&change)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  config::manifest manifest;
  state::cluster_state state;
  cluster_view view;
  std::unique_ptr<planner> policy;

 private:
  random_engine engine_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_TESTS_SCHED_CLUSTER_FIXTURE_H_
