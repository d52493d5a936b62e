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

// Guards against orders that leave before their record is durable.
TEST_CASE("a start order is handed out only after its append is committed") {
  authority_world world;
  auto& entry = world.AddEntry("e1");
  REQUIRE(world.PassUntilHeld());
  test_vm vm{.id = {"v1", 7}};
  world.Beat(vm, entry);
  world.Pass(millis(200));
  world.store.SetFaults([](const std::string& call, const std::string& key) {
    return call == "commit" && key == "journal/head" ? store_fault::kHold
                                                     : store_fault::kNone;
  });
  world.Declare("a");
  const int64_t before = world.Message(vm).tick;
  world.Pass(millis(500));
  CHECK(world.Beat(vm, entry).starts.empty());
  CHECK(world.store.held() == 1);
  world.store.SetFaults(nullptr);
  world.store.ReleaseHeld();
  const auto answer = world.Beat(vm, entry);
  REQUIRE(answer.starts.size() == 1);
  CHECK(answer.grants);
  // A newer tick would let the start happen too long after the grant.
  CHECK(answer.starts[0].tick <= before);
  vm.running.clear();
  CHECK(world.Beat(vm, entry).starts[0].tick == answer.starts[0].tick);
}

// Guards against a start that is confirmed too early, and an end that is
// acknowledged before it is durable.
TEST_CASE("running and ended attempts are recorded and acknowledged") {
  running_world world;
  CHECK(world.Task().phase == state::task_phase::kRunning);
  const auto attempt = *world.vm.running.begin();
  world.vm.running.clear();
  world.vm.ends[attempt] = {attempt, state::attempt_end::kFinished, "", {}, ""};
  CHECK(world.Beat(world.vm, *world.holder()).acknowledged.empty());
  world.Pass(millis(200));
  CHECK(world.Beat(world.vm, *world.holder()).acknowledged.size() == 1);
  CHECK(world.Task().phase == state::task_phase::kFinished);
}

// Guards against work lost or run twice when all entries are replaced.
TEST_CASE("a restarted entry recovers the state from the store alone") {
  running_world world;
  world.BeatFor(millis(40'000));
  const auto before = world.holder()->committed();
  CHECK(world.holder()->counters().snapshots > 0);
  const uint64_t epoch = world.holder()->epoch();
  world.Kill("e1");
  world.AddEntry("e2");
  REQUIRE(world.PassUntilHeld());
  CHECK(world.holder()->committed() == before);
  CHECK(world.holder()->epoch() == epoch + 1);
  world.BeatFor(millis(10'000));
  CHECK(world.Task().phase == state::task_phase::kRunning);
  CHECK(world.vm.running.size() == 1);
}

// Guards against a state that grows with every job that ever ran, and against a
// declared job that is submitted again after its name was forgotten.
TEST_CASE("ended jobs and VMs that left are forgotten in time") {
  running_world world;
  const auto attempt = *world.vm.running.begin();
  state::job_spec job;
  job.name = "once";
  job.per_task = {100, 100, 0};
  SendCommand(world.store.table(), SubmitJob("ann", job),
              [](const command_outcome&) {});
  world.BeatFor(millis(3'000));
  const state::attempt_id once{{"once", 0}, 1};
  REQUIRE(world.vm.running.contains(once));
  for (const auto& id : {attempt, once}) {
    world.vm.running.erase(id);
    world.vm.ends[id] = {id, state::attempt_end::kFinished, "", {}, ""};
  }
  world.BeatFor(millis(2'000));
  world.Pass(world.options.ended_jobs_kept + millis(2'000));
  CHECK_FALSE(world.holder()->committed().FindJob("once"));
  CHECK(world.holder()->committed().NameTaken("once"));
  CHECK(world.Task().phase == state::task_phase::kFinished);
  CHECK(world.holder()->JobJson("once").empty());
  CHECK(world.holder()->StatusJson().find("\"finished\":1") !=
        std::string::npos);
  CHECK(world.holder()->committed().vms().size() == 1);
  world.Pass(world.options.vms_kept);
  CHECK(world.holder()->committed().vms().empty());
}

}  // namespace chiveglade::authority
