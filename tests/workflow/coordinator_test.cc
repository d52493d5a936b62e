#include <algorithm>

#include <catch2/catch.hpp>

#include "tests/workflow/fixture.h"

namespace chiveglade::workflow {

namespace {

constexpr char kJob[] = "00000000000000aa";

run_key Run(uint32_t step, uint32_t index, uint32_t run = 1) {
  return {{kJob, 0, step, index}, run};
}

}  // namespace

TEST_CASE("a start is ordered only once its placement is durable") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  world.Tick();
  CHECK(world.core->TakeOrders(world.now).front().message.starts.empty());
  REQUIRE(world.core->HasUncommitted());
  const auto batch = world.core->TakeBatch(world.now);
  REQUIRE(batch.size() == 1);
  const auto record = DecodeRecord(*batch[0].record);
  REQUIRE(record);
  CHECK(record->tasks[0][0][0].live_runs.size() == 1);
  world.core->OnNotCommitted();
  CHECK(world.core->TakeOrders(world.now).empty());
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("steps wait for those they come after") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto second = MakeStep(1);
  second.after = {0};
  world.AddJob(kJob, MakeSubmission({MakeStep(2), second}));
  CHECK(world.Starts().size() == 2);
  world.ReportEnd("vm", 1, Run(0, 0), run_result::kDone);
  CHECK(world.Starts().empty());
  world.ReportEnd("vm", 2, Run(0, 1), run_result::kDone);
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(1, 0));
}

TEST_CASE("ends are acknowledged and shown only once they are durable") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  (void)world.Starts();
  CHECK(world.ReportEnd("vm", 1, Run(0, 0), run_result::kDone).acknowledged ==
        0);
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kRunning);
  world.Commit();
  CHECK(world.ReportRunning("vm", {}).acknowledged == 1);
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kCompleted);
}

TEST_CASE("a task runs again only once its grant is over") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  const auto grant = world.ReportRunning("vm", {Run(0, 0)}).grant;
  CHECK(grant > millis(0));
  world.now += grant;
  world.ReportRunning("other", {});
  CHECK(world.Starts().empty());
  world.now += WithClockMargin(grant) - grant + millis(1);
  world.ReportRunning("other", {});
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(0, 0, 2));
}

TEST_CASE("a successor waits for the grants of its predecessor") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  world.Tick();
  const auto batch = world.core->TakeBatch(world.now);
  const auto record = DecodeRecord(*batch[0].record);
  world.Restart(2);
  world.core->AddJob(kJob, MakeSubmission({MakeStep(1)}), *record, world.now,
                     world.unix_ms);
  world.ReportRunning("other", {});
  CHECK(world.Starts().empty());
  world.now +=
      WithClockMargin(coordinator_options{}.lease_duration) + millis(1);
  world.ReportRunning("other", {});
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("a successor repeats an order that its predecessor may have sent") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  world.Tick();
  const auto record = DecodeRecord(*world.core->TakeBatch(world.now)[0].record);
  world.Restart(2);
  world.core->AddJob(kJob, MakeSubmission({MakeStep(1)}), *record, world.now,
                     world.unix_ms);
  world.ReportRunning("vm", {});
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(0, 0, 1));
}

TEST_CASE("a new life of the worker ends what ran in the old one") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  auto in = world.MakeReport("vm");
  in.worker_born = 2'000;
  world.Report(in);
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(0, 0, 2));
}

TEST_CASE("a late report of an old life changes nothing") {
  coordinator_fixture world;
  auto late = world.MakeReport("vm");
  late.sequence = 99;
  late.phase = worker_phase::kGone;
  auto in = world.MakeReport("vm");
  in.life = "new life";
  in.sequence = 1;
  world.Report(in);
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.Report(late);
  CHECK(world.Starts().empty());
}

