#include "chiveglade/workflow/job_admission.h"

#include <catch2/catch.hpp>

#include "tests/workflow/fixture.h"

namespace chiveglade::workflow {

namespace {

constexpr uint64_t kBudget = 8'000'000;
constexpr uint64_t kSmallJob = 4'000;
constexpr uint64_t kLargeJob = 100'000;
constexpr millis kSecond{1'000};

// Gateways that hear the coordinator once a second, and what it then holds.
struct admission_world {
  explicit admission_world(size_t count)
      : gateways(count, job_admission(kBudget)) {}

  uint64_t held() const {
    uint64_t out = 0;
    for (const auto& [queue, bytes] : held_by_queue) {
      out += bytes;
    }
    return out;
  }

  // Each gateway is handed in `jobs` of these; returns how many it admits.
  size_t Submit(const std::string& queue, uint64_t bytes, size_t jobs) {
    size_t admitted = 0;
    for (auto& gateway : gateways) {
      if (gateway.TakeQuestion(queue, now)) {
        gateway.SetRoom(queue,
                        {kBudget, held(), held_by_queue[queue],
                         static_cast<uint32_t>(gateways.size()), kSecond / 2},
                        now);
      }
      for (size_t i = 0; i < jobs; ++i) {
        if (gateway.Admit(queue, bytes)) {
          gateway.Finish(bytes, true, now);
          new_bytes[queue] += bytes;
          ++admitted;
        }
      }
    }
    return admitted;
  }

  // The coordinator hears of the jobs only now.
  void Pass(millis time) {
    now += time;
    for (const auto& [queue, bytes] : std::exchange(new_bytes, {})) {
      held_by_queue[queue] += bytes;
    }
  }

  std::vector<job_admission> gateways;
  std::map<std::string, uint64_t> held_by_queue;
  std::map<std::string, uint64_t> new_bytes;
  boot_time now{millis(1'000'000)};
};

}  // namespace

TEST_CASE("a crowd at many gateways stays within the budget for jobs") {
  admission_world world(8);
  for (int i = 0; i < 100; ++i) {
    world.Submit("crowd", kLargeJob, 1'000);
    world.Pass(kSecond);
    REQUIRE(world.held() <= kBudget);
  }
  // The crowd's queue fills half; the rest is for other queues.
  CHECK(world.held() > kBudget / 3);
  CHECK(world.held() <= kBudget / 2);
}

TEST_CASE("a crowd of large jobs leaves room for small ones of its queue") {
  admission_world world(4);
  for (int i = 0; i < 100; ++i) {
    world.Submit("crowd", kLargeJob, 1'000);
    world.Pass(kSecond);
  }
  CHECK(world.Submit("crowd", kLargeJob, 1) == 0);
  CHECK(world.Submit("crowd", kSmallJob, 1) == 4);
}

TEST_CASE("a crowd of small jobs leaves room for other queues") {
  admission_world world(4);
  for (int i = 0; i < 100; ++i) {
    world.Submit("crowd", kSmallJob, 10'000);
    world.Pass(kSecond);
  }
  CHECK(world.Submit("crowd", kLargeJob, 1) == 0);
  CHECK(world.Submit("other", kLargeJob, 1) == 4);
}

TEST_CASE("without a coordinator a gateway admits a share of the budget") {
  job_admission gateway(kBudget);
  uint64_t admitted = 0;
  while (gateway.Admit("queue", kSmallJob)) {
    gateway.Finish(kSmallJob, true, boot_time(kSecond));
    admitted += kSmallJob;
  }
  CHECK(admitted > 0);
  CHECK(admitted <= kBudget / 8);
}

TEST_CASE("room for jobs that have ended is used again") {
  admission_world world(1);
  for (int i = 0; i < 100; ++i) {
    world.Submit("queue", kLargeJob, 1'000);
    world.Pass(kSecond);
  }
  REQUIRE(world.Submit("queue", kLargeJob, 1) == 0);
  world.held_by_queue.clear();
  world.Pass(3 * kSecond);
  CHECK(world.Submit("queue", kLargeJob, 1) == 1);
}

TEST_CASE("a job longer than a share of the budget is admitted alone") {
  job_admission gateway(kBudget);
  CHECK(gateway.Admit("queue", kBudget / 2));
  CHECK_FALSE(gateway.Admit("queue", kBudget / 2));
}

TEST_CASE("a job whose write was refused takes no room") {
  job_admission gateway(kBudget);
  while (gateway.Admit("queue", kSmallJob)) {
    gateway.Finish(kSmallJob, true, boot_time(kSecond));
  }
  REQUIRE(gateway.TakeQuestion("queue", boot_time(2 * kSecond)));
  gateway.SetRoom("queue", {kBudget, 0, 0, 1, millis(0)},
                  boot_time(2 * kSecond));
  for (int i = 0; i < 10'000; ++i) {
    REQUIRE(gateway.Admit("queue", kSmallJob));
    gateway.Finish(kSmallJob, false, boot_time(2 * kSecond));
  }
}

TEST_CASE("a task that no VM has room for is told apart from any other") {
  job_admission gateway(kBudget);
  const boot_time now(kSecond);
  job_room room{kBudget, 0, 0, 1, millis(0)};
  gateway.SetRoom("queue", room, now);
  const resources huge{1'000, 1'000'000, 0};
  CHECK_FALSE(gateway.WhyNeverRuns("queue", huge, now));
  room.largest_vm = kVmSize;
  gateway.SetRoom("queue", room, now);
  const auto why = gateway.WhyNeverRuns("queue", huge, now);
  REQUIRE(why);
  CHECK(why->find("1000000 MiB") != std::string::npos);
  CHECK(why->find("more than 64000") != std::string::npos);
  CHECK(gateway.WhyNeverRuns("queue", {16'001, 1, 0}, now));
  CHECK(gateway.WhyNeverRuns("queue", {1, 1, 1}, now));
  CHECK_FALSE(gateway.WhyNeverRuns("queue", kVmSize, now));
  CHECK_FALSE(gateway.WhyNeverRuns("other", huge, now));
  // A new coordinator has not heard all VMs yet.
  room.largest_vm.reset();
  gateway.SetRoom("queue", room, now + 12 * kSecond);
  CHECK(gateway.WhyNeverRuns("queue", huge, now + 12 * kSecond));
  // A VM of another size may have joined since.
  CHECK_FALSE(gateway.WhyNeverRuns("queue", huge, now + 31 * kSecond));
}

TEST_CASE("a best-effort task needs no processors to itself") {
  auto step = MakeStep(1, 100'000);
  job_spec job;
  job.steps = {step};
  CHECK(LargestTask(job).millicores == 100'000);
  job.steps[0].best_effort = true;
  CHECK(LargestTask(job).millicores == 0);
  CHECK(LargestTask(job).memory_mib == step.demand.memory_mib);
}

TEST_CASE("a new coordinator knows the largest VM once all were heard") {
  coordinator_fixture world;
  CHECK_FALSE(world.core->LargestVm(kService, world.now));
  world.Report(world.MakeReport("vm0"));
  CHECK_FALSE(world.core->LargestVm(kService, world.now));
  world.now += millis(5'000);
  auto larger = world.MakeReport("vm1");
  larger.capacity = {8'000, 128'000, 2};
  world.Report(larger);
  world.now += millis(5'000);
  const auto largest = world.core->LargestVm(kService, world.now);
  REQUIRE(largest);
  CHECK(*largest == resources{16'000, 128'000, 2});
  CHECK_FALSE(world.core->LargestVm("other", world.now));
}

TEST_CASE("the room for jobs survives encoding") {
  const room_question question{"gateway", "queue"};
  const auto asked = DecodeRoomQuestion(Encode(question));
  REQUIRE(asked);
  CHECK(*asked == question);
  CHECK_FALSE(DecodeRoomQuestion("x"));
  job_room room{kBudget, 5, 3, 2, kSecond};
  const auto decoded = DecodeJobRoom(Encode(room));
  REQUIRE(decoded);
  CHECK(*decoded == room);
  room.largest_vm = kVmSize;
  const auto with_vms = DecodeJobRoom(Encode(room));
  REQUIRE(with_vms);
  CHECK(*with_vms == room);
  CHECK_FALSE(DecodeJobRoom("x"));
}

TEST_CASE("a coordinator counts what it holds for jobs until they are gone") {
  coordinator_fixture world;
  const auto small = MakeSubmission({MakeStep(1)});
  auto large = MakeSubmission({MakeStep(1'000)});
  large.queue = "other";
  world.AddJob("a", small);
  world.AddJob("b", large);
  CHECK(world.core->held_bytes(kQueue) == JobBytes(small.job));
  CHECK(world.core->held_bytes("other") == JobBytes(large.job));
  CHECK(world.core->held_bytes() == JobBytes(small.job) + JobBytes(large.job));
  world.ReportRunning("vm", {});
  const auto started = world.Starts().size();
  REQUIRE(started > 0);
  CHECK(world.core->held_bytes() ==
        JobBytes(small.job) + JobBytes(large.job) + started * kRunBytes);
  for (const auto& next : world.sent) {
    uint64_t number = 0;
    for (const auto& start : next.message.starts) {
      world.ReportEnd("vm", ++number, start.run, run_result::kStopped);
    }
  }
  CHECK(world.core->held_bytes() == JobBytes(small.job) + JobBytes(large.job));
  world.core->CancelJob("b", world.now);
  world.Commit();
  world.core->OnEndedWritten(world.core->TakeEnded(world.now, 10));
  CHECK(world.core->held_bytes("other") == 0);
  CHECK(world.core->held_bytes() == JobBytes(small.job) + kEndedJobBytes);
}

}  // namespace chiveglade::workflow
