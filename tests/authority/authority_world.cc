#include "tests/authority/authority_world.h"

#include <catch2/catch.hpp>

namespace chiveglade::testing {

namespace {

bool CanPlaceOn(const state::vm& host,
                const state::job& owner,
                const sched::cluster_view& view) {
  const auto phase = view.data_centres.find(host.data_centre);
  return !view.silent.contains(host.id.name) &&
         (phase == view.data_centres.end() ||
          phase->second != sched::data_centre_phase::kOutOfService) &&
         FitsWithin(owner.spec.per_task, host.capacity - host.committed);
}

}  // namespace

sched::plan FirstFit(const state::cluster_state& at,
                     const sched::cluster_view& view) {
  sched::plan out;
  state::cluster_state tried = at;
  for (const auto& [name, host] : at.vms()) {
    const auto phase = view.data_centres.find(host.data_centre);
    if (phase == view.data_centres.end() ||
        phase->second != sched::data_centre_phase::kOutOfService) {
      continue;
    }
    for (const auto& id : host.tasks) {
      const state::task& task = *at.FindTask(id);
      if (task.phase != state::task_phase::kStopping) {
        out.events.push_back(
            state::attempt_stopping{{id, task.attempt}, "data_centre_out"});
      }
    }
  }
  for (const auto& [job, indices] : at.pending()) {
    for (const uint32_t index : indices) {
      for (const auto& [name, host] : tried.vms()) {
        if (!CanPlaceOn(host, *at.FindJob(job), view)) {
          continue;
        }
        const state::task_id id{job, index};
        const state::attempt_granted grant{{id, at.FindTask(id)->attempt + 1},
                                           host.id};
        if (tried.Apply(grant)) {
          out.events.push_back(grant);
        }
        break;
      }
    }
  }
  return out;
}

authority::scheduler& authority_world::AddEntry(const std::string& name) {
  auto chosen = options;
  chosen.name = name;
  chosen.address = name + ":1";
  authority::planner_hooks planner;
  planner.plan = FirstFit;
  auto made = authority::scheduler::Make(
      chosen, store.table(), store.objects(), planner, [this] { return now; },
      [this] { return random_(); });
  REQUIRE(made);
  auto& at = entries_[name] = *std::move(made);
  if (manifest_version != 0) {
    at->SetManifest(manifest_version, manifest);
  }
  return *at;
}

authority::scheduler* authority_world::holder() {
  for (const auto& [name, at] : entries_) {
    if (at->holds_role() && !paused_.contains(name)) {
      return at.get();
    }
  }
  return nullptr;
}

void authority_world::AdvanceBy(millis time) {
  for (const boot_time end = now + time; now < end;) {
    now += millis(50);
    for (const auto& [name, at] : entries_) {
      if (!paused_.contains(name)) {
        at->Tick();
      }
    }
  }
}

bool authority_world::AdvanceUntilRoleHeld() {
  for (const boot_time end = now + millis(10'000); now < end;) {
    AdvanceBy(millis(50));
    if (holder()) {
      return true;
    }
  }
  return false;
}

state::heartbeat authority_world::MakeHeartbeat(test_vm& vm) const {
  state::heartbeat out;
  out.vm = vm.id;
  out.data_centre = vm.data_centre;
  out.rack = "r";
  out.address = "127.0.0.1:9";
  out.capacity = {4'000, 4'000, 0};
  out.sequence = ++vm.sequence;
  out.tick =
      vm.tick_offset +
      static_cast<int64_t>(static_cast<double>(now.time_since_epoch().count()) *
                           vm.clock_rate);
  out.answered_epoch = vm.answered_epoch;
  out.answered_tick = vm.answered_tick;
  for (const auto& attempt : vm.running) {
    out.attempts.push_back({attempt, {}, millis(0), 100});
  }
  for (const auto& [attempt, end] : vm.ends) {
    out.ends.push_back({end});
  }
  return out;
}

void authority_world::ExecuteAnswer(test_vm& vm,
                                    const state::heartbeat& sent,
                                    const state::heartbeat_answer& answer) {
  if (answer.epoch == 0 || answer.epoch < vm.answered_epoch) {
    return;
  }
  vm.answered_epoch = answer.epoch;
  vm.answered_tick = sent.tick;
  for (const auto& order : answer.starts) {
    vm.running.insert(order.attempt);
  }
  for (const auto& order : answer.stops) {
    if (vm.running.erase(order.attempt)) {
      vm.ends[order.attempt] = {order.attempt, state::attempt_end::kStopped,
                                "checkpoint", millis(1), ""};
    }
  }
  for (const auto& attempt : answer.unknown) {
    vm.running.erase(attempt);
  }
  for (const auto& attempt : answer.acknowledged) {
    vm.ends.erase(attempt);
  }
}

state::heartbeat_answer authority_world::SendHeartbeat(
    test_vm& vm,
    authority::scheduler& to) {
  const auto message = MakeHeartbeat(vm);
  auto answer = to.OnHeartbeat(message);
  ExecuteAnswer(vm, message, answer);
  return answer;
}

void authority_world::Declare(const std::string& job, uint32_t tasks) {
  state::job_spec spec;
  spec.name = job;
  spec.tenant = "t";
  spec.klass = "batch";
  spec.tasks = tasks;
  spec.per_task = {1'000, 1'000, 0};
  spec.run_lease = millis(60'000);
  manifest.jobs.push_back(spec);
  ++manifest_version;
  for (const auto& [name, at] : entries_) {
    at->SetManifest(manifest_version, manifest);
  }
}

running_world::running_world() {
  AddEntry("e1");
  REQUIRE(AdvanceUntilRoleHeld());
  SendHeartbeat(vm, *holder());
  AdvanceBy(millis(200));
  Declare("a");
  SendHeartbeatsFor(millis(1'000));
  REQUIRE(vm.running.size() == 1);
  SendHeartbeatsFor(millis(1'000));
}

void running_world::SendHeartbeatsFor(millis time) {
  for (const boot_time end = now + time; now < end;) {
    AdvanceBy(millis(500));
    if (auto* to = holder()) {
      SendHeartbeat(vm, *to);
    }
    AdvanceBy(millis(500));
  }
  if (auto* to = holder()) {
    SendHeartbeat(vm, *to);
  }
}

state::task running_world::Task() {
  const auto* at =
      holder() ? holder()->committed().FindTask({"a", 0}) : nullptr;
  return at ? *at : state::task{};
}

}  // namespace chiveglade::testing