TEST_CASE("a job fails once a task has used up its attempts") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.ReportEnd("vm", 1, Run(0, 0, 1), run_result::kFailed);
  REQUIRE(world.Starts().size() == 1);
  world.ReportEnd("vm", 2, Run(0, 0, 2), run_result::kFailed);
  CHECK(world.Starts().empty());
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kFailed);
}

TEST_CASE("ends by other causes are no attempts") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  const run_result others[] = {run_result::kStopped, run_result::kLapsed,
                               run_result::kBroken, run_result::kAlone};
  uint64_t number = 0;
  for (const auto how : others) {
    const auto starts = world.Starts();
    REQUIRE(starts.size() == 1);
    world.ReportEnd("vm", ++number, starts[0].run, how);
  }
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("a cancelled job starts nothing and stops what runs") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(2)}));
  REQUIRE(world.Starts().size() == 2);
  world.ReportRunning("vm", {Run(0, 0), Run(0, 1)});
  world.core->CancelJob(kJob, world.now);
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kCancelled);
  CHECK(world.Stops().size() == 2);
  world.ReportEnd("vm", 1, Run(0, 0), run_result::kStopped);
  CHECK(world.Starts().empty());
}

TEST_CASE("no VM is filled beyond its size, also by what is being stopped") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(20, 1'000)}));
  CHECK(world.Starts().size() == 16);
  world.core->CancelJob(kJob, world.now);
  (void)world.Stops();
  world.AddJob("00000000000000bb", MakeSubmission({MakeStep(1)}));
  CHECK(world.Starts().empty());
  world.ReportEnd("vm", 1, Run(0, 0), run_result::kStopped);
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("nothing starts on VMs that drain, are silent or out of service") {
  coordinator_fixture world;
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  auto draining = world.MakeReport("vm");
  draining.phase = worker_phase::kDraining;
  world.Report(draining);
  CHECK(world.Starts().empty());
  world.ReportRunning("vm", {});
  world.core->SetOutOfService({"dc"});
  CHECK(world.Starts().empty());
  world.core->SetOutOfService({});
  world.now += coordinator_options{}.report_timeout;
  CHECK(world.Starts().empty());
  world.ReportRunning("vm", {});
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("a task that makes no progress is stopped, a throttled one is not") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(2)}));
  REQUIRE(world.Starts().size() == 2);
  auto throttled = world.MakeReport("vm");
  for (uint32_t i = 0; i < 2; ++i) {
    run_status status;
    status.run = Run(0, i);
    status.started = true;
    status.percent = 10;
    status.pace = i == 0 ? 100 : 5;
    throttled.runs.push_back(status);
  }
  world.Report(throttled);
  const millis step(1'000);
  for (millis waited{0}; waited <= coordinator_options{}.progress_timeout;
       waited += step) {
    CHECK(world.Stops().empty());
    world.now += step;
    throttled.sequence = ++world.sequence;
    world.Report(throttled);
  }
  const auto stops = world.Stops();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0] == Run(0, 0));
}

TEST_CASE("an order that a report does not show is sent again") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.ReportRunning("vm", {});
  CHECK(world.Starts().empty());
  world.now += coordinator_options{}.order_resend_timeout + millis(1);
  world.ReportRunning("vm", {});
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("members of a gang start together with one run number") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto gang = MakeStep(17, 1'000);
  gang.gang = true;
  world.AddJob(kJob, MakeSubmission({gang}));
  CHECK(world.Starts().empty());
  world.ReportRunning("other", {});
  auto starts = world.Starts();
  CHECK(starts.size() == 17);
  CHECK(std::all_of(starts.begin(), starts.end(),
                    [](const auto& start) { return start.run.run == 1; }));
}

TEST_CASE("the end of one member stands for its gang") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto gang = MakeStep(2);
  gang.gang = true;
  world.AddJob(kJob, MakeSubmission({gang}));
  REQUIRE(world.Starts().size() == 2);
  world.ReportEnd("vm", 1, Run(0, 0), run_result::kDone);
  world.Commit();
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kCompleted);
  CHECK(world.Starts().empty());
}

