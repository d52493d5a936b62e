#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "tests/workflow/fixture.h"

namespace chiveglade::workflow {

namespace {

constexpr char kJob[] = "00000000000000aa";

// Returns the progress of a job in a batch, as the next leader reads it.
job_record ReadProgress(const submission& job,
                        const std::vector<coordinator::batch_row>& batch) {
  auto out = MakeJobRecord(job.job);
  for (const auto& row : batch) {
    REQUIRE(AddProgress(row.key.row, *DecodeProgressRow(*row.record), out));
  }
  return out;
}

run_key Run(uint32_t step, uint32_t index, uint32_t run = 1) {
  return {{kJob, 0, step, index}, run};
}

}  // namespace

TEST_CASE("a start order is sent only after its placement is committed") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  world.Tick();
  CHECK(world.core->TakeOrders(world.now).front().message.starts.empty());
  REQUIRE(world.core->HasUncommitted());
  const auto batch = world.core->TakeBatch(world.now);
  REQUIRE(batch.size() == 1);
  const auto record = ReadProgress(MakeSubmission({MakeStep(1)}), batch);
  CHECK(record.tasks[0][0][0].live_runs.size() == 1);
  world.core->OnNotCommitted();
  CHECK(world.core->TakeOrders(world.now).empty());
  CHECK(world.Starts().size() == 1);
}

// Regression: CONFIG and UNASKED on tetoszin-prod-grown, beside a coordinator
// that learnt of changes up to 7 s late.
TEST_CASE("nothing starts while a cancellation or evacuation may be unknown") {
  coordinator_fixture world;
  const auto limit = coordinator_options{}.max_information_age;
  world.ReportRunning("vm", {});
  SECTION("placing waits") {
    world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
    world.core->SetInformedAsOf(world.now - limit - millis(1));
    world.Tick();
    CHECK_FALSE(world.core->HasUncommitted());
    world.core->SetInformedAsOf(world.now - limit);
    CHECK(world.Starts().size() == 1);
  }
  SECTION("a start that is placed waits") {
    world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
    world.Tick();
    world.Commit();
    world.core->SetInformedAsOf(world.now - limit - millis(1));
    CHECK(world.Starts().empty());
    world.core->SetInformedAsOf(world.now);
    CHECK(world.Starts().size() == 1);
  }
  SECTION("a stop does not wait") {
    world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
    REQUIRE(world.Starts().size() == 1);
    world.ReportRunning("vm", {Run(0, 0)});
    world.core->SetInformedAsOf(world.now - limit - millis(1));
    world.core->CancelJob(kJob, world.now);
    world.Tick();
    world.Commit();
    CHECK(world.Stops() == std::vector<run_key>{Run(0, 0)});
  }
}

TEST_CASE("a step waits for the steps it depends on") {
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

TEST_CASE(
    "ends of runs are acknowledged and visible only after they are committed") {
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

TEST_CASE(
    "a task of a silent VM is restarted only after the VM's lease expires") {
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

TEST_CASE("a new leader waits for the leases of its predecessor") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  world.Tick();
  const auto job = MakeSubmission({MakeStep(1)});
  const auto record = ReadProgress(job, world.core->TakeBatch(world.now));
  world.Restart(2);
  world.core->AddJob(kJob, job, record, world.now, world.unix_ms);
  world.ReportRunning("other", {});
  CHECK(world.Starts().empty());
  world.now +=
      WithClockMargin(coordinator_options{}.lease_duration) + millis(1);
  world.ReportRunning("other", {});
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("a new leader resends an order that its predecessor may have sent") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  world.Tick();
  const auto job = MakeSubmission({MakeStep(1)});
  const auto record = ReadProgress(job, world.core->TakeBatch(world.now));
  world.Restart(2);
  world.core->AddJob(kJob, job, record, world.now, world.unix_ms);
  world.ReportRunning("vm", {});
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(0, 0, 1));
}

// Regression, incident late-report-of-gone-worker: the first report that a new
// leader got was seconds old, and ended runs that had been placed since.
TEST_CASE("a late report that the worker has gone ends no later runs") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  const auto job = MakeSubmission({MakeStep(1)});
  world.AddJob(kJob, job);
  world.Tick();
  const auto record = ReadProgress(job, world.core->TakeBatch(world.now));
  world.Restart(2);
  world.core->AddJob(kJob, job, record, world.now, world.unix_ms);
  auto gone = world.MakeReport("vm");
  gone.phase = worker_phase::kGone;
  SECTION("of an earlier incarnation") {
    gone.epoch = 2;
    gone.worker_incarnation = 500;
  }
  SECTION("of this incarnation, which has come back") {
    gone.epoch = 1;
  }
  world.Report(gone);
  auto in = world.MakeReport("vm");
  in.epoch = 2;
  world.Report(in);
  // The same run is ordered again, not another one.
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(0, 0, 1));
  SECTION("a report that knows this leader counts") {
    auto now_gone = world.MakeReport("vm");
    now_gone.phase = worker_phase::kGone;
    now_gone.epoch = 2;
    world.Report(now_gone);
    auto back = world.MakeReport("vm");
    back.epoch = 2;
    back.worker_incarnation = 2'000;
    world.Report(back);
    const auto again = world.Starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run == Run(0, 0, 2));
  }
}

TEST_CASE("a new incarnation of the worker ends the runs of the old one") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  auto in = world.MakeReport("vm");
  in.worker_incarnation = 2'000;
  world.Report(in);
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run == Run(0, 0, 2));
}

// Regression, review/2: a run that a new life of the worker listed was declared
// ended with the old life, and its task started elsewhere while it ran on.
TEST_CASE("a run that a new incarnation of the worker has goes on there") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  auto in = world.MakeReport("vm");
  in.worker_incarnation = 2'000;
  SECTION("it is listed as running") {
    run_status status;
    status.run = Run(0, 0);
    status.started = true;
    in.runs.push_back(status);
    world.Report(in);
    CHECK(world.Starts().empty());
    in.runs.clear();
    in.sequence = ++world.sequence;
    in.ends.push_back({1, Run(0, 0), run_result::kDone, ""});
    world.Report(in);
  }
  SECTION("it is listed as ended") {
    in.ends.push_back({1, Run(0, 0), run_result::kDone, ""});
    world.Report(in);
  }
  CHECK(world.Starts().empty());
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kCompleted);
}

TEST_CASE("a delayed report of an old runner incarnation is ignored") {
  coordinator_fixture world;
  auto late = world.MakeReport("vm");
  late.sequence = 99;
  late.phase = worker_phase::kGone;
  auto in = world.MakeReport("vm");
  in.runner_incarnation = "new life";
  in.sequence = 1;
  world.Report(in);
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.Report(late);
  CHECK(world.Starts().empty());
}

