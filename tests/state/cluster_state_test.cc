#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "chiveglade/state/cluster_state.h"
#include "chiveglade/state/snapshot_codec.h"
#include "tests/state/event_generator.h"

namespace chiveglade::state {

namespace {

using testing::event_generator;

// Recomputes from the tasks what the state keeps as sums and indices.
void CheckInvariants(const cluster_state& at) {
  std::map<std::string, resources> committed;
  std::map<std::string, std::set<task_id>> held;
  std::map<std::string, resources> usage;
  std::map<std::string, std::set<uint32_t>> pending;
  for (const auto& [name, owner] : at.jobs()) {
    for (uint32_t i = 0; i < owner.tasks.size(); ++i) {
      const task& one = owner.tasks[i];
      if (HoldsVm(one.phase)) {
        const vm* host = at.FindVm(one.vm.name);
        RC_ASSERT(host != nullptr);
        RC_ASSERT(host->id == one.vm);
        committed[one.vm.name] += owner.spec.per_task;
        held[one.vm.name].insert({name, i});
        usage[owner.spec.tenant] += owner.spec.per_task;
      }
      if (one.phase == task_phase::kPending && !owner.cancelled &&
          owner.parked_reason.empty()) {
        pending[name].insert(i);
      }
    }
  }
  std::erase_if(usage, [](const auto& it) { return it.second == resources{}; });
  RC_ASSERT(usage == at.usage());
  RC_ASSERT(pending == at.pending());
  for (const auto& [name, host] : at.vms()) {
    RC_ASSERT(host.committed == committed[name]);
    RC_ASSERT(host.tasks == held[name]);
    RC_ASSERT(FitsWithin(host.committed, host.capacity));
  }
}

// Attempt numbers of every task, to see that they never go down.
std::map<task_id, uint32_t> Attempts(const cluster_state& at) {
  std::map<task_id, uint32_t> out;
  for (const auto& [name, owner] : at.jobs()) {
    for (uint32_t i = 0; i < owner.tasks.size(); ++i) {
      out[{name, i}] = owner.tasks[i].attempt;
    }
  }
  return out;
}

job_spec Spec(const std::string& name) {
  job_spec spec;
  spec.name = name;
  spec.tenant = "t";
  spec.per_task = {2, 1, 0};
  return spec;
}

bool Ok(cluster_state& at, const event& change) {
  return at.Apply(change).has_value();
}

const vm_id kVm{"v", 1};

cluster_state WithGrant() {
  cluster_state at;
  REQUIRE(Ok(at, vm_joined{kVm, "dc", "r", {3, 3, 0}}));
  REQUIRE(Ok(at, job_submitted{Spec("a")}));
  REQUIRE(Ok(at, job_submitted{Spec("b")}));
  REQUIRE(Ok(at, attempt_granted{{{"a", 0}, 1}, kVm}));
  return at;
}

}  // namespace

// Guards against any sequence of events, valid or not, that overcommits a VM,
// gives a task two live attempts, reuses a name or an attempt number, changes
// the state while refusing an event, or cannot be restored from a snapshot.
TEST_CASE("random events never break the invariants of the state") {
  CHECK(rc::check([](uint64_t seed) {
    event_generator next(seed);
    cluster_state at;
    std::set<std::string> submitted;
    for (int step = 0; step < 300; ++step) {
      const event change = next.Next(at);
      const cluster_state before = at;
      const auto outcome = at.Apply(change);
      if (!outcome) {
        RC_ASSERT(at == before);
        continue;
      }
      if (const auto* job = std::get_if<job_submitted>(&change)) {
        RC_ASSERT(submitted.insert(job->spec.name).second);
      }
      CheckInvariants(at);
      for (const auto& [id, number] : Attempts(before)) {
        const task* now = at.FindTask(id);
        RC_ASSERT((!now || now->attempt >= number));
      }
    }
    const auto restored =
        snapshot_codec::Decode(snapshot_codec::Encode(7, at, "hints"));
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored->state == at);
    RC_ASSERT(restored->sequence == 7U);
    RC_ASSERT(restored->hints == "hints");
  }));
}

// Guards against grants that break invariants 1 and 2 becoming durable.
TEST_CASE("a grant is refused beyond capacity, twice, or on another VM") {
  cluster_state at = WithGrant();
  CHECK(at.Apply(attempt_granted{{{"b", 0}, 1}, kVm}).last_reason().code ==
        "no_capacity");
  CHECK(at.Apply(attempt_granted{{{"a", 0}, 2}, kVm}).last_reason().code ==
        "not_pending");
  CHECK(at.Apply(attempt_granted{{{"b", 0}, 1}, {"v", 2}}).last_reason().code ==
        "no_such_vm");
  CHECK(at.Apply(attempt_granted{{{"b", 0}, 2}, kVm}).last_reason().code ==
        "wrong_attempt");
}