TEST_CASE("occurrences start at their time") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto in = MakeSubmission({MakeStep(1)});
  in.job.repeat = {2, world.unix_ms + 1'000, millis(1'000)};
  world.AddJob(kJob, in);
  CHECK(world.Starts().empty());
  world.unix_ms += 1'000;
  CHECK(world.Starts().size() == 1);
  world.unix_ms += 1'000;
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run.task.occurrence == 1);
}

TEST_CASE("a task that lasts starts again however it ends") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto step = MakeStep(1);
  step.long_running = true;
  world.AddJob(kJob, MakeSubmission({step}));
  REQUIRE(world.Starts().size() == 1);
  for (uint32_t run = 1; run <= 5; ++run) {
    world.ReportEnd("vm", run, Run(0, 0, run),
                    run % 2 == 0 ? run_result::kDone : run_result::kFailed);
    world.now += millis(200);
    world.ReportRunning("vm", {});
    CHECK(world.Starts().size() == 1);
  }
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kRunning);
}

TEST_CASE("a job on its last attempt avoids the VM where others failed") {
  coordinator_fixture world;
  world.ReportRunning("bad", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.ReportEnd("bad", 1, Run(0, 0, 1), run_result::kFailed);
  world.ReportRunning("good", {});
  REQUIRE(world.Starts().size() == 1);
  CHECK(world.sent.back().vm == "good");
}

TEST_CASE("a grant is as old as the last write that was confirmed") {
  coordinator_fixture world;
  const auto in = world.MakeReport("vm");
  const auto answer =
      world.core->OnReport(in, world.now, world.now - millis(2'000));
  CHECK(answer.grant == coordinator_options{}.lease_duration - millis(2'000));
}

TEST_CASE("nothing is placed on a VM whose grant has run out") {
  coordinator_fixture world;
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  (void)world.core->OnReport(world.MakeReport("vm"), world.now,
                             world.now - coordinator_options{}.lease_duration);
  CHECK(world.Starts().empty());
  world.ReportRunning("vm", {});
  CHECK(world.Starts().size() == 1);
  CHECK(world.sent.back().message.valid_for == kStartValidity);
}

TEST_CASE("a runner that has not heard of its worker is granted nothing") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  const auto until = world.now +
                     WithClockMargin(coordinator_options{}.lease_duration) +
                     millis(1);
  while (world.now < until) {
    world.now += millis(500);
    auto in = world.MakeReport("vm");
    in.life = "second life";
    in.worker_born = 0;
    in.phase = worker_phase::kUnknown;
    CHECK(world.Report(in).grant == millis(0));
  }
  world.ReportRunning("other", {});
  CHECK(world.Starts().size() == 1);
}

// Plays the backlog of an overload: more is ready than fits, and hundreds of
// reports a second that change nothing. The work of placing must not grow with
// them, or the coordinator falls behind when it is needed most.
TEST_CASE("a backlog is not weighed again for reports without news") {
  constexpr int kVms = 54;
  constexpr int kJobs = 200;
  coordinator_fixture world;
  for (int i = 0; i < kVms; ++i) {
    world.ReportRunning("vm" + std::to_string(i), {});
  }
  const auto fills_a_vm = MakeStep(kVms, kVmSize.millicores);
  world.AddJob(kJob, MakeSubmission({fills_a_vm}));
  REQUIRE(world.Starts().size() == kVms);
  for (int i = 0; i < kJobs; ++i) {
    world.AddJob("job" + std::to_string(i), MakeSubmission({fills_a_vm}));
  }
  CHECK(world.Starts().empty());
  const auto before = world.core->counters().vms_scored;
  for (int i = 0; i < kVms; ++i) {
    world.ReportRunning("vm" + std::to_string(i),
                        {Run(0, static_cast<uint32_t>(i))});
    CHECK(world.Starts().empty());
  }
  CHECK(world.core->counters().vms_scored == before);
  // Time alone may change what is allowed. Jobs that ask for as much as one
  // that found no room need not be weighed.
  world.now += millis(1'000);
  CHECK(world.Starts().empty());
  CHECK(world.core->counters().vms_scored - before <= kVms);
}

TEST_CASE("room that comes free is used by the next pass") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(2, kVmSize.millicores)}));
  REQUIRE(world.Starts().size() == 1);
  CHECK(world.Starts().empty());
  world.ReportEnd("vm", 1, Run(0, 0), run_result::kDone);
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("a report of news alone says nothing of the other runs") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(2)}));
  REQUIRE(world.Starts().size() == 2);
  world.ReportRunning("vm", {Run(0, 0), Run(0, 1)});
  world.now += millis(1'000);
  auto in = world.MakeReport("vm");
  in.news_only = true;
  in.complete = false;
  in.ends.push_back({1, Run(0, 0), run_result::kDone, ""});
  world.Report(in);
  // The other run is neither over nor ordered again.
  CHECK(world.Starts().empty());
  world.ReportEnd("vm", 2, Run(0, 1), run_result::kDone);
  world.Commit();
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kCompleted);
}