TEST_CASE("a job fails when a task has used up its attempts") {
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

TEST_CASE("a run that fails while it is being stopped counts as an attempt") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.ReportEnd("vm", 1, Run(0, 0, 1), run_result::kFailed);
  REQUIRE(world.Starts().size() == 1);
  const millis step(500);
  for (millis waited{0}; waited <= coordinator_options{}.progress_timeout;
       waited += step) {
    world.ReportRunning("vm", {Run(0, 0, 2)}, 10);
    world.now += step;
  }
  world.ReportRunning("vm", {Run(0, 0, 2)}, 10);
  REQUIRE(world.Stops() == std::vector<run_key>{Run(0, 0, 2)});
  world.ReportEnd("vm", 2, Run(0, 0, 2), run_result::kFailed);
  CHECK(world.Starts().empty());
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kFailed);
}

TEST_CASE("runs that end for other reasons do not count as attempts") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  const run_result others[] = {run_result::kStopped, run_result::kLapsed,
                               run_result::kGangBroken,
                               run_result::kGangIncomplete};
  uint64_t number = 0;
  for (const auto how : others) {
    const auto starts = world.Starts();
    REQUIRE(starts.size() == 1);
    world.ReportEnd("vm", ++number, starts[0].run, how);
  }
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("a cancelled job starts no tasks and stops its runs") {
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

TEST_CASE("a VM is not overcommitted, counting runs that are being stopped") {
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

// Regression, review/15: a VM with a task of the largest demand counted as
// empty, and 36 tasks of one core ran on 16.
TEST_CASE("a task that asks for more than any VM has does not start") {
  coordinator_fixture f;
  (void)f.Report(f.MakeReport("vm"));
  f.AddJob("first", MakeSubmission({MakeStep(1)}));
  REQUIRE(f.Starts().size() == 1);
  const int64_t most = std::numeric_limits<int64_t>::max();
  auto hopeless = MakeStep(1);
  hopeless.demand = GENERATE_COPY(resources{most, 1, 0}, resources{1, most, 0},
                                  resources{1, 1, most},
                                  resources{most - 500, most - 500, 0});
  hopeless.best_effort = GENERATE(false, true);
  hopeless.estimate = GENERATE_COPY(millis(1'000), millis(most));
  if (hopeless.best_effort) {
    hopeless.demand.memory_mib = most;
  }
  f.AddJob("hopeless", MakeSubmission({hopeless, hopeless}));
  f.AddJob("many", MakeSubmission({MakeStep(40)}));
  const auto starts = f.Starts();
  CHECK(starts.size() == 15);
  CHECK(std::all_of(starts.begin(), starts.end(), [](const auto& start) {
    return start.run.task.job == "many";
  }));
}

TEST_CASE("tasks without demand do not start in any number on one VM") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto step = MakeStep(kMaxTasksPerJob);
  step.demand = {};
  world.AddJob(kJob, MakeSubmission({step}));
  world.AddJob("00000000000000bb", MakeSubmission({step}));
  size_t started = 0;
  for (int i = 0; i < 100; ++i) {
    started += world.Starts().size();
  }
  CHECK(started == kMaxRunsPerVm);
  step.gang = true;
  world.ReportRunning("vm2", {});
  world.AddJob("00000000000000cc", MakeSubmission({step}));
  world.AddJob("00000000000000dd", MakeSubmission({step}));
  for (int i = 0; i < 100; ++i) {
    started += world.Starts().size();
  }
  CHECK(started == size_t{2} * kMaxRunsPerVm);
}

TEST_CASE("no task starts on draining, silent or out-of-service VMs") {
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

TEST_CASE("a hung task is stopped, a throttled one is not") {
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
    throttled.answered = world.sequence;
    throttled.sequence = ++world.sequence;
    world.Report(throttled);
  }
  const auto stops = world.Stops();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0] == Run(0, 0));
}

TEST_CASE("an order without effect in the reports is resent") {
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

namespace {

// A VM whose runner reports every half second, lists nothing, and does not
// answer calls.
struct unreachable_vm {
  unreachable_vm(coordinator_fixture& in, std::string name)
      : world(in), vm(std::move(name)) {}

  // Returns the reply to the next report; `answered` if the runner received the
  // reply to the last one.
  report_reply Report(bool answered) {
    auto in = world.MakeReport(vm);
    in.runner_incarnation = runner;
    in.sequence = ++sequence;
    in.answered = answered ? sequence - 1 : 0;
    in.complete = complete;
    in.phase = phase;
    return world.Report(in);
  }

  coordinator_fixture& world;
  std::string vm;
  std::string runner = "life";
  uint64_t sequence = 0;
  bool complete = true;
  worker_phase phase = worker_phase::kReady;
};

constexpr millis kReportInterval{500};

// Advances the time in steps of a report interval, until a start is sent to
// `other`; returns how long that took, or nothing after 30 s.
std::optional<millis> TimeUntilStartOn(coordinator_fixture& world,
                                       unreachable_vm& silent,
                                       unreachable_vm& other) {
  const auto began = world.now;
  while (world.now - began < millis(30'000)) {
    world.now += kReportInterval;
    world.unix_ms += kReportInterval.count();
    (void)silent.Report(false);
    (void)other.Report(true);
    world.Tick();
    world.Commit();
    for (const auto& next : world.core->TakeOrders(world.now)) {
      if (next.vm == other.vm && !next.message.starts.empty()) {
        return std::chrono::duration_cast<millis>(world.now - began);
      }
      if (next.vm == silent.vm) {
        world.core->OnOrdersNotDelivered(next.vm, world.now);
      }
    }
  }
  return std::nullopt;
}

}  // namespace

// Regression, issue 63: such a start was sent again for good.
TEST_CASE("a start that its runner never receives runs on another VM") {
  coordinator_fixture world;
  unreachable_vm silent(world, "silent");
  unreachable_vm other(world, "other");
  silent.complete = GENERATE(true, false);
  (void)silent.Report(false);
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.core->OnOrdersNotDelivered("silent", world.now);
  const auto time = TimeUntilStartOn(world, silent, other);
  REQUIRE(time);
  // Starts are sent until replies have not been received for the report
  // timeout, and expire 2 s after the report that they answer.
  CHECK(*time <= coordinator_options{}.report_timeout + kStartValidity +
                     2 * kReportInterval);
}

TEST_CASE(
    "a start that an earlier runner process may have sent is waited for") {
  coordinator_fixture world;
  unreachable_vm silent(world, "silent");
  unreachable_vm other(world, "other");
  (void)silent.Report(false);
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.now += kReportInterval;
  silent.runner = "restarted";
  silent.sequence = 0;
  (void)silent.Report(false);
  world.core->OnOrdersNotDelivered("silent", world.now);
  const auto time = TimeUntilStartOn(world, silent, other);
  REQUIRE(time);
  const coordinator_options options;
  CHECK(*time > kStartLease + kMaxListAge);
  // Starts are sent for the report timeout, and a list may be late by 0.7 s.
  CHECK(*time <=
        std::max(options.report_timeout + kStartValidity,
                 WithClockMargin(kStartLease + kMaxListAge + millis(700))) +
            2 * kReportInterval);
}

TEST_CASE("a run is not over while an earlier one of its orders is valid") {
  coordinator_fixture world;
  unreachable_vm slow(world, "slow");
  unreachable_vm other(world, "other");
  const auto granted_at = world.now;
  const auto report = [&](unreachable_vm& vm, millis latency) {
    auto in = world.MakeReport(vm.vm);
    in.sequence = ++vm.sequence;
    in.answered = in.sequence - 1;
    in.boot_clock_ms -= latency.count();
    return world.core->OnReport(in, world.now, granted_at);
  };
  (void)report(slow, millis(0));
  world.now += millis(4'950);
  (void)report(slow, millis(0));
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  const auto expires_at = world.now + world.sent.back().message.valid_for;
  world.core->OnOrdersNotDelivered("slow", world.now);
  world.now += millis(900);
  (void)report(slow, millis(590));
  while (world.now + millis(100) < expires_at) {
    world.now += millis(100);
    (void)report(slow, millis(0));
    (void)report(other, millis(0));
    for (const auto& start : world.Starts()) {
      CHECK(start.run.run == 1);
    }
  }
}

TEST_CASE("orders that calls do not deliver go with the replies to reports") {
  coordinator_fixture world;
  unreachable_vm vm(world, "vm");
  (void)vm.Report(false);
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.core->OnOrdersNotDelivered("vm", world.now);
  world.now += kReportInterval;
  const auto reply = vm.Report(true);
  REQUIRE(reply.undelivered.size() == 1);
  REQUIRE(reply.undelivered[0].starts.size() == 1);
  CHECK(reply.undelivered[0].starts[0].run == Run(0, 0));
  // Calls go on, which shows whether they are answered again.
  CHECK(world.core->TakeOrders(world.now).size() == 1);
  world.core->CancelJob(kJob, world.now);
  world.now += kReportInterval;
  const auto stops = vm.Report(true).undelivered;
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].stops == std::vector<run_key>{Run(0, 0)});
  world.core->OnOrdersDelivered("vm");
  world.now += kReportInterval;
  CHECK(vm.Report(true).undelivered.empty());
  CHECK(world.Stops() == std::vector<run_key>{Run(0, 0)});
}

TEST_CASE("replies to reports carry one message of orders at a time") {
  constexpr uint32_t kTasks = 600;
  coordinator_fixture world;
  auto large = world.MakeReport("vm");
  large.capacity = {10'000'000, 10'000'000, 0};
  world.Report(large);
  auto job = MakeSubmission({MakeStep(kTasks)});
  job.job.payload.assign(4'000, 'p');
  world.AddJob(kJob, job);
  REQUIRE(world.Starts().size() == kTasks);
  world.core->OnOrdersNotDelivered("vm", world.now);
  world.now += kReportInterval;
  large.answered = large.sequence;
  large.sequence = ++world.sequence;
  const auto reply = world.Report(large);
  REQUIRE(reply.undelivered.size() == 1);
  CHECK(reply.undelivered[0].starts.size() > 1);
  CHECK(Encode(reply).size() < kMaxMessageBytes / 4);
}

TEST_CASE("a placement on a VM that takes no starts any more is given up") {
  coordinator_fixture world;
  unreachable_vm first(world, "first");
  unreachable_vm other(world, "other");
  (void)first.Report(true);
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  world.Tick();
  first.phase = worker_phase::kUnknown;
  first.complete = false;
  (void)first.Report(true);
  CHECK(world.Starts().empty());
  for (int i = 0; i < 7; ++i) {
    world.now += kReportInterval;
    (void)first.Report(true);
  }
  (void)other.Report(true);
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(world.sent.back().vm == "other");
}

TEST_CASE("members of a gang start together with the same run number") {
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

TEST_CASE("a gang is done when one member is done") {
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

// Regression, incident gang-checkpoints: each member restarted with its own
// checkpoint, or with none, although all must carry the same value.
TEST_CASE("members of a gang restart with the same checkpoint") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto gang = MakeStep(3);
  gang.gang = true;
  const auto job = MakeSubmission({gang});
  world.AddJob(kJob, job);
  REQUIRE(world.Starts().size() == 3);
  const auto values = [](const std::vector<start_order>& starts) {
    std::set<std::string> out;
    for (const auto& start : starts) {
      out.insert(start.checkpoint);
    }
    return out;
  };
  uint64_t ends = 0;
  const auto end = [&](uint32_t index, uint32_t run, const std::string& saved) {
    auto in = world.MakeReport("vm");
    in.ends.push_back(
        {++ends, Run(0, index, run), run_result::kStopped, saved});
    world.Report(in);
  };
  SECTION("one member has none") {
    const uint32_t without = GENERATE(0U, 1U, 2U);
    for (uint32_t i = 0; i < 3; ++i) {
      end(i, 1, i == without ? "" : "saved");
    }
    const auto starts = world.Starts();
    REQUIRE(starts.size() == 3);
    CHECK(values(starts) == std::set<std::string>{"saved"});
  }
  SECTION("the members have different ones") {
    for (uint32_t i = 0; i < 3; ++i) {
      end(i, 1, "saved" + std::to_string(i));
    }
    const auto starts = world.Starts();
    REQUIRE(starts.size() == 3);
    CHECK(values(starts) == std::set<std::string>{"saved2"});
    // A member that ends without a newer one does not bring back the old one.
    end(1, 2, "newer");
    end(0, 2, "");
    end(2, 2, "");
    const auto again = world.Starts();
    REQUIRE(again.size() == 3);
    CHECK(values(again) == std::set<std::string>{"newer"});
  }
  SECTION("an order to one member is sent again after another has ended") {
    for (uint32_t i = 0; i < 3; ++i) {
      end(i, 1, "saved");
    }
    REQUIRE(world.Starts().size() == 3);
    end(0, 2, "newer");
    world.now += millis(2'000);
    world.ReportRunning("vm", {Run(0, 1, 2)});
    const auto starts = world.Starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run == Run(0, 2, 2));
    CHECK(starts[0].checkpoint == "saved");
  }
  // Found by the simulation (silent workers among other faults, seed 718).
  SECTION("an order to one member is sent again after the gang is done") {
    for (uint32_t i = 0; i < 3; ++i) {
      end(i, 1, "saved");
    }
    REQUIRE(world.Starts().size() == 3);
    auto in = world.MakeReport("vm");
    in.ends.push_back({++ends, Run(0, 0, 2), run_result::kDone, ""});
    world.Report(in);
    world.now += millis(2'000);
    world.ReportRunning("vm", {Run(0, 1, 2)});
    for (const auto& start : world.Starts()) {
      CHECK(start.checkpoint == "saved");
    }
  }
  SECTION("an earlier version has stored different ones") {
    auto record = MakeJobRecord(job.job);
    record.phase = job_phase::kRunning;
    record.tasks[0][0][1].checkpoint = "first";
    record.tasks[0][0][2].checkpoint = "second";
    world.Restart(2);
    world.core->AddJob(kJob, job, record, world.now, world.unix_ms);
    auto in = world.MakeReport("vm");
    in.epoch = 2;
    world.Report(in);
    const auto starts = world.Starts();
    REQUIRE(starts.size() == 3);
    CHECK(values(starts).size() == 1);
    CHECK(values(starts).count("") == 0);
  }
}

// Regression, incident done-after-grant: the end of a run that had been taken
// for ended was acknowledged, and its task started again.
TEST_CASE("a task whose end comes after its grant does not start again") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto step = MakeStep(1);
  step.gang = GENERATE(false, true);
  world.AddJob(kJob, MakeSubmission({step}));
  REQUIRE(world.Starts().size() == 1);
  // The VM is not heard of until its grant is over.
  world.now += millis(60'000);
  world.Tick();
  const bool has_restarted = GENERATE(false, true);
  if (has_restarted) {
    world.ReportRunning("other", {});
    REQUIRE(world.Starts().size() == 1);
  }
  world.ReportEnd("vm", 1, Run(0, 0), run_result::kDone);
  world.ReportRunning("vm", {});
  if (has_restarted && !step.gang) {
    CHECK(world.Stops() == std::vector<run_key>{Run(0, 0, 2)});
  }
  CHECK(world.Starts().empty());
  if (!has_restarted || !step.gang) {
    CHECK(world.core->FindJobView(kJob)->phase == job_phase::kCompleted);
  }
}

TEST_CASE("occurrences start when they are due") {
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

TEST_CASE("a long-running task is restarted whether it is done or failed") {
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

// Regression, incident moves-ignored-disruption-budget: all three tasks of a
// step that tolerates one missing were moved within a second.
TEST_CASE("moves keep the disruption budget of a long-running step") {
  coordinator_fixture world;
  auto step = MakeStep(3);
  step.long_running = true;
  step.best_effort = true;
  step.saves_progress = true;
  step.image = "filler";
  step.max_per_vm = 1;
  const int32_t budget = GENERATE(-1, 0, 1, 2);
  step.disruption_budget = budget;
  for (const char* vm : {"a", "b", "c"}) {
    world.ReportRunning(vm, {});
  }
  world.AddJob(kJob, MakeSubmission({step}));
  REQUIRE(world.Starts().size() == 3);
  // The VM of each task; the tasks are throttled from now on.
  std::map<std::string, run_key> runs;
  for (const auto& next : world.sent) {
    for (const auto& start : next.message.starts) {
      runs[next.vm] = start.run;
    }
  }
  REQUIRE(runs.size() == 3);
  std::set<run_key> stopped;
  for (int i = 0; i < 60; ++i) {
    world.now += millis(100);
    world.unix_ms += 100;
    for (const auto& [vm, run] : runs) {
      auto in = world.MakeReport(vm);
      if (!stopped.contains(run)) {
        run_status status;
        status.run = run;
        status.started = true;
        status.percent = 100;
        status.pace = 5;
        status.load = 50;
        status.checkpoint = "saved";
        in.runs.push_back(status);
      }
      world.Report(in);
    }
    for (const char* vm : {"d", "e", "f"}) {
      world.ReportRunning(vm, {});
    }
    for (const auto& run : world.Stops()) {
      stopped.insert(run);
    }
    world.Commit();
  }
  // The tasks that were stopped stay away, as no end of theirs is reported.
  CHECK(stopped.size() == (budget < 0 ? 3U : static_cast<size_t>(budget)));
}

// Regression, found by the simulation (one worker at a time falls silent, seed
// 954): a runner goes on reporting the last lists of a worker that is lost, so
// its tasks counted as at work, and others were moved.
TEST_CASE("a task whose worker does not reply counts as unavailable") {
  coordinator_fixture world;
  auto step = MakeStep(2);
  step.long_running = true;
  step.best_effort = true;
  step.saves_progress = true;
  step.image = "filler";
  step.max_per_vm = 1;
  step.disruption_budget = 1;
  world.ReportRunning("a", {});
  world.ReportRunning("b", {});
  world.AddJob(kJob, MakeSubmission({step}));
  REQUIRE(world.Starts().size() == 2);
  std::map<std::string, run_key> runs;
  for (const auto& next : world.sent) {
    for (const auto& start : next.message.starts) {
      runs[next.vm] = start.run;
    }
  }
  const bool replies = GENERATE(false, true);
  size_t stops = 0;
  for (int i = 0; i < 60; ++i) {
    world.now += millis(100);
    world.unix_ms += 100;
    for (const auto& [vm, run] : runs) {
      auto in = world.MakeReport(vm);
      run_status status;
      status.run = run;
      status.started = true;
      status.percent = 100;
      status.pace = vm == "a" ? 5 : 100;
      status.load = 50;
      status.checkpoint = "saved";
      in.runs.push_back(status);
      in.complete = vm == "a" || replies;
      world.Report(in);
    }
    world.ReportRunning("c", {});
    stops += world.Stops().size();
    world.Commit();
  }
  CHECK((stops > 0) == replies);
}

// Regression, incident placed-jobs-not-pending: jobs that were placed on a lost
// VM and had not begun were not counted.
TEST_CASE("a job is pending until one of its tasks has begun") {
  coordinator_fixture world;
  std::vector<std::string> begun;
  world.log = [&begun](const std::string& event, const auto& fields) {
    if (event == "job_begun") {
      begun.push_back(fields[1].second);
    }
  };
  world.Restart(1);
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  CHECK(world.core->PendingJobCount(kQueue) == 1);
  REQUIRE(world.Starts().size() == 1);
  CHECK(world.core->PendingJobCount(kQueue) == 1);
  SECTION("its run is listed") {
    world.ReportRunning("vm", {Run(0, 0)});
    CHECK(world.core->PendingJobCount(kQueue) == 0);
    CHECK(begun == std::vector<std::string>{"listed"});
    SECTION("and is lost") {
      world.now += millis(60'000);
      world.Tick();
      CHECK(world.core->PendingJobCount(kQueue) == 0);
    }
  }
  SECTION("its run has ended before it was listed") {
    world.ReportEnd("vm", 1, Run(0, 0), run_result::kFailed);
    CHECK(world.core->PendingJobCount(kQueue) == 0);
    CHECK(begun == std::vector<std::string>{"failed"});
  }
  SECTION("its start is refused") {
    auto in = world.MakeReport("vm");
    in.refusals.push_back({Run(0, 0), "expired"});
    world.Report(in);
    CHECK(world.core->PendingJobCount(kQueue) == 1);
  }
  SECTION("its VM is lost") {
    world.now += millis(60'000);
    world.Tick();
    CHECK(world.core->PendingJobCount(kQueue) == 1);
  }
  SECTION("it is not known whether it has begun under an earlier leader") {
    world.Tick();
    const auto job = MakeSubmission({MakeStep(1)});
    auto record = MakeJobRecord(job.job);
    record.phase = job_phase::kRunning;
    const bool has_begun = GENERATE(false, true);
    record.tasks[0][0][0].checkpoint = has_begun ? "saved" : "";
    world.Restart(2);
    world.core->AddJob(kJob, job, record, world.now, world.unix_ms);
    CHECK(world.core->PendingJobCount(kQueue) == (has_begun ? 0 : 1));
  }
}

TEST_CASE("a last attempt avoids a VM with a recent failure") {
  coordinator_fixture world;
  world.ReportRunning("bad", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.ReportEnd("bad", 1, Run(0, 0, 1), run_result::kFailed);
  world.ReportRunning("good", {});
  REQUIRE(world.Starts().size() == 1);
  CHECK(world.sent.back().vm == "good");
}

TEST_CASE("a lease counts from the time the last committed write was sent") {
  coordinator_fixture world;
  const auto in = world.MakeReport("vm");
  const auto answer =
      world.core->OnReport(in, world.now, world.now - millis(2'000));
  CHECK(answer.grant == coordinator_options{}.lease_duration - millis(2'000));
}

TEST_CASE("no task is placed on a VM whose lease has expired") {
  coordinator_fixture world;
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  (void)world.core->OnReport(world.MakeReport("vm"), world.now,
                             world.now - coordinator_options{}.lease_duration);
  CHECK(world.Starts().empty());
  world.ReportRunning("vm", {});
  CHECK(world.Starts().size() == 1);
  CHECK(world.sent.back().message.valid_for == kStartValidity);
}

TEST_CASE("a runner that has had no contact with its worker gets no lease") {
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
    in.runner_incarnation = "second life";
    in.worker_incarnation = 0;
    in.phase = worker_phase::kUnknown;
    CHECK(world.Report(in).grant == millis(0));
  }
  world.ReportRunning("other", {});
  CHECK(world.Starts().size() == 1);
}

// In an overload more tasks are ready than fit, and hundreds of reports a
// second change nothing. The cost of placement must not grow with the reports,
// or the coordinator falls behind under load.
TEST_CASE(
    "reports that change nothing do not cause a backlog to be scored again") {
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
  // Passes also run on a timer, but jobs with the demand of one that did not
  // fit are not scored.
  world.now += millis(1'000);
  CHECK(world.Starts().empty());
  CHECK(world.core->counters().vms_scored - before <= kVms);
}

TEST_CASE("freed capacity is used in the next pass") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(2, kVmSize.millicores)}));
  REQUIRE(world.Starts().size() == 1);
  CHECK(world.Starts().empty());
  world.ReportEnd("vm", 1, Run(0, 0), run_result::kDone);
  CHECK(world.Starts().size() == 1);
}

TEST_CASE("a report without the list of runs leaves the other runs unchanged") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(2)}));
  REQUIRE(world.Starts().size() == 2);
  world.ReportRunning("vm", {Run(0, 0), Run(0, 1)});
  world.now += millis(1'000);
  auto in = world.MakeReport("vm");
  in.omits_runs = true;
  in.complete = false;
  in.ends.push_back({1, Run(0, 0), run_result::kDone, ""});
  world.Report(in);
  // The other run is neither ended nor ordered again.
  CHECK(world.Starts().empty());
  world.ReportEnd("vm", 2, Run(0, 1), run_result::kDone);
  world.Commit();
  CHECK(world.core->FindJobView(kJob)->phase == job_phase::kCompleted);
}

// Regression (fault injection on tetoszin-prod, scale-1 --seed 245807505480):
// the order was withheld when the data centre was taken out of service, and the
// task stayed assigned to its VM until the data centre returned.
TEST_CASE("a task is moved if its VM stops accepting starts before it starts") {
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
  // The stop makes the runner guarantee that the run can no longer start.
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

// The end of a burst: one VM, jobs that each need all of it, and one job that
// is late already. The job that can still meet its objective starts first.
TEST_CASE("late jobs yield to jobs that can still meet their objective") {
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

// Two VMs with a serving task each. The load of one swings and is low just now.
TEST_CASE("best-effort tasks do not fill the trough of a swinging load") {
  coordinator_fixture world;
  world.ReportRunning("steady", {});
  world.ReportRunning("a-swinging", {});
  auto serving = MakeStep(2);
  serving.long_running = true;
  serving.latency_target = millis(50);
  serving.image = "web";
  serving.max_per_vm = 1;
  world.AddJob("serving", MakeSubmission({serving}));
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 2);
  const auto report = [&](const std::string& vm, int32_t latency_ms) {
    auto in = world.MakeReport(vm);
    for (const auto& next : world.sent) {
      if (next.vm == vm && !next.message.starts.empty()) {
        run_status status;
        status.run = next.message.starts[0].run;
        status.started = true;
        status.percent = 100;
        status.load = latency_ms;
        in.runs.push_back(status);
      }
    }
    world.Report(in);
  };
  report("steady", 15);
  report("a-swinging", 45);
  world.now += millis(1'000);
  report("steady", 15);
  report("a-swinging", 5);
  auto batch = MakeStep(1);
  batch.best_effort = true;
  batch.image = "batch";
  auto job = MakeSubmission({batch});
  // A job that is late takes what there is at the moment.
  const bool is_late = GENERATE(false, true);
  job.accepted_unix_ms = is_late ? 0 : world.unix_ms;
  world.AddJob("batch", job);
  world.sent.clear();
  REQUIRE(world.Starts().size() == 1);
  const auto placed = std::find_if(
      world.sent.begin(), world.sent.end(),
      [](const auto& next) { return !next.message.starts.empty(); });
  REQUIRE(placed != world.sent.end());
  CHECK(placed->vm == (is_late ? "a-swinging" : "steady"));
}

// The recent peak leaves room for two of the tasks, the present latency for
// three.
TEST_CASE("all tasks of a step are placed by the same latency") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto serving = MakeStep(1);
  serving.long_running = true;
  serving.latency_target = millis(50);
  serving.image = "web";
  world.AddJob("serving", MakeSubmission({serving}));
  REQUIRE(world.Starts().size() == 1);
  for (const int32_t latency_ms : {20, 5}) {
    auto in = world.MakeReport("vm");
    run_status status;
    status.run = {{"serving", 0, 0, 0}, 1};
    status.started = true;
    status.percent = 100;
    status.load = latency_ms;
    in.runs.push_back(status);
    world.Report(in);
    world.now += millis(100);
  }
  auto batch = MakeStep(3, 7'000);
  batch.best_effort = true;
  batch.image = "batch";
  auto job = MakeSubmission({batch});
  job.accepted_unix_ms = world.unix_ms;
  world.AddJob("batch", job);
  CHECK(world.Starts().size() == 2);
}

// Regression (tetoszin-prod, trouble-2 --seed 917774748814): no VM promised
// enough speed, and a job had nothing running while most VMs were idle.
TEST_CASE("a job does not wait for a fast VM without limit") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  auto serving = MakeStep(1);
  serving.long_running = true;
  serving.latency_target = millis(50);
  serving.image = "web";
  world.AddJob("serving", MakeSubmission({serving}));
  REQUIRE(world.Starts().size() == 1);
  const auto report = [&world](const std::vector<run_key>& also) {
    auto in = world.MakeReport("vm");
    run_status status;
    status.run = {{"serving", 0, 0, 0}, 1};
    status.started = true;
    status.percent = 100;
    status.load = 49;
    in.runs.push_back(status);
    for (const auto& run : also) {
      status.run = run;
      status.load = 100;
      in.runs.push_back(status);
    }
    world.Report(in);
  };
  report({});
  auto batch = MakeStep(3);
  batch.best_effort = true;
  batch.image = "batch";
  world.AddJob("batch", MakeSubmission({batch}));
  CHECK(world.Starts().empty());
  world.now += coordinator_options{}.best_effort_patience + millis(50);
  report({});
  const auto first = world.Starts();
  REQUIRE(first.size() == 1);
  // The job makes progress, so its other tasks wait for speed.
  world.now += coordinator_options{}.best_effort_patience + millis(50);
  report({first[0].run});
  CHECK(world.Starts().empty());
}

// A standby that takes over reads the jobs before the catalogue.
TEST_CASE("the objective of a job follows a catalogue that comes later") {
  coordinator_fixture world;
  coordinator_options options;
  world.core.emplace(options);
  auto whole_vm = MakeSubmission({MakeStep(1, kVmSize.millicores)});
  whole_vm.accepted_unix_ms = world.unix_ms;
  auto longer = whole_vm;
  longer.queue = "longer";
  longer.accepted_unix_ms -= 500;
  world.AddJob("a", longer);
  world.AddJob("b", whole_vm);
  auto catalogue = MakeCatalogue();
  catalogue.queues.push_back(catalogue.queues.front());
  catalogue.queues.back().name = "longer";
  catalogue.queues.back().objective_factor = 10;
  world.core->SetCatalogue(catalogue);
  world.ReportRunning("vm", {});
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].run.task.job == "b");
}

TEST_CASE("a job that has been late for long stops yielding") {
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

TEST_CASE("ended jobs are moved out of the live ones, and deleted later") {
  coordinator_fixture world;
  for (const char* id : {"a", "a1", "a2"}) {
    world.AddJob(id, MakeSubmission({MakeStep(1)}));
    world.core->CancelJob(id, world.now);
    world.now += millis(1'000);
  }
  CHECK(world.core->TakeEnded(world.now, 10).empty());  // Not durable yet.
  CHECK(world.core->TakeBatch(world.now).size() == 3);
  world.core->OnCommitted(world.now);
  CHECK(world.core->TakeEnded(world.now, 2).ends.size() == 2);
  const auto ended = world.core->TakeEnded(world.now, 10);
  REQUIRE(ended.ends.size() == 3);
  CHECK(ended.ends.at("a").phase == job_phase::kCancelled);
  world.core->OnEndedWritten(ended);
  CHECK(world.core->TakeEnded(world.now, 10).empty());
  CHECK(world.core->FindJobView("a")->phase == job_phase::kCancelled);
  // A late copy of the row does not bring the job back.
  world.AddJob("a", MakeSubmission({MakeStep(1)}));
  CHECK(world.core->job_count() == 0);
  const auto deletes = world.core->TakeBatch(world.now);
  CHECK(deletes.size() == 3);
  CHECK_FALSE(deletes[0].record);
  world.core->OnNotCommitted();
  CHECK(world.core->TakeBatch(world.now).size() == 3);
  world.core->OnCommitted(world.now);
  CHECK(world.core->TakeBatch(world.now).empty());
  world.core->OnCommitted(world.now);
  world.now += coordinator_options{}.ended_job_retention - millis(1'500);
  const auto expired = world.core->TakeEnded(world.now, 10);
  CHECK(expired.forgets == std::vector<std::string>{"a", "a1"});
  world.core->OnEndedWritten(expired);
  CHECK_FALSE(world.core->FindJobView("a"));
  CHECK(world.core->FindJobView("a2"));
}

// Regression, review/5: a transaction beyond the store's limits is refused
// whole and for good.
TEST_CASE("batches of large jobs stay within the limits of the store") {
  constexpr size_t kMaxEntries = 98;  // besides the leader row
  constexpr size_t kMaxBatchBytes = 700'000;
  coordinator_fixture world;
  // A VM takes kMaxRunsPerVm runs, so there is one for each job.
  const auto job = MakeSubmission({MakeStep(kMaxTasksPerJob)});
  for (const char* id : {"aa", "bb", "cc", "dd"}) {
    auto vm = world.MakeReport(std::string("vm-") + id);
    vm.capacity = {10'000'000, 10'000'000, 0};
    world.Report(vm);
    world.AddJob(id, job);
  }
  world.Tick();
  size_t rows = 0;
  for (int batches = 0; world.core->HasUncommitted(); ++batches) {
    REQUIRE(batches < 10);
    size_t bytes = 0;
    const auto batch = world.core->TakeBatch(world.now);
    for (const auto& row : batch) {
      CHECK(row.record->size() <= kMaxProgressRowBytes);
      bytes += row.record->size();
    }
    CHECK(batch.size() <= kMaxEntries);
    CHECK(bytes <= kMaxBatchBytes);
    rows += batch.size();
    world.core->OnCommitted(world.now);
  }
  CHECK(rows == size_t{4} * ProgressRowCount(MakeJobRecord(job.job)));
  // From then on only the rows that change are written.
  const run_key run{{"bb", 0, 0, 500}, 1};
  std::string host;
  for (const auto& next : world.core->TakeOrders(world.now)) {
    for (const auto& start : next.message.starts) {
      host = start.run == run ? next.vm : host;
    }
  }
  REQUIRE_FALSE(host.empty());
  world.ReportEnd(host, 1, run, run_result::kDone);
  const auto batch = world.core->TakeBatch(world.now);
  REQUIRE(batch.size() == 1);
  CHECK(batch[0].key == progress_key{"bb", 500 / kTasksPerRow});
}

// Regression, review/4: a runner rejects a longer message, and the coordinator
// sent it again for good.
TEST_CASE("orders to one VM are divided into messages that it accepts") {
  constexpr uint32_t kTasks = 600;
  coordinator_fixture world;
  auto vm = world.MakeReport("vm");
  vm.capacity = {10'000'000, 10'000'000, 0};
  world.Report(vm);
  auto job = MakeSubmission({MakeStep(kTasks)});
  job.job.payload.assign(4'000, 'p');
  world.AddJob(kJob, job);
  world.Tick();
  world.Commit();
  report_reply reply;
  const auto check = [&](size_t starts, size_t stops) {
    std::set<run_key> ordered;
    size_t count = 0;
    CHECK(Encode(reply).size() < kMaxMessageBytes);
    auto messages = std::exchange(reply.undelivered, {});
    for (const auto& next : world.core->TakeOrders(world.now)) {
      CHECK(next.vm == "vm");
      messages.push_back(next.message);
    }
    for (const auto& message : messages) {
      CHECK(Encode(message).size() < kMaxMessageBytes);
      for (const auto& start : message.starts) {
        ordered.insert(start.run);
        ++count;
      }
      ordered.insert(message.stops.begin(), message.stops.end());
      count += message.stops.size();
    }
    CHECK(ordered.size() == starts + stops);
    CHECK(count == starts + stops);
  };
  check(kTasks, 0);
  check(0, 0);
  // A message that did not arrive is sent again after the next report.
  world.core->OnOrdersNotDelivered("vm", world.now);
  world.now += millis(100);
  reply = world.ReportRunning("vm", {Run(0, 0)});
  check(kTasks - 1, 0);
  world.core->CancelJob(kJob, world.now);
  check(0, kTasks);
}

TEST_CASE("a checkpoint is kept until its task is done, if it can be stored") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  const auto job = MakeSubmission({MakeStep(1)});
  world.AddJob(kJob, job);
  REQUIRE(world.Starts().size() == 1);
  const auto stop = [&](uint64_t number, uint32_t run, run_result how,
                        const std::string& checkpoint) {
    auto in = world.MakeReport("vm");
    in.ends.push_back({number, Run(0, 0, run), how, checkpoint});
    world.Report(in);
    return ReadProgress(job, world.core->TakeBatch(world.now))
        .tasks[0][0][0]
        .checkpoint;
  };
  CHECK(stop(1, 1, run_result::kStopped, "first") == "first");
  world.core->OnCommitted(world.now);
  REQUIRE(world.Starts().size() == 1);
  // The earlier one serves instead of one that is too long.
  const std::string too_long(kMaxCheckpointBytes + 1, 'c');
  CHECK(stop(2, 2, run_result::kStopped, too_long) == "first");
  world.core->OnCommitted(world.now);
  const auto starts = world.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].checkpoint == "first");
  CHECK(stop(3, 3, run_result::kDone, "last").empty());
}

// A part of the store carries out one transaction after another, so one that
// spans parts would delay the acceptance of jobs.
TEST_CASE("ended jobs are written one part of the store at a time") {
  coordinator_fixture world;
  for (const char* id : {"1a", "2a", "1b"}) {
    world.AddJob(id, MakeSubmission({MakeStep(1)}));
    world.core->CancelJob(id, world.now);
    world.Commit();
  }
  const auto first = world.core->TakeEnded(world.now, 10);
  CHECK(first.ends.size() == 2);
  CHECK(first.ends.contains("1b"));
  world.core->OnEndedWritten(first);
  CHECK(world.core->TakeEnded(world.now, 10).ends.contains("2a"));
}

// A late end used to delete an expired job that the next batch looked for.
TEST_CASE("a job stays among the live ones until its last run has ended") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  world.core->CancelJob(kJob, world.now);
  world.Commit();
  world.now += coordinator_options{}.ended_job_retention + millis(1'000);
  CHECK(world.core->TakeEnded(world.now, 10).empty());
  world.ReportEnd("vm", 1, Run(0, 0, 1), run_result::kStopped);
  CHECK(world.core->TakeEnded(world.now, 10).empty());
  world.Commit();
  const auto ended = world.core->TakeEnded(world.now, 10);
  REQUIRE(ended.ends.size() == 1);
  world.core->OnEndedWritten(ended);
  CHECK_NOTHROW(world.Commit());
  world.core->OnEndedWritten(world.core->TakeEnded(world.now, 10));
  CHECK_FALSE(world.core->FindJobView(kJob));
  CHECK_NOTHROW(world.Commit());
}

TEST_CASE("a job that ended under an earlier leader is archived by the next") {
  coordinator_fixture world;
  const auto job = MakeSubmission({MakeStep(1)});
  auto record = MakeJobRecord(job.job);
  record.phase = job_phase::kRunning;
  record.tasks[0][0][0].phase = task_phase::kDone;
  world.core->AddJob(kJob, job, record, world.now, world.unix_ms);
  world.core->AddLeftoverProgress({"gone", 3});
  const auto ended = world.core->TakeEnded(world.now, 10);
  REQUIRE(ended.ends.size() == 1);
  CHECK(ended.ends.begin()->second.phase == job_phase::kCompleted);
  const auto batch = world.core->TakeBatch(world.now);
  REQUIRE(batch.size() == 1);
  CHECK(batch[0].key == progress_key{"gone", 3});
  CHECK_FALSE(batch[0].record);
}

// Regression: a runner whose process is new, and one that was greeted before
// the kept weights were read, throttled by the initial weights until the next
// start on its VM.
TEST_CASE("runners get restored weights without a start") {
  coordinator_fixture world;
  world.keep_interference = true;
  world.Restart(1);
  world.ReportRunning("vm", {});
  world.ReportRunning("idle", {});
  auto serving = MakeStep(1);
  serving.long_running = true;
  serving.image = "web";
  serving.latency_target = millis(50);
  world.AddJob(kJob, MakeSubmission({serving}));
  REQUIRE(world.Starts().size() == 1);
  const auto placed = std::find_if(
      world.sent.begin(), world.sent.end(),
      [](const auto& next) { return !next.message.starts.empty(); });
  const std::string vm = placed->vm;
  report_reply reply;
  const auto weights = [&] {
    std::map<std::string, std::vector<pair_weight>> out;
    const auto add = [&](const std::string& to, const orders& message) {
      if (!message.weights.empty()) {
        out[to] = message.weights;
        for (auto& at : out[to]) {
          at.weight = std::round(at.weight * 1'000) / 1'000;  // as encoded
        }
      }
    };
    for (const auto& message : std::exchange(reply.undelivered, {})) {
      add(vm, message);
    }
    for (const auto& next : world.core->TakeOrders(world.now)) {
      add(next.vm, next.message);
    }
    return out;
  };
  const auto report = [&](const std::string& life,
                          worker_phase phase = worker_phase::kReady) {
    auto in = world.MakeReport(vm);
    in.runner_incarnation = life;
    in.phase = phase;
    run_status status;
    status.run = Run(0, 0);
    status.started = true;
    in.runs.push_back(status);
    reply = world.Report(in);
  };
  report("life");
  CHECK(weights().empty());
  const std::vector<learned_pair> kept{{"bad", "web", 1.5, 20, millis(0)},
                                       {"bad", "elsewhere", 1, 20, millis(0)}};
  const std::map<std::string, std::vector<pair_weight>> expected{
      {vm, {{"bad", "web", 1.5}}}};
  CHECK(world.core->ImportInterference(kept, world.unix_ms) == 2);
  CHECK(world.core->known_pairs() == 2);
  CHECK(weights() == expected);
  // Only once while nothing has changed.
  report("life");
  CHECK(weights().empty());
  CHECK(world.core->ImportInterference(kept, world.unix_ms) == 0);
  CHECK(weights().empty());
  SECTION("a new process of the runner") {
    world.now += millis(2'000);
    world.sequence = 0;
    report("next life");
    CHECK(weights() == expected);
    report("next life");
    CHECK(weights().empty());
  }
  SECTION("a new process on a VM where nothing may start") {
    world.now += millis(2'000);
    world.sequence = 0;
    report("next life", worker_phase::kDraining);
    CHECK(weights() == expected);
  }
  SECTION("orders that were lost") {
    world.core->OnOrdersNotDelivered(vm, world.now);
    CHECK(weights().empty());
    report("life");
    CHECK(weights() == expected);
  }
}

TEST_CASE("without the setting weights are sent with starts only") {
  coordinator_fixture world;
  auto serving = MakeStep(1);
  serving.long_running = true;
  serving.image = "web";
  serving.latency_target = millis(50);
  world.ReportRunning("vm", {});
  world.AddJob(kJob, MakeSubmission({serving}));
  REQUIRE(world.Starts().size() == 1);
  world.ReportRunning("vm", {Run(0, 0)});
  CHECK(world.core->ImportInterference({{"bad", "web", 1.5, 20, millis(0)}},
                                       world.unix_ms) == 1);
  for (const auto& next : world.core->TakeOrders(world.now)) {
    CHECK(next.message.weights.empty());
  }
}

// Guards against a job that waits for good: the order was lost, and the reports
// of a VM whose worker hangs renew its lease but are never complete.
TEST_CASE("a run that never started does not wait for a hung worker") {
  coordinator_fixture world;
  world.ReportRunning("vm", {});
  world.AddJob("job", MakeSubmission({MakeStep(1)}));
  REQUIRE(world.Starts().size() == 1);
  size_t starts = 0;
  for (int i = 0; i < 60 && starts == 0; ++i) {
    world.now += millis(500);
    auto hung = world.MakeReport("vm");
    hung.phase = worker_phase::kUnknown;
    hung.complete = false;
    world.Report(hung);
    world.ReportRunning("other", {});
    starts = world.Starts().size();
  }
  CHECK(starts == 1);
}

// Guards against a job that waits for good: its only run was never started, and
// the others wait for speed as if it made progress.
TEST_CASE("tasks do not wait for speed beside a run that has not started") {
  coordinator_fixture world;
  world.ReportRunning("a", {});
  world.ReportRunning("b", {});
  auto serving = MakeStep(2);
  serving.long_running = true;
  serving.latency_target = millis(50);
  serving.image = "web";
  serving.max_per_vm = 1;
  world.AddJob("serving", MakeSubmission({serving}));
  const auto placed = world.Starts();
  REQUIRE(placed.size() == 2);
  std::map<std::string, run_key> serving_on;
  for (const auto& message : world.sent) {
    for (const auto& start : message.message.starts) {
      serving_on[message.vm] = start.run;
    }
  }
  const auto report = [&](const std::string& vm, bool hung) {
    auto in = world.MakeReport(vm);
    in.complete = !hung;
    in.phase = hung ? worker_phase::kUnknown : worker_phase::kReady;
    run_status status;
    status.run = serving_on.at(vm);
    status.started = true;
    status.percent = 100;
    status.load = 49;
    in.runs.push_back(status);
    world.Report(in);
  };
  report("a", false);
  report("b", false);
  auto batch = MakeStep(3);
  batch.best_effort = true;
  batch.image = "batch";
  world.AddJob("batch", MakeSubmission({batch}));
  CHECK(world.Starts().empty());
  world.now += coordinator_options{}.best_effort_patience + millis(50);
  report("a", false);
  report("b", false);
  world.sent.clear();
  REQUIRE(world.Starts().size() == 1);
  std::string hung;
  for (const auto& message : world.sent) {
    hung = message.message.starts.empty() ? hung : message.vm;
  }
  // The order is lost, and the worker there hangs.
  const std::string other = hung == "a" ? "b" : "a";
  size_t starts = 0;
  for (int i = 0; i < 20 && starts == 0; ++i) {
    world.now += millis(500);
    report(hung, true);
    report(other, false);
    starts = world.Starts().size();
  }
  CHECK(starts == 1);
}

}  // namespace chiveglade::workflow
