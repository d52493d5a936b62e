// The scheduler under faults of the store, of entries and of VMs.
#include <algorithm>

#include <catch2/catch.hpp>

#include "chiveglade/authority/commands.h"
#include "tests/authority/authority_world.h"

namespace chiveglade::authority {

namespace {

using state::task_phase;
using testing::authority_world;
using testing::running_world;
using testing::store_fault;
using testing::test_vm;

// Applies the fault to every append.
testing::store_fault_fn OnAppends(store_fault fault) {
  return [fault](const std::string& call, const std::string& key) {
    return call == "commit" && key == kHeadKey ? fault : store_fault::kNone;
  };
}

testing::store_fault_fn Always(store_fault fault) {
  return [fault](const std::string&, const std::string&) { return fault; };
}

void Send(authority_world& world, const command& order) {
  SendCommand(world.store.table(), order, [](const command_outcome& outcome) {
    CHECK(outcome.status == command_status::kAccepted);
  });
}

}  // namespace

// Guards against two entries that both send out effects, and against a
// predecessor's append that is applied after the takeover.
TEST_CASE("a held append fails after another entry has taken over") {
  running_world world;
  world.AddEntry("e2");
  world.AdvanceBy(millis(1'500));
  CHECK_FALSE(world.entry("e2").holds_role());
  world.store.SetFaults(OnAppends(store_fault::kHold));
  world.Declare("b");
  world.AdvanceBy(millis(200));
  REQUIRE(world.store.held() == 1);
  world.store.SetFaults(nullptr);
  world.AdvanceBy(millis(5'000));
  REQUIRE(world.entry("e2").holds_role());
  const auto state = world.entry("e2").committed();
  world.store.ReleaseHeld();
  CHECK_FALSE(world.entry("e1").holds_role());
  CHECK(world.entry("e1").counters().losses == 1);
  CHECK(world.entry("e2").committed() == state);
  CHECK(world.entry("e1").OnHeartbeat(world.MakeHeartbeat(world.vm)).epoch ==
        0);
}

// Guards against a holder that continues to schedule after a pause in which it
// was replaced.
TEST_CASE("a paused holder becomes an ordinary entry") {
  running_world world;
  world.AddEntry("e2");
  world.AdvanceBy(millis(500));
  world.Pause("e1");
  const boot_time paused = world.now;
  REQUIRE(world.AdvanceUntilRoleHeld());
  CHECK(world.holder() == &world.entry("e2"));
  CHECK(world.now - paused <= millis(4'600));
  // Until it notices, its answers extend no lease beyond its last append.
  const auto answer =
      world.entry("e1").OnHeartbeat(world.MakeHeartbeat(world.vm));
  CHECK(answer.append_age >= world.now - paused);
  world.Resume("e1");
  world.AdvanceBy(millis(1'200));
  CHECK_FALSE(world.entry("e1").holds_role());
  CHECK(world.entry("e1").scheduler_address() == "e2:1");
}

// Guards against an append that is counted twice or dropped when its answer,
// or the request itself, is lost.
TEST_CASE("an append with an unknown outcome is resolved before any effect") {
  const auto fault =
      GENERATE(store_fault::kLoseAnswer, store_fault::kLoseRequest);
  running_world world;
  const uint64_t epoch = world.holder()->epoch();
  world.store.SetFaults(Always(fault));
  world.Declare("b");
  world.AdvanceBy(millis(3'000));
  CHECK(world.SendHeartbeat(world.vm, *world.holder()).starts.empty());
  world.store.SetFaults(nullptr);
  world.SendHeartbeatsFor(millis(3'000));
  CHECK(world.vm.running.size() == 2);
  CHECK(world.holder()->epoch() == epoch);
  // A successor recovers the same state from the store.
  const auto before = world.holder()->committed();
  world.Kill("e1");
  world.AddEntry("e2");
  REQUIRE(world.AdvanceUntilRoleHeld());
  CHECK(world.holder()->committed() == before);
}

// Guards against effects and takeovers while the store is down, and against
// leases that are extended by a scheduler that cannot append.
TEST_CASE("while the store is down nothing starts and no lease is extended") {
  const auto fault = GENERATE(store_fault::kRefuse, store_fault::kLoseRequest);
  running_world world;
  world.AddEntry("e2");
  world.AdvanceBy(millis(1'000));
  const uint64_t epoch = world.holder()->epoch();
  world.store.SetFaults(Always(fault));
  world.Declare("b");
  for (int second = 0; second < 20; ++second) {
    world.AdvanceBy(millis(1'000));
    const auto answer = world.SendHeartbeat(world.vm, world.entry("e1"));
    CHECK(answer.starts.empty());
    CHECK(answer.append_age >= millis(1'000) * second);
  }
  world.store.SetFaults(nullptr);
  world.SendHeartbeatsFor(millis(3'000));
  CHECK(world.entry("e1").holds_role());
  CHECK(world.holder()->epoch() == epoch);
  CHECK(world.vm.running.size() == 2);
}

// Guards against a gap in scheduling when an entry shuts down in order.
TEST_CASE("a released role is taken over without waiting for the lease") {
  running_world world;
  world.AddEntry("e2");
  world.AdvanceBy(millis(1'000));
  bool released = false;
  world.entry("e1").Release([&released] { released = true; });
  world.AdvanceBy(millis(1'700));
  CHECK(released);
  CHECK_FALSE(world.entry("e1").holds_role());
  CHECK(world.entry("e2").holds_role());
  world.Kill("e2");
  world.AdvanceBy(millis(8'000));
  CHECK_FALSE(world.entry("e1").holds_role());
}

// Guards against a start that is granted after its data centre was taken out.
TEST_CASE("a data centre taken out during an append stops its grants") {
  running_world world;
  world.store.SetFaults(OnAppends(store_fault::kHold));
  world.Declare("b");
  world.AdvanceBy(millis(150));
  REQUIRE(world.store.held() == 1);
  world.store.SetFaults(nullptr);
  ChangeDataCentre(world.store.table(),
                   {"dc1", 0, {true, "", "ann", "fire", "n1"}},
                   [](const command_outcome& outcome) {
                     CHECK(outcome.status == command_status::kAccepted);
                   });
  world.store.ReleaseHeld();
  world.SendHeartbeatsFor(millis(3'000));
  CHECK(world.holder()->counters().stale_batches == 1);
  CHECK(world.holder()->committed().FindTask({"b", 0})->attempt == 0);
  CHECK(world.vm.running.empty());
  const auto answer = world.SendHeartbeat(world.vm, *world.holder());
  CHECK(answer.out_of_service);
  CHECK(world.Task().phase == task_phase::kPending);
  CHECK(world.Task().checkpoint == "checkpoint");
}

// Guards against a rerun while a VM whose clock is slow still runs the task.
TEST_CASE("a run lease expires for the scheduler after it has for the agent") {
  const bool successor = GENERATE(false, true);
  running_world world;
  // The agent's clock is slow and the scheduler's fast, both by the greatest
  // rate error allowed.
  world.vm.clock_rate = (1.0 - kMaxClockRateError) / (1.0 + kMaxClockRateError);
  world.vm.tick_offset = 1'000'000;
  const auto message = world.MakeHeartbeat(world.vm);
  const auto answer = world.holder()->OnHeartbeat(message);
  REQUIRE(answer.grants);
  const int64_t until = message.tick - answer.append_age.count() + 60'000;
  if (successor) {
    world.Kill("e1");
    world.AddEntry("e2");
    REQUIRE(world.AdvanceUntilRoleHeld());
  }
  while (world.Task().phase == task_phase::kRunning) {
    world.AdvanceBy(millis(100));
    REQUIRE(world.MakeHeartbeat(world.vm).tick < until + 10'000);
  }
  CHECK(world.Task().phase == task_phase::kPending);
  CHECK(world.MakeHeartbeat(world.vm).tick > until);
}

// Guards against a delayed heartbeat of a replaced VM that ends the attempts of
// its successor, and against a replacement that never joins.
TEST_CASE("a VM is replaced only by a proven newer incarnation") {
  running_world world;
  test_vm older{.id = {"v1", 3}};
  const auto delayed = world.MakeHeartbeat(older);
  for (int copy = 0; copy < 3; ++copy) {
    world.holder()->OnHeartbeat(delayed);
    world.SendHeartbeatsFor(millis(1'000));
  }
  CHECK(world.Task().phase == task_phase::kRunning);
  test_vm newer{.id = {"v1", 9}};
  world.SendHeartbeat(newer, *world.holder());
  world.AdvanceBy(millis(500));
  CHECK(world.Task().phase == task_phase::kRunning);
  world.SendHeartbeat(newer, *world.holder());
  world.AdvanceBy(millis(500));
  CHECK(world.Task().vm == newer.id);
  CHECK(world.Task().attempt == 2);
  // The replaced incarnation is told to stop what it still reports.
  CHECK(world.SendHeartbeat(world.vm, *world.holder()).unknown.size() == 1);
}

// Guards against running a finished task again: the agent outlives a restart of
// its worker, and its report of the end must not be acknowledged while the
// state still has the attempt on the former incarnation.
TEST_CASE("an end reported by the next incarnation finishes the task") {
  running_world world;
  auto& holder = *world.holder();
  const state::attempt_id attempt{{"a", 0}, 1};
  test_vm next = world.vm;
  next.id.incarnation = 8;
  next.running.clear();
  next.ends[attempt] = {attempt, state::attempt_end::kFinished, "", millis(0),
                        ""};
  const auto first = world.SendHeartbeat(next, holder);
  CHECK(std::find(first.acknowledged.begin(), first.acknowledged.end(),
                  attempt) == first.acknowledged.end());
  next.ends[attempt] = {attempt, state::attempt_end::kFinished, "", millis(0),
                        ""};
  for (int beat = 0; beat < 5; ++beat) {
    world.AdvanceBy(millis(500));
    world.SendHeartbeat(next, holder);
  }
  CHECK(world.Task().phase == state::task_phase::kFinished);
  CHECK(world.Task().attempt == 1);
  CHECK(next.ends.empty());
}

// Guards against a lease that is extended after the attempt's loss was decided
// and before the loss is durable: the task would continue to run while it is
// granted elsewhere.
TEST_CASE("no lease is extended while an append that ends it is in flight") {
  running_world world;
  world.store.SetFaults(OnAppends(store_fault::kHold));
  while (world.store.held() == 0) {
    world.AdvanceBy(millis(50));
  }
  Send(world, WorkerGone("ann", "v1", 7, "r1"));
  world.AdvanceBy(millis(300));
  CHECK(world.holder()->OnHeartbeat(world.MakeHeartbeat(world.vm)).grants);
  world.store.ReleaseHeld();
  world.AdvanceBy(millis(150));
  REQUIRE(world.store.held() == 1);
  CHECK_FALSE(
      world.holder()->OnHeartbeat(world.MakeHeartbeat(world.vm)).grants);
}

// Guards against an incarnation that joins again after it was declared gone.
TEST_CASE("worker gone ends the attempts and refuses the incarnation") {
  running_world world;
  Send(world, WorkerGone("ann", "v1", 7, "r1"));
  world.AdvanceBy(millis(500));
  CHECK(world.Task().phase == task_phase::kPending);
  CHECK(world.SendHeartbeat(world.vm, *world.holder()).unknown.size() == 1);
  world.SendHeartbeatsFor(millis(2'000));
  CHECK(world.holder()->committed().vms().empty());
  CHECK(world.holder()->committed().commands().at("gone-r1").accepted);
  CHECK(world.store.Scan(kCommandPrefix, 10).empty());
}

// Guards against a command that is executed twice when its row is written again
// after execution, and against an outcome that is not recorded.
TEST_CASE("a command is executed once and its outcome kept") {
  running_world world;
  state::job_spec job;
  job.name = "c";
  job.per_task = {100, 100, 0};
  for (int copy = 0; copy < 2; ++copy) {
    Send(world, SubmitJob("ann", job));
    Send(world, CancelJob("ann", "nothing"));
    Send(world, DrainWorker("ann", "v9", true, "r" + std::to_string(copy)));
    world.AdvanceBy(millis(500));
  }
  const auto& commands = world.holder()->committed().commands();
  CHECK(commands.at(SubmitJob("ann", job).id).accepted);
  CHECK(commands.at("cancel-nothing").detail == "there is no job nothing");
  CHECK(world.holder()->committed().drained().contains("v9"));
  CHECK(world.store.Scan(kCommandPrefix, 10).empty());
  job.tasks = 3;
  Send(world, SubmitJob("bob", job));
  world.AdvanceBy(millis(500));
  CHECK_FALSE(commands.at(SubmitJob("bob", job).id).accepted);
}

// Guards against a task that waits forever for a lost start, and an attempt
// that runs although the state does not have it.
TEST_CASE("a start that a VM never reports is granted again") {
  running_world world;
  world.Declare("b");
  world.AdvanceBy(millis(200));
  const auto lost = world.holder()->OnHeartbeat(world.MakeHeartbeat(world.vm));
  REQUIRE(lost.starts.size() == 1);
  const auto first = lost.starts[0].attempt;
  for (int i = 0; i < 12; ++i) {
    world.AdvanceBy(millis(500));
    const auto message = world.MakeHeartbeat(world.vm);
    auto answer = world.holder()->OnHeartbeat(message);
    std::erase_if(answer.starts, [&](const state::start_order& order) {
      return order.attempt == first;
    });
    world.ExecuteAnswer(world.vm, message, answer);
  }
  CHECK(world.vm.running.contains({{"b", 0}, 2}));
  CHECK_FALSE(world.vm.running.contains(first));
  world.vm.running.insert(first);
  CHECK(world.SendHeartbeat(world.vm, *world.holder()).unknown ==
        std::vector{first});
}

// Guards against an attempt that a successor declares lost because of delayed
// heartbeats from before its start, and one that is never declared lost.
TEST_CASE("absence counts only in heartbeats made after an answer") {
  running_world world;
  world.Kill("e1");
  world.AddEntry("e2");
  REQUIRE(world.AdvanceUntilRoleHeld());
  test_vm older = world.vm;
  older.running.clear();
  for (int second = 0; second < 10; ++second) {
    world.AdvanceBy(millis(1'000));
    world.holder()->OnHeartbeat(world.MakeHeartbeat(older));
  }
  CHECK(world.Task().phase == task_phase::kRunning);
  CHECK(world.Task().attempt == 1);
  world.vm.running.clear();
  world.SendHeartbeatsFor(millis(4'000));
  CHECK(world.Task().attempt == 1);
  world.SendHeartbeatsFor(millis(4'000));
  CHECK(world.Task().attempt == 2);
}

// Guards against a journal that grows without limit.
TEST_CASE("records before the snapshot are deleted") {
  running_world world;
  for (int second = 0; second < 90; ++second) {
    Send(world, DrainWorker("ann", "v9", true, std::to_string(second)));
    world.SendHeartbeatsFor(millis(1'000));
  }
  // Each append deletes only a few records, so deleting all that the newest
  // snapshot covers takes some time.
  world.SendHeartbeatsFor(millis(10'000));
  const auto head = ReadHead(world.store.Read(kHeadKey)->value);
  REQUIRE(head);
  CHECK(head->snapshot > 0);
  CHECK(head->oldest == head->snapshot + 1);
  CHECK(world.store.Scan("journal/0", 10'000).size() ==
        head->sequence - head->snapshot);
}

// Guards against an entry with an older manifest that takes over and reverts
// the newer one.
TEST_CASE("services follow the manifest and never an older one") {
  running_world world;
  config::service_spec service;
  service.name = "s";
  service.per_replica = {100, 100, 0};
  service.replicas = 3;
  world.manifest.services = {service};
  world.Declare("b");
  world.SendHeartbeatsFor(millis(2'000));
  const auto old = world.manifest;
  const auto* job = world.holder()->committed().FindJob("service:s");
  REQUIRE(job);
  CHECK(world.vm.running.size() == 5);
  world.manifest.services[0].replicas = 1;
  world.Declare("c");
  world.SendHeartbeatsFor(millis(3'000));
  CHECK(world.holder()->committed().FindJob("service:s")->spec.tasks == 1);
  CHECK(world.vm.running.size() == 4);
  world.Kill("e1");
  const auto newest = world.manifest_version;
  world.manifest_version = 0;
  auto& successor = world.AddEntry("e2");
  successor.SetManifest(newest - 1, old);
  REQUIRE(world.AdvanceUntilRoleHeld());
  world.SendHeartbeatsFor(millis(2'000));
  CHECK(successor.committed().FindJob("service:s")->spec.tasks == 1);
  world.manifest.services.clear();
  successor.SetManifest(newest + 1, world.manifest);
  world.SendHeartbeatsFor(millis(3'000));
  CHECK(successor.committed().FindJob("service:s")->spec.tasks == 0);
}

// Guards against an older program version that overwrites a journal it cannot
// read.
TEST_CASE("a journal of a newer format is left alone") {
  authority_world world;
  REQUIRE(world.store.Commit({{}, {{kHeadKey, R"({"format":2})"}}}).version);
  world.AddEntry("e1");
  CHECK_FALSE(world.AdvanceUntilRoleHeld());
  CHECK(world.store.Read(kHeadKey)->value == R"({"format":2})");
}

}  // namespace chiveglade::authority