// Regression: hunt on tetoszin-prod, scale-1 --seed 245807505480. The order was
// withheld when the data centre left, and the task stayed tied to its VM for as
// long as the data centre was away.
TEST_CASE("a task whose VM leaves before its start moves elsewhere") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  bool was_sent = false;
  SECTION("the order was withheld") {
    world.Tick();
    world.core->SetOutOfService({"dc"});
    world.Commit();
    CHECK(world.core->TakeOrders(world.now).size() <= 1);
  }
  SECTION("the order was lost") {
    REQUIRE(world.Starts().size() == 1);
    world.core->SetOutOfService({"dc"});
    was_sent = true;
  }
  SECTION("the order was lost, and the worker drains") {
    REQUIRE(world.Starts().size() == 1);
    auto draining = world.MakeReport("vm");
    draining.phase = worker_phase::kDraining;
    world.Report(draining);
    was_sent = true;
  }
  world.now += millis(500);
  auto idle = world.MakeReport("vm");
  idle.phase = was_sent ? worker_phase::kDraining : worker_phase::kReady;
  world.Report(idle);
  // The runner makes sure that it can not start any more.
  CHECK(world.Stops() == std::vector<run_key>{Run(0, 0)});
  auto refused = world.MakeReport("vm");
  refused.phase = idle.phase;
  refused.refusals.push_back({Run(0, 0), "stopped"});
  world.Report(refused);
  auto other = world.MakeReport("other");
  other.data_centre = "elsewhere";
  world.Report(other);
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(0, 0, 2));
  CHECK(world.sent.back().vm == "other");
}

// Plays the tail of a burst: one VM, jobs that each fill it, and one of them
// late already. The caller whose job can still be in time is served first.
TEST_CASE("late jobs let those pass that can still meet their objective") {
  coordinator_fixture world;
  auto whole_vm = MakeSubmission({MakeStep(1, kVmSize.millicores)});
  whole_vm.accepted_unix_ms = world.unix_ms;
  world.AddJob("late", whole_vm);
  world.now += millis(5'000);  // Past its objective.
  world.AddJob("early", whole_vm);
  world.ReportRunning("vm", {});
  auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run.task.job == "early");
  world.ReportEnd("vm", 1, starts[0].run, run_result::kDone);
  starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run.task.job == "late");
}

TEST_CASE("a job that has been late for long has its turn again") {
  coordinator_fixture world;
  auto whole_vm = MakeSubmission({MakeStep(1, kVmSize.millicores)});
  whole_vm.accepted_unix_ms = world.unix_ms;
  world.AddJob("late", whole_vm);
  world.now += millis(5'000) + coordinator_options{}.late_job_yield_duration;
  world.AddJob("early", whole_vm);
  world.ReportRunning("vm", {});
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run.task.job == "late");
}

}  // namespace chiveglade::workflow