// Guards against a restarted VM whose old attempts are forgotten, and against
// a delayed heartbeat of the old incarnation that would bring it back.
TEST_CASE("a VM is replaced only when empty and never by a past incarnation") {
  cluster_state at = WithGrant();
  const vm_joined next{{"v", 2}, "dc", "r", {3, 3, 0}};
  CHECK(at.Apply(next).last_reason().code == "vm_in_use");
  CHECK(at.Apply(vm_left{kVm}).last_reason().code == "vm_in_use");
  REQUIRE(Ok(at, attempt_ended{{{"a", 0}, 1}, attempt_end::kLost, "", {}, ""}));
  REQUIRE(Ok(at, next));
  CHECK(at.Apply(vm_joined{kVm, "dc", "r", {3, 3, 0}}).last_reason().code ==
        "past_incarnation");
  REQUIRE(Ok(at, vm_left{{"v", 2}}));
  CHECK(at.Apply(next).last_reason().code == "past_incarnation");
}

// Guards against a task that is resumed from an older checkpoint, runs again
// after it finished, or is retried beyond its limit.
TEST_CASE("an end decides what becomes of the task") {
  cluster_state at = WithGrant();
  const task_id id{"a", 0};
  REQUIRE(Ok(
      at, attempt_ended{{id, 1}, attempt_end::kStopped, "c1", millis(5), ""}));
  CHECK(at.FindTask(id)->checkpoint == "c1");
  CHECK(at.FindTask(id)->evictions == 1);
  for (uint32_t number = 2; number <= 4; ++number) {
    REQUIRE(Ok(at, attempt_granted{{id, number}, kVm}));
    REQUIRE(
        Ok(at, attempt_ended{{id, number}, attempt_end::kFailed, "", {}, ""}));
    CHECK_FALSE(
        Ok(at, attempt_ended{{id, number}, attempt_end::kFailed, "", {}, ""}));
  }
  CHECK(at.FindTask(id)->phase == task_phase::kFailed);
  CHECK(at.FindTask(id)->work_done == millis(5));
  CHECK(at.Apply(job_retired{"b"}).last_reason().code == "job_not_ended");
  REQUIRE(Ok(at, job_retired{"a"}));
  CHECK(at.Apply(job_submitted{Spec("a")}).last_reason().code == "name_taken");
}

// Guards against attempt numbers that start again when a service shrinks and
// grows, which would let an old replica's messages pass for the new one's.
TEST_CASE("a service keeps its attempt numbers while it is resized") {
  cluster_state at;
  auto spec = Spec("service:s");
  spec.priority = band::kService;
  spec.tasks = 2;
  REQUIRE(Ok(at, vm_joined{kVm, "dc", "r", {9, 9, 0}}));
  REQUIRE(Ok(at, job_submitted{spec}));
  const task_id second{"service:s", 1};
  REQUIRE(Ok(at, attempt_granted{{second, 1}, kVm}));
  REQUIRE(Ok(at, job_resized{"service:s", 1}));
  CHECK(at.FindTask(second)->phase == task_phase::kStopping);
  REQUIRE(
      Ok(at, attempt_ended{{second, 1}, attempt_end::kStopped, "", {}, ""}));
  CHECK(at.FindTask(second)->phase == task_phase::kCancelled);
  REQUIRE(Ok(at, job_resized{"service:s", 2}));
  CHECK(at.FindTask(second)->phase == task_phase::kPending);
  CHECK_FALSE(Ok(at, attempt_granted{{second, 1}, kVm}));
  CHECK(Ok(at, attempt_granted{{second, 2}, kVm}));
}

// Guards against a command that is carried out twice, and against a table of
// outcomes that grows without limit.
TEST_CASE("command outcomes are kept once and up to a limit") {
  cluster_state at;
  REQUIRE(Ok(at, command_done{"first", true, ""}));
  CHECK_FALSE(Ok(at, command_done{"first", true, ""}));
  for (size_t i = 0; i < cluster_state::kCommandsKept; ++i) {
    REQUIRE(Ok(at, command_done{"c" + std::to_string(i), true, ""}));
  }
  CHECK(at.commands().size() == cluster_state::kCommandsKept);
  CHECK_FALSE(at.commands().contains("first"));
}

}  // namespace chiveglade::state
