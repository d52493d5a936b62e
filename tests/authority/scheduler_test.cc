#include <catch2/catch.hpp>

#include "chiveglade/authority/commands.h"
#include "tests/authority/authority_world.h"

namespace chiveglade::authority {

namespace {

using testing::authority_world;
using testing::running_world;
using testing::store_fault;
using testing::test_vm;

}  // namespace

// Guards against start orders that are sent before their record is durable.
TEST_CASE("a start order is handed out only after its append is committed") {
  authority_world world;
  auto& entry = world.AddEntry("e1");
  REQUIRE(world.AdvanceUntilRoleHeld());
  test_vm vm{.id = {"v1", 7}};
  world.SendHeartbeat(vm, entry);
  world.AdvanceBy(millis(200));
  world.store.SetFaults([](const std::string& call, const std::string& key) {
    return call == "commit" && key == "journal/head" ? store_fault::kHold
                                                     : store_fault::kNone;
  });
  world.Declare("a");
  const int64_t before = world.MakeHeartbeat(vm).tick;
  world.AdvanceBy(millis(500));
  CHECK(world.SendHeartbeat(vm, entry).starts.empty());
  CHECK(world.store.held() == 1);
  world.store.SetFaults(nullptr);
  world.store.ReleaseHeld();
  const auto answer = world.SendHeartbeat(vm, entry);
  REQUIRE(answer.starts.size() == 1);
  CHECK(answer.grants);
  // A later tick would extend the validity of the start beyond the grant's.
  CHECK(answer.starts[0].tick <= before);
  vm.running.clear();
  CHECK(world.SendHeartbeat(vm, entry).starts[0].tick == answer.starts[0].tick);
}

// Guards against an attempt that is recorded as running too early, and an end
// that is acknowledged before it is durable.
TEST_CASE("running and ended attempts are recorded and acknowledged") {
  running_world world;
  CHECK(world.Task().phase == state::task_phase::kRunning);
  const auto attempt = *world.vm.running.begin();
  world.vm.running.clear();
  world.vm.ends[attempt] = {attempt, state::attempt_end::kFinished, "", {}, ""};
  CHECK(world.SendHeartbeat(world.vm, *world.holder()).acknowledged.empty());
  world.AdvanceBy(millis(200));
  CHECK(world.SendHeartbeat(world.vm, *world.holder()).acknowledged.size() ==
        1);
  CHECK(world.Task().phase == state::task_phase::kFinished);
}

// Guards against work that is lost or run twice after all entries are replaced.
TEST_CASE("a restarted entry recovers the state from the store alone") {
  running_world world;
  world.SendHeartbeatsFor(millis(40'000));
  const auto before = world.holder()->committed();
  CHECK(world.holder()->counters().snapshots > 0);
  const uint64_t epoch = world.holder()->epoch();
  world.Kill("e1");
  world.AddEntry("e2");
  REQUIRE(world.AdvanceUntilRoleHeld());
  CHECK(world.holder()->committed() == before);
  CHECK(world.holder()->epoch() == epoch + 1);
  world.SendHeartbeatsFor(millis(10'000));
  CHECK(world.Task().phase == state::task_phase::kRunning);
  CHECK(world.vm.running.size() == 1);
}

// Guards against a state that grows with every job that ever ran, and against a
// declared job that is submitted again after its retirement.
TEST_CASE("ended jobs and silent VMs are removed after their retention time") {
  running_world world;
  const auto attempt = *world.vm.running.begin();
  state::job_spec job;
  job.name = "once";
  job.per_task = {100, 100, 0};
  SendCommand(world.store.table(), SubmitJob("ann", job),
              [](const command_outcome&) {});
  world.SendHeartbeatsFor(millis(3'000));
  const state::attempt_id once{{"once", 0}, 1};
  REQUIRE(world.vm.running.contains(once));
  for (const auto& id : {attempt, once}) {
    world.vm.running.erase(id);
    world.vm.ends[id] = {id, state::attempt_end::kFinished, "", {}, ""};
  }
  world.SendHeartbeatsFor(millis(2'000));
  world.AdvanceBy(world.options.ended_job_retention + millis(2'000));
  CHECK_FALSE(world.holder()->committed().FindJob("once"));
  CHECK(world.holder()->committed().NameTaken("once"));
  CHECK(world.Task().phase == state::task_phase::kFinished);
  CHECK(world.holder()->JobJson("once").empty());
  CHECK(world.holder()->StatusJson().find("\"finished\":1") !=
        std::string::npos);
  CHECK(world.holder()->committed().vms().size() == 1);
  world.AdvanceBy(world.options.silent_vm_retention);
  CHECK(world.holder()->committed().vms().empty());
}

}  // namespace chiveglade::authority
