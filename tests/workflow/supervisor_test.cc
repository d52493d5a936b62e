#include <catch2/catch.hpp>

#include "chiveglade/workflow/job_record.h"
#include "chiveglade/workflow/supervisor.h"

namespace chiveglade::workflow {

namespace {

constexpr int64_t kIncarnation = 5'000;
constexpr millis kGrant{7'000};

// A supervisor whose worker and coordinator are scripted by the test.
struct fixture {
  // Its process is older than any start that an earlier one can have sent.
  fixture() {
    RestartRunner();
    now += WithClockMargin(supervisor_options{}.worker_lease);
    core->OnHeartbeat(MakeHeartbeat(1), now);
    Lease({}, {});
    Report();
  }

  // Replaces the runner's process.
  void RestartRunner() {
    supervisor_options options;
    options.vm = "vm";
    options.address = "runner";
    options.runner_incarnation = "life";
    core.emplace(std::move(options));
    core->OnHeartbeat(MakeHeartbeat(1), now);
    core->OnCoordinator(1, "coordinator");
    Lease({}, {});
    Report();
  }

  // A heartbeat of the worker in its current incarnation.
  worker_heartbeat MakeHeartbeat(uint64_t sequence,
                                 bool draining = false) const {
    worker_heartbeat out;
    out.instance = "i-1";
    out.incarnation = incarnation;
    out.sequence = sequence;
    out.service = "service";
    out.capacity = {16'000, 64'000, 0};
    out.draining = draining;
    return out;
  }

  // Orders a run, starts it and has the worker list it.
  void StartRun(uint32_t index) {
    Order({Start(index)});
    const auto call = core->TakeStarts(now).at(0);
    core->OnStartReply(call, call_status::kOk, now, now);
    Lease({Run(index)}, {});
  }

  void Report(millis grant = kGrant, uint64_t acknowledged = 0) {
    last = core->MakeReport(now);
    core->OnReportReply(last, {core->epoch(), grant, incarnation, acknowledged},
                        now);
  }

  lease_call Lease(const std::vector<run_key>& running,
                   const std::vector<run_end>& ended,
                   bool cut = false) {
    const auto call = core->NextLease(now);
    REQUIRE(call);
    lease_reply reply;
    reply.status = call_status::kOk;
    reply.clock_ms = ClockMs();
    reply.incarnation = incarnation;
    for (const auto& run : running) {
      run_status status;
      status.run = run;
      reply.runs.push_back(status);
    }
    reply.ends = ended;
    reply.complete = !cut;
    const auto sent = now;
    now += millis(5);
    core->OnLeaseReply(*call, reply, sent, now);
    return *call;
  }

  // A heartbeat of the worker's next incarnation, under the same name, which
  // the worker then confirms.
  void HearNextIncarnation() {
    ++incarnation;
    REQUIRE(core->OnHeartbeat(MakeHeartbeat(1), now));
    Probe();
  }

  // The worker replies to the call that asks for its incarnation.
  void Probe() {
    const auto call = core->TakeProbe(now);
    REQUIRE(call);
    CHECK(call->instance.empty());
    CHECK(call->acknowledged == 0);
    lease_reply reply;
    reply.status = call_status::kOk;
    reply.clock_ms = ClockMs();
    reply.incarnation = incarnation;
    core->OnLeaseReply(*call, reply, now, now);
  }

  void FailLease(call_status status, millis after) {
    const auto call = core->NextLease(now);
    if (call) {
      const auto sent = now;
      now += after;
      core->OnLeaseReply(*call, {status, 0, 0, {}, {}}, sent, now);
    }
  }

  void Order(std::vector<start_order> starts,
             std::vector<run_key> stops = {},
             millis age = millis(0),
             uint64_t epoch = 1) {
    orders in;
    in.epoch = epoch;
    in.coordinator = "coordinator";
    in.worker_incarnation = incarnation;
    in.boot_clock_ms =
        std::chrono::duration_cast<millis>(now.time_since_epoch()).count() -
        age.count();
    in.valid_for = kStartValidity;
    in.starts = std::move(starts);
    in.stops = std::move(stops);
    core->OnOrders(in, now);
  }

  int64_t ClockMs() const {
    return std::chrono::duration_cast<millis>(now.time_since_epoch()).count() /
           2;
  }

  static run_key Run(uint32_t index, uint32_t run = 1) {
    return {{"job", 0, 0, index}, run};
  }
  static start_order Start(uint32_t index, uint32_t run = 1) {
    start_order out;
    out.run = Run(index, run);
    return out;
  }

  boot_time now{millis(1'000'000)};
  int64_t incarnation = kIncarnation;
  std::optional<supervisor> core;
  report last;
};

}  // namespace

TEST_CASE("calls without a reply are bounded, whatever was ordered") {
  const auto most = supervisor_options{}.max_calls;
  fixture world;
  std::vector<start_order> starts;
  std::vector<run_key> runs;
  for (uint32_t i = 0; i < 2 * most; ++i) {
    starts.push_back(fixture::Start(i));
    starts.back().best_effort = true;
    runs.push_back(fixture::Run(i));
  }
  world.Order(starts);
  const auto first = world.core->TakeStarts(world.now);
  CHECK(first.size() == most);
  CHECK(world.core->TakeStarts(world.now).empty());
  for (const auto& call : first) {
    world.core->OnStartReply(call, call_status::kOk, world.now, world.now);
  }
  const auto second = world.core->TakeStarts(world.now);
  CHECK(second.size() == most);
  for (const auto& call : second) {
    world.core->OnStartReply(call, call_status::kOk, world.now, world.now);
  }
  world.Lease(runs, {});
  world.Order({}, runs);
  const auto stops = world.core->TakeStops(world.now);
  CHECK(stops.size() == most);
  CHECK(world.core->TakeStops(world.now).empty());
  for (const auto& call : stops) {
    world.core->OnStopReply(call.run, call_status::kOk, world.now);
  }
  CHECK(world.core->TakeStops(world.now).size() == most);
}

TEST_CASE("an ordered start is called once and its run reported") {
  fixture world;
  world.Order({fixture::Start(0)});
  auto calls = world.core->TakeStarts(world.now);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].instance == "i-1");
  CHECK(calls[0].fencing_token == 1);
  CHECK(world.core->TakeStarts(world.now).empty());
  world.core->OnStartReply(calls[0], call_status::kOk, world.now, world.now);
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).empty());
  world.Lease({fixture::Run(0)}, {});
  world.now += millis(500);  // The regular reports list runs.
  world.Report();
  REQUIRE(world.last.runs.size() == 1);
  CHECK(world.last.runs[0].started);
}

TEST_CASE("leases end before the grant even on a slow clock") {
  fixture world;
  world.now += millis(5'000);
  world.core->OnOrders({}, world.now);
  const auto call = world.core->NextLease(world.now);
  REQUIRE(call);
  const auto left = world.core->GrantLeft(world.now);
  CHECK(left <= kGrant - millis(5'000));
  // A slow worker clock takes longer to reach the end of the lease.
  CHECK(call->lease_until_ms > 0);
  world.now += kGrant;
  const auto later = world.core->NextLease(world.now);
  REQUIRE(later);
  CHECK(later->lease_until_ms == 0);
}

TEST_CASE("an order past its validity starts nothing") {
  fixture world;
  world.Order({fixture::Start(0)}, {}, kStartValidity + millis(1));
  CHECK(world.core->TakeStarts(world.now).empty());
}

TEST_CASE("a start that waits for a grant expires") {
  fixture world;
  world.now += kGrant;
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).empty());
  world.now += kStartValidity + millis(1);
  world.Report();
  CHECK(world.core->TakeStarts(world.now).empty());
  world.Report();
  CHECK(world.last.refusals.size() == 1);
}

// Regression, faults_test seeds 45 and 51: the grant ran out during a store
// outage. The recovered coordinator declared each ordered run ended before the
// next report, yet the runner then started all of them.
TEST_CASE("a start expires when the coordinator may declare its run ended") {
  fixture world;
  orders in;
  in.epoch = 1;
  in.worker_incarnation = kIncarnation;
  in.boot_clock_ms =
      std::chrono::duration_cast<millis>(world.now.time_since_epoch()).count();
  in.valid_for = millis(100);
  in.starts = {fixture::Start(0)};
  world.now += millis(90);
  world.core->OnOrders(in, world.now);
  world.now += millis(20);
  CHECK(world.core->TakeStarts(world.now).empty());
  world.Report();
  CHECK(world.last.refusals.size() == 1);
}

TEST_CASE("orders of an older coordinator are ignored") {
  fixture world;
  world.core->OnCoordinator(2, "other");
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).empty());
  CHECK(world.core->coordinator() == "other");
}

TEST_CASE("a draining worker starts nothing") {
  fixture world;
  worker_heartbeat heartbeat;
  heartbeat.service = "service";
  heartbeat.instance = "i-1";
  heartbeat.incarnation = kIncarnation;
  heartbeat.sequence = 2;
  heartbeat.draining = true;
  world.core->OnHeartbeat(heartbeat, world.now);
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).empty());
  world.Report();
  CHECK(world.last.phase == worker_phase::kDraining);
  CHECK(world.last.refusals.size() == 1);
}

TEST_CASE(
    "a refusal is reported only once no earlier attempt can start the run") {
  fixture world;
  world.Order({fixture::Start(0)});
  auto call = world.core->TakeStarts(world.now).at(0);
  SECTION("the first reply is a refusal") {
    world.core->OnStartReply(call, call_status::kUnhealthy, world.now,
                             world.now);
    world.Report();
    CHECK(world.last.refusals.size() == 1);
  }
  SECTION("an earlier attempt got no reply") {
    world.core->OnStartReply(call, call_status::kNoReply, world.now, world.now);
    world.now += millis(200);
    call = world.core->TakeStarts(world.now).at(0);
    world.core->OnStartReply(call, call_status::kUnhealthy, world.now,
                             world.now);
    world.Report();
    CHECK(world.last.refusals.empty());
    const auto stops = world.core->TakeStops(world.now);
    REQUIRE(stops.size() == 1);
    world.core->OnStopReply(stops[0].run, call_status::kOk, world.now);
    world.Report();
    CHECK(world.last.refusals.empty());
    world.now += millis(1);
    world.Lease({}, {});
    world.Report();
    CHECK(world.last.refusals.size() == 1);
  }
}

// Regression, tetoszin-prod-grown quiet-1: a repeated order crossed the refusal
// of its run, which the coordinator then placed on another VM, so the run was
// executed twice.
TEST_CASE("a repeated order does not start a refused run") {
  fixture world;
  world.Order({fixture::Start(0)});
  const auto call = world.core->TakeStarts(world.now).at(0);
  world.core->OnStartReply(call, call_status::kUnhealthy, world.now, world.now);
  world.Report();
  REQUIRE(world.last.refusals.size() == 1);
  world.now += millis(1'900);
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).empty());
  world.Report();
  CHECK(world.last.refusals.size() == 1);
  world.Order({fixture::Start(0, 2)});
  CHECK(world.core->TakeStarts(world.now).size() == 1);
}

// Regression: an order that came twice, the second time when the run had ended
// and its worker had crashed, started the run on the worker's next incarnation.
TEST_CASE("a repeated order does not start a run that has ended") {
  fixture world;
  world.StartRun(0);
  world.now += millis(100);
  world.Lease({}, {{1, fixture::Run(0), run_result::kDone, ""}});
  const bool is_acknowledged = GENERATE(false, true);
  world.Report(kGrant, is_acknowledged ? 1 : 0);
  world.now += millis(100);
  world.Lease({}, {});
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).empty());
  CHECK(world.core->run_count() == 0);
}

TEST_CASE("lists requested before a stop was confirmed do not settle the run") {
  fixture world;
  world.Order({}, {fixture::Run(0)});
  const auto stops = world.core->TakeStops(world.now);
  REQUIRE(stops.size() == 1);
  const auto call = world.core->NextLease(world.now);
  const auto sent = world.now;
  world.now += millis(10);
  world.core->OnStopReply(stops[0].run, call_status::kOk, world.now);
  lease_reply reply;
  reply.status = call_status::kOk;
  reply.incarnation = kIncarnation;
  reply.clock_ms = world.ClockMs();
  world.core->OnLeaseReply(*call, reply, sent, world.now);
  world.Report();
  CHECK(world.last.refusals.empty());
}

TEST_CASE("ends are reported until they are acknowledged") {
  fixture world;
  world.Order({fixture::Start(0)});
  const auto call = world.core->TakeStarts(world.now).at(0);
  world.core->OnStartReply(call, call_status::kOk, world.now, world.now);
  world.Lease({}, {{1, fixture::Run(0), run_result::kDone, ""}});
  CHECK(world.core->IsReportDue());
  world.Report();
  REQUIRE(world.last.ends.size() == 1);
  world.Report(kGrant, 1);
  world.Report();
  CHECK(world.last.ends.empty());
  CHECK(world.Lease({}, {}).acknowledged == 1);
}

TEST_CASE("a new incarnation of the worker starts without runs") {
  fixture world;
  world.Order({fixture::Start(0)});
  const auto call = world.core->TakeStarts(world.now).at(0);
  world.core->OnStartReply(call, call_status::kOk, world.now, world.now);
  // The lists show that the old incarnation has received the start.
  world.Lease({fixture::Run(0)}, {});
  world.HearNextIncarnation();
  world.Report();
  CHECK(world.last.worker_incarnation == kIncarnation + 1);
  CHECK(world.last.runs.empty());
  CHECK(world.core->TakeStops(world.now).empty());
  worker_heartbeat heartbeat;
  heartbeat.service = "service";
  heartbeat.incarnation = kIncarnation;
  CHECK_FALSE(world.core->OnHeartbeat(heartbeat, world.now));
}

// Regression, review/2: a start that was meant for the life before ran on a
// worker that was back at once under its name, and the task ran elsewhere too.
TEST_CASE("a start that a new incarnation may have received is stopped there") {
  fixture world;
  world.Order({fixture::Start(0)});
  const auto call = world.core->TakeStarts(world.now).at(0);
  // How far the start call is when the new incarnation is heard of.
  enum class progress { kInFlight, kCarriedOutUnlisted, kUnanswered };
  const auto reached =
      GENERATE(progress::kInFlight, progress::kCarriedOutUnlisted,
               progress::kUnanswered);
  const bool was_there = GENERATE(false, true);
  CAPTURE(reached, was_there);
  if (reached != progress::kInFlight) {
    world.core->OnStartReply(call,
                             reached == progress::kUnanswered
                                 ? call_status::kNoReply
                                 : call_status::kOk,
                             world.now, world.now);
  }
  world.HearNextIncarnation();
  if (reached == progress::kInFlight) {
    world.core->OnStartReply(call, call_status::kOk, world.now, world.now);
  }
  world.Report();
  REQUIRE(world.last.runs.size() == 1);
  CHECK(world.last.worker_incarnation == kIncarnation + 1);
  CHECK(world.last.refusals.empty());
  CHECK(world.core->TakeStarts(world.now).empty());
  const auto stops = world.core->TakeStops(world.now);
  REQUIRE(stops.size() == 1);
  if (was_there) {
    world.Lease({fixture::Run(0)}, {});
  } else {
    world.Lease({}, {});
  }
  world.core->OnStopReply(stops[0].run, call_status::kOk, world.now);
  world.now += millis(1);
  if (was_there) {
    world.Lease({}, {{1, fixture::Run(0), run_result::kStopped, ""}});
  } else {
    world.Lease({}, {});
  }
  world.Report();
  CHECK(world.last.ends.size() == (was_there ? 1 : 0));
  CHECK(world.last.refusals.size() == (was_there ? 0 : 1));
}

TEST_CASE("a stop that the old incarnation confirmed is repeated") {
  fixture world;
  world.Order({fixture::Start(0)});
  const auto call = world.core->TakeStarts(world.now).at(0);
  world.core->OnStartReply(call, call_status::kNoReply, world.now, world.now);
  world.Order({}, {fixture::Run(0)});
  const auto stop = world.core->TakeStops(world.now).at(0);
  world.HearNextIncarnation();
  world.core->OnStopReply(stop.run, call_status::kOk, world.now);
  world.now += millis(1);
  world.Lease({}, {});
  world.Report();
  CHECK(world.last.refusals.empty());
  CHECK(world.core->TakeStops(world.now).size() == 1);
}

TEST_CASE("runs are stopped before the first heartbeat of a new incarnation") {
  fixture world;
  ++world.incarnation;
  world.Lease({fixture::Run(0)}, {});
  world.Order({}, {fixture::Run(0)});
  CHECK(world.core->TakeStops(world.now).size() == 1);
}

TEST_CASE("after a failed lease call nothing starts until one succeeds") {
  fixture world;
  world.Order({fixture::Start(0)});
  world.FailLease(call_status::kNoReply, millis(5));
  CHECK(world.core->TakeStarts(world.now).empty());
  const auto call = world.Lease({}, {});
  CHECK(call.wait == millis(0));
  CHECK(world.core->TakeStarts(world.now).size() == 1);
}

// Regression, review/3: one heartbeat of another writer replaced the worker of
// a runner for good, and all its tasks ran elsewhere too.
TEST_CASE("a heartbeat that is not the worker's does not replace it") {
  fixture world;
  world.StartRun(0);
  worker_heartbeat heartbeat;
  heartbeat.instance = "i-other";
  heartbeat.incarnation = kIncarnation + 1'000;
  heartbeat.sequence = 1;
  heartbeat.service = "other";
  world.core->OnHeartbeat(heartbeat, world.now);
  world.now += millis(500);
  world.Report();
  CHECK(world.last.worker_incarnation == kIncarnation);
  CHECK(world.last.instance == "i-1");
  CHECK(world.last.runs.size() == 1);
  world.Lease({fixture::Run(0)}, {});
  world.Order({fixture::Start(1)});
  CHECK(world.core->TakeStarts(world.now).size() == 1);
}

// Another writer may know name and start time of the worker. Its heartbeat
// moved the VM to another service, or made all later heartbeats look delayed,
// so that draining was not noticed.
TEST_CASE("a heartbeat that contradicts those before does not take effect") {
  fixture world;
  const auto hear = [&](const std::string& service, uint64_t sequence,
                        bool draining) {
    auto heartbeat = world.MakeHeartbeat(sequence, draining);
    heartbeat.service = service;
    const bool taken = world.core->OnHeartbeat(heartbeat, world.now);
    world.now += millis(1'500);
    world.Report();
    return taken;
  };
  SECTION("it names another service") {
    CHECK_FALSE(hear("other", 2, false));
    CHECK(world.last.service == "service");
    CHECK(hear("service", 2, false));
    CHECK_FALSE(hear("other", 3, false));
    CHECK(hear("service", 3, true));
    CHECK(world.last.service == "service");
  }
  SECTION("its sequence number is too high") {
    CHECK_FALSE(hear("service", UINT64_MAX, false));
    CHECK(hear("service", 2, true));
    CHECK(world.last.phase == worker_phase::kDraining);
  }
  SECTION("heartbeats were lost for minutes") {
    world.now += millis(600'000);
    CHECK(hear("service", 2 + 400, false));
  }
  SECTION("the first one was the other writer's") {
    CHECK_FALSE(hear("other", 2, false));
    CHECK(hear("other", 3, false));
    CHECK(world.last.service == "other");
    CHECK_FALSE(hear("service", 4, false));
    CHECK(hear("service", 5, false));
    CHECK(world.last.service == "service");
  }
}

// Regression, review/1: a worker lists its oldest ends only, and runs whose
// ends were not among them counted as never started and ran again.
TEST_CASE("a run that is missing from a cut list of ends is not refused") {
  fixture world;
  world.Order({fixture::Start(0), fixture::Start(1)});
  for (const auto& call : world.core->TakeStarts(world.now)) {
    world.core->OnStartReply(call, call_status::kOk, world.now, world.now);
  }
  const bool is_stopped = GENERATE(false, true);
  if (is_stopped) {
    world.Order({}, {fixture::Run(1)});
    for (const auto& call : world.core->TakeStops(world.now)) {
      world.core->OnStopReply(call.run, call_status::kSuperseded, world.now);
    }
  }
  world.now += millis(500);
  world.Lease({}, {{1, fixture::Run(0), run_result::kDone, ""}}, true);
  world.Report();
  CHECK(world.last.refusals.empty());
  CHECK(world.last.ends.size() == 1);
  REQUIRE(world.last.runs.size() == 1);
  CHECK(world.last.runs[0].run == fixture::Run(1));
  // Its state is not known, so the coordinator must not conclude from the list.
  CHECK_FALSE(world.last.complete);
  world.Report(kGrant, 1);
  world.Lease({}, {{2, fixture::Run(1), run_result::kDone, ""}});
  world.now += millis(500);
  world.Report();
  CHECK(world.last.refusals.empty());
  CHECK(world.last.ends.size() == 1);
  CHECK(world.last.complete);
}

// Regression, incident unreachable-worker-taken-for-dead: a worker whose port
// refused connections ran on under its lease, and its tasks ran elsewhere too.
// Regression, mttla-ladder mix --seed 495631059348: calls that were never sent
// moved the assumed end of the lease, so the worker was never declared gone.
TEST_CASE("a worker that refuses connections is gone when its lease is over") {
  fixture world;
  world.StartRun(0);
  // Latest end of the last lease that reached the worker.
  const auto over = world.now + WithClockMargin(millis(6'000));
  const auto runs_until = world.now + millis(5'800);
  const auto refused_long = world.now + millis(400);
  while (world.now < over + millis(200)) {
    const auto before = world.now;
    world.FailLease(call_status::kNotListening, millis(100));
    world.now = before + millis(100);
    world.Report();
    if (world.now >= refused_long && world.now < runs_until) {
      CHECK(world.last.phase == worker_phase::kUnknown);
      CHECK_FALSE(world.last.complete);
      CHECK(world.core->run_count() == 1);
    }
  }
  CHECK(world.last.phase == worker_phase::kGone);
  CHECK(world.last.runs.empty());
}

TEST_CASE("a worker that listens again goes on") {
  fixture world;
  for (int i = 0; i < 6; ++i) {
    world.FailLease(call_status::kNotListening, millis(100));
  }
  world.Lease({fixture::Run(0)}, {});
  world.now += millis(500);
  world.Report();
  CHECK(world.last.phase == worker_phase::kReady);
  CHECK(world.last.runs.size() == 1);
}

// Regression, incident exit-notice-ended-runs: a worker whose notice was
// answered late, or was of its life before, ran on after its notice.
TEST_CASE("a worker that has announced its exit runs on until it is gone") {
  fixture world;
  world.StartRun(0);
  world.core->OnWorkerExit("i-1", world.now);
  world.now += millis(500);
  world.Order({fixture::Start(1)});
  CHECK(world.core->TakeStarts(world.now).empty());
  world.Report();
  CHECK(world.last.phase == worker_phase::kDraining);
  REQUIRE(world.last.runs.size() == 1);
  CHECK(world.last.runs[0].run == fixture::Run(0));
  const auto lease = world.Lease({fixture::Run(0)}, {});
  CHECK(lease.lease_until_ms > 0);
  SECTION("it has drained and ends") {
    world.core->OnHeartbeat(world.MakeHeartbeat(2, true), world.now);
    world.FailLease(call_status::kNotListening, millis(5));
    world.Report();
    CHECK(world.last.phase == worker_phase::kGone);
    CHECK(world.last.runs.empty());
  }
  SECTION("it has not drained and is out of reach") {
    for (int i = 0; i < 10; ++i) {
      world.FailLease(call_status::kNotListening, millis(100));
    }
    world.Report();
    CHECK(world.last.phase != worker_phase::kGone);
    CHECK(world.last.runs.size() == 1);
    // Until the latest end of its lease.
    world.now += WithClockMargin(millis(7'000));
    world.FailLease(call_status::kNotListening, millis(5));
    world.Report();
    CHECK(world.last.phase == worker_phase::kGone);
  }
  SECTION("it still drains") {
    world.core->OnHeartbeat(world.MakeHeartbeat(2, true), world.now);
    world.Report();
    CHECK(world.last.phase == worker_phase::kDraining);
  }
  SECTION("the notice was of its life before") {
    world.core->OnHeartbeat(world.MakeHeartbeat(2), world.now);
    world.Report();
    CHECK(world.last.phase == worker_phase::kReady);
    world.Order({fixture::Start(2)});
    CHECK(world.core->TakeStarts(world.now).size() == 1);
  }
}

// Guards against a run that is started again while it runs: refused connections
// prove the end of a worker that has announced its exit, a call without a reply
// does not.
TEST_CASE("a worker that stops replying after its exit notice is not gone") {
  fixture world;
  world.StartRun(0);
  // Its listener is restarted, and the worker goes on.
  world.FailLease(call_status::kNotListening, millis(5));
  world.now += millis(200);
  world.FailLease(call_status::kNoReply, millis(5));
  world.core->OnHeartbeat(world.MakeHeartbeat(2, true), world.now);
  world.core->OnWorkerExit("i-1", world.now);
  world.now += millis(200);
  world.FailLease(call_status::kNoReply, millis(5));
  world.Report();
  CHECK(world.last.phase == worker_phase::kDraining);
  CHECK(world.core->run_count() == 1);
  world.now += millis(200);
  world.FailLease(call_status::kNotListening, millis(5));
  world.Report();
  CHECK(world.last.phase == worker_phase::kGone);
}

// Guards against a worker's next incarnation that goes unnoticed: a reply of
// the one before may arrive after the first heartbeat of the next.
TEST_CASE("a reply to an earlier call does not void a later heartbeat") {
  fixture world;
  world.StartRun(0);
  const auto call = world.core->NextLease(world.now);
  REQUIRE(call);
  lease_reply reply;
  reply.status = call_status::kOk;
  reply.clock_ms = world.ClockMs();
  reply.incarnation = world.incarnation;
  const auto sent = world.now;
  world.now += millis(5);
  ++world.incarnation;
  REQUIRE(world.core->OnHeartbeat(world.MakeHeartbeat(1), world.now));
  world.now += millis(5);
  world.core->OnLeaseReply(*call, reply, sent, world.now);
  world.Probe();
  world.Report();
  CHECK(world.last.worker_incarnation == world.incarnation);
}

TEST_CASE("a silent worker is declared gone once all its leases have expired") {
  fixture world;
  world.Lease({}, {});
  // Latest end of the last lease that reached the worker.
  const auto over = world.now + WithClockMargin(millis(6'000));
  while (world.now < over) {
    world.FailLease(call_status::kNotSent, millis(300));
    if (world.now < over - millis(400)) {
      world.Report();
      CHECK(world.last.phase != worker_phase::kGone);
    }
  }
  for (int i = 0; i < 3; ++i) {
    world.FailLease(call_status::kNotSent, millis(300));
  }
  world.Report();
  CHECK(world.last.phase == worker_phase::kGone);
}

TEST_CASE("a lease call without a reply delays declaring the worker gone") {
  fixture world;
  world.now += millis(3'000);
  world.Report();
  world.FailLease(call_status::kNoReply, millis(1'000));
  const auto over = world.now + millis(4'900);
  while (world.now < over) {
    world.FailLease(call_status::kNotSent, millis(300));
    world.core->MakeReport(world.now);
  }
  world.Report();
  CHECK(world.last.phase != worker_phase::kGone);
}

// Regression, incident lost-worker-kept-by-its-calls: each unanswered call
// asked for a new lease, so the assumed end of the lease moved on for as long
// as calls could be sent. A task that lasts must run again 9 s after its last
// run at the latest: 6 s and 3 s.
TEST_CASE("unanswered lease calls do not delay declaring the worker gone") {
  fixture world;
  world.StartRun(0);
  const auto lost_at = world.now;
  while (world.last.phase != worker_phase::kGone) {
    world.FailLease(call_status::kNoReply, millis(700));
    world.now += millis(100);
    world.Report();
    REQUIRE(world.now - lost_at < millis(9'000));
  }
  // Until then its runs may go on.
  CHECK(world.now - lost_at > millis(6'000));
}

// Regression, found by the simulation (one worker at a time falls silent, seed
// 8): a call that was under way when the worker began anew, with its clock at
// zero, counted as a lease of as long as the old clock had run.
TEST_CASE("a call of the life before does not keep a lost worker") {
  fixture world;
  world.StartRun(0);
  const auto call = world.core->NextLease(world.now);
  REQUIRE(call);
  const auto sent = world.now;
  ++world.incarnation;
  REQUIRE(world.core->OnHeartbeat(world.MakeHeartbeat(1), world.now));
  const auto probe = world.core->TakeProbe(world.now);
  REQUIRE(probe);
  lease_reply reply;
  reply.status = call_status::kOk;
  reply.clock_ms = 10;
  reply.incarnation = world.incarnation;
  world.core->OnLeaseReply(*probe, reply, world.now, world.now);
  world.now += millis(700);
  const auto status = GENERATE(call_status::kNoReply, call_status::kFenced);
  world.core->OnLeaseReply(*call, {status, 0, 0, {}, {}}, sent, world.now);
  const auto lost_at = world.now;
  while (world.last.phase != worker_phase::kGone) {
    world.FailLease(call_status::kNotListening, millis(100));
    world.Report();
    REQUIRE(world.now - lost_at < millis(13'000));
  }
  // The worker may have taken that lease, if it carries out calls late also
  // after the time for which one is waited for.
  CHECK(world.now - lost_at >
        millis(status == call_status::kNoReply ? 12'000 : 6'000));
}

// Regression, as above: a worker that accepts connections and never replies,
// and whose heartbeats still arrive, kept its tasks for ever.
TEST_CASE("a worker that never replies loses its runs when its lease is over") {
  fixture world;
  world.StartRun(0);
  const auto lost_at = world.now;
  uint64_t sequence = 1;
  while (world.last.refusals.empty()) {
    world.core->OnHeartbeat(world.MakeHeartbeat(++sequence), world.now);
    world.FailLease(call_status::kNoReply, millis(700));
    world.now += millis(100);
    world.last = world.core->MakeReport(world.now);
    REQUIRE(world.now - lost_at < millis(11'000));
  }
  CHECK(world.now - lost_at > millis(6'000));
  CHECK(world.last.refusals[0].run == fixture::Run(0));
  CHECK(world.last.phase == worker_phase::kUnknown);
  CHECK(world.core->run_count() == 0);
  // It is used again once it replies.
  world.Lease({}, {});
  world.Report();
  CHECK(world.last.phase == worker_phase::kReady);
}

// Regression: after a long silence the calls asked for the lease of before it,
// which was over. A worker refuses such a call ("late"), and the refusals kept
// the runner from ever asking for a longer one.
TEST_CASE("a worker that is silent for long gets a lease again") {
  fixture world;
  world.Lease({}, {});
  const auto clock = [&, at = world.now, ms = world.ClockMs()] {
    return ms + (world.now - at).count();
  };
  const auto refusal_of = [&](const lease_call& call) {
    return call.lease_until_ms != 0 && call.lease_until_ms <= clock()
               ? call_status::kLeasePast
               : call_status::kOk;
  };
  for (uint64_t i = 0; i < 15; ++i) {
    world.core->OnHeartbeat(world.MakeHeartbeat(2 + i), world.now);
    world.FailLease(call_status::kNoReply, millis(900));
    world.Report();
  }
  // It replies from now on.
  bool replied = false;
  for (int i = 0; i < 20 && !replied; ++i) {
    const auto call = world.core->NextLease(world.now);
    REQUIRE(call);
    replied = refusal_of(*call) == call_status::kOk;
    if (replied) {
      world.Lease({}, {});
    } else {
      world.FailLease(call_status::kLeasePast, millis(100));
      world.Report();
    }
  }
  CHECK(replied);
}

// Guards against work lost on a worker that carries out calls and answers late.
TEST_CASE("a worker that answers late keeps its lease") {
  fixture world;
  world.StartRun(0);
  const auto before = world.core->NextLease(world.now)->lease_until_ms;
  world.FailLease(call_status::kNoReply, millis(700));
  world.core->OnHeartbeat(world.MakeHeartbeat(2), world.now);
  world.FailLease(call_status::kNoReply, millis(700));
  world.Report();
  CHECK(world.core->NextLease(world.now)->lease_until_ms >
        before + millis(1'000).count());
}

namespace {

// A best-effort run 0 beside a serving task 1 that it disturbs, for the tests
// of throttling.
struct paced_fixture : fixture {
  paced_fixture() {
    auto filler = Start(0);
    filler.best_effort = true;
    filler.millicores = 4'000;
    filler.image = "filler";
    auto serving = Start(1);
    serving.latency_target = millis(50);
    serving.image = "serving";
    Order({filler, serving});
    for (const auto& call : core->TakeStarts(now)) {
      core->OnStartReply(call, call_status::kOk, now, now);
    }
    Sample(10);
    REQUIRE(core->TakePaces(now).empty());
  }

  // The worker lists both runs, the serving task with this latency.
  void Sample(int32_t latency_ms) {
    now += millis(450);
    const auto call = core->NextLease(now);
    REQUIRE(call);
    lease_reply reply;
    reply.status = call_status::kOk;
    reply.clock_ms = ClockMs();
    reply.incarnation = incarnation;
    reply.runs.resize(2);
    reply.runs[0].run = Run(0);
    reply.runs[0].load = 4'000;
    reply.runs[1].run = Run(1);
    reply.runs[1].load = latency_ms;
    core->OnLeaseReply(*call, reply, now, now);
    Report();
  }

  // Samples until the pacer throttles, and returns the call.
  pace_call Throttle() {
    for (int i = 0; i < 10; ++i) {
      Sample(100);
      if (const auto calls = core->TakePaces(now); !calls.empty()) {
        return calls[0];
      }
    }
    FAIL("the best-effort run is not throttled");
    return {};
  }
};

}  // namespace

// Regression, incident late-pace-calls: the worker may carry out two calls that
// are under way in either order, and its lists do not show the throttle.
TEST_CASE("one pace call for a run is under way at a time") {
  paced_fixture world;
  const auto first = world.Throttle();
  for (int i = 0; i < 4; ++i) {
    world.Sample(100);  // The throttle changes meanwhile.
    CHECK(world.core->TakePaces(world.now).empty());
  }
  world.core->OnPaceReply(first, call_status::kOk, world.now);
  const auto next = world.core->TakePaces(world.now);
  REQUIRE(next.size() == 1);
  CHECK(next[0].percent < first.percent);
}

// Regression, as above: a call without a reply was carried out after the next
// one, and its throttle stayed in force.
TEST_CASE("a throttle is repeated while an earlier pace call may come late") {
  paced_fixture world;
  const auto first = world.Throttle();
  world.core->OnPaceReply(first, call_status::kNoReply, world.now);
  const auto unanswered_at = world.now;
  CHECK(world.core->TakePaces(world.now).empty());
  boot_time last_at{};
  boot_time gap_from = world.now;
  uint32_t percent = first.percent;
  for (int i = 0; i < 200; ++i) {
    world.now += millis(50);
    for (const auto& call : world.core->TakePaces(world.now)) {
      CHECK(world.now - gap_from <= millis(600));
      gap_from = last_at = world.now;
      percent = call.percent;
      world.core->OnPaceReply(call, call_status::kOk, world.now);
    }
  }
  CHECK(percent == first.percent);
  // The last one is sent when no earlier call can follow it, and is the last.
  CHECK(last_at - unanswered_at >= supervisor_options{}.worker_lease);
  CHECK(last_at - unanswered_at <
        supervisor_options{}.worker_lease + millis(200));
}

// Guards against a throttle that stays in force after its call was refused.
TEST_CASE("a pace call is repeated until it is answered") {
  paced_fixture world;
  auto call = world.Throttle();
  for (int i = 0; i < 5; ++i) {
    world.core->OnPaceReply(
        call, i == 2 ? call_status::kNoReply : call_status::kNotSent,
        world.now);
    CHECK(world.core->TakePaces(world.now).empty());
    world.now += millis(150);
    const auto next = world.core->TakePaces(world.now);
    REQUIRE(next.size() == 1);
    CHECK(next[0].percent == call.percent);
    call = next[0];
  }
}

// Regression, as above: a runner that starts anew took runs that its
// predecessor had throttled for unthrottled ones, and left them so.
TEST_CASE("a restarted runner sets the throttle of the runs that it finds") {
  paced_fixture world;
  (void)world.Throttle();
  world.RestartRunner();
  auto filler = fixture::Start(0);
  filler.best_effort = true;
  world.Sample(10);
  world.Order({filler});
  const auto calls = world.core->TakePaces(world.now);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].run == fixture::Run(0));
  CHECK(calls[0].percent == 100);
}

// Regression, incident suspended-vm: the clock of the worker stands still while
// its VM is suspended, and the runner counted the time as passed on it.
TEST_CASE("a lease does not outlast the grant because the VM was suspended") {
  fixture world;
  world.StartRun(0);
  world.Report();
  const auto grant_until = world.now + kGrant;
  // What the worker's clock shows from now on lags by this.
  const millis length = GENERATE(millis(100), millis(2'000), millis(5'000));
  const auto clock_before = world.core->NextLease(world.now)->lease_until_ms;
  CHECK(clock_before > 0);
  const auto worker_clock = [&, at = world.now, ms = world.ClockMs()] {
    return ms + (world.now - at - length).count();
  };
  world.now += length;
  world.core->OnSuspension(length, world.now);
  SECTION("in the next call") {
    const auto call = world.core->NextLease(world.now);
    REQUIRE(call);
    const millis lease(call->lease_until_ms - worker_clock());
    CHECK(world.now + lease <= grant_until);
  }
  SECTION("by calls before") {
    // The lease of 6 s ends `length` later than the worker was told, beyond the
    // grant of 7 s for the longer suspensions. Its run is stopped then.
    CHECK(world.core->TakeStops(grant_until - millis(1)).empty());
    const auto stops = world.core->TakeStops(grant_until);
    CHECK(stops.size() == (length > millis(1'000) ? 1 : 0));
  }
}

// Regression, as above: right after a suspension all that was heard of the
// worker is old, and its lease seemed to be over.
TEST_CASE("a worker is not declared gone for the time it was suspended") {
  fixture world;
  world.StartRun(0);
  const auto lease = world.Lease({fixture::Run(0)}, {});
  CHECK(lease.lease_until_ms > 0);
  constexpr millis kLength{8'000};
  world.now += kLength;
  world.core->OnSuspension(kLength, world.now);
  for (int i = 0; i < 3; ++i) {
    world.FailLease(call_status::kNoReply, millis(700));
    world.FailLease(call_status::kNotListening, millis(300));
    world.last = world.core->MakeReport(world.now);
    CHECK(world.last.phase != worker_phase::kGone);
    CHECK(world.last.refusals.empty());
  }
}

TEST_CASE("a restarted runner learns the runs of its worker") {
  supervisor_options options;
  options.vm = "vm";
  supervisor core(std::move(options));
  const boot_time now{millis(1'000)};
  const auto call = core.NextLease(now);
  REQUIRE(call);
  CHECK(call->lease_until_ms == 0);
  lease_reply reply;
  reply.status = call_status::kOk;
  reply.incarnation = kIncarnation;
  reply.clock_ms = 100;
  run_status status;
  status.run = fixture::Run(3);
  reply.runs.push_back(status);
  core.OnLeaseReply(*call, reply, now, now);
  const auto report = core.MakeReport(now);
  REQUIRE(report.runs.size() == 1);
  CHECK(report.worker_incarnation == kIncarnation);
  CHECK(report.phase == worker_phase::kUnknown);
}

// Regression, incident start-of-earlier-runner: the worker may carry out late
// what an earlier process of the runner has sent.
TEST_CASE("a restarted runner stops a run before it refuses it") {
  fixture world;
  world.RestartRunner();
  world.Order({fixture::Start(0)});
  SECTION("the worker has no room") {
    const auto call = world.core->TakeStarts(world.now).at(0);
    world.core->OnStartReply(call, call_status::kNoRoom, world.now, world.now);
  }
  SECTION("the order expires before it is carried out") {
    world.FailLease(call_status::kNotListening, millis(5));
    world.now += kStartValidity + millis(1);
    CHECK(world.core->TakeStarts(world.now).empty());
  }
  SECTION("the worker drains") {
    world.core->OnHeartbeat(world.MakeHeartbeat(2, true), world.now);
    CHECK(world.core->TakeStarts(world.now).empty());
  }
  world.Report();
  CHECK(world.last.refusals.empty());
  const auto stops = world.core->TakeStops(world.now);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].run == fixture::Run(0));
  world.core->OnStopReply(stops[0].run, call_status::kSuperseded, world.now);
  world.Report();
  CHECK(world.last.refusals.empty());
  world.now += millis(500);
  world.Lease({}, {});
  world.Report();
  CHECK(world.last.refusals.size() == 1);
}

// Regression, incident order-delivered-twice: the runs that an earlier process
// of the runner has seen end are not known, and a late copy of an order started
// one again.
TEST_CASE("an order that answers an earlier runner process starts nothing") {
  fixture world;
  world.now += millis(100);
  world.RestartRunner();
  world.now += millis(100);
  world.Order({fixture::Start(0)}, {}, millis(150));
  CHECK(world.core->TakeStarts(world.now).empty());
  CHECK(world.core->run_count() == 0);
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).size() == 1);
}

// A coordinator on a fraction of a processor receives hundreds of ends a
// second, so its cost must depend on what changed, not on the number of runs on
// the VM.
TEST_CASE("reports between the regular ones omit the list of runs") {
  fixture world;
  const run_key run{{"00000000000000aa", 0, 0, 0}, 1};
  const run_key other{{"00000000000000aa", 0, 0, 1}, 1};
  world.now += millis(500);
  world.Lease({run, other}, {});
  world.Report();
  CHECK_FALSE(world.last.omits_runs);
  CHECK(world.last.runs.size() == 2);
  world.Lease({run}, {{1, other, run_result::kDone, ""}});
  world.Report();
  CHECK(world.last.omits_runs);
  CHECK(world.last.runs.empty());
  CHECK(world.last.ends.size() == 1);
  world.now += millis(500);
  world.Report();
  CHECK_FALSE(world.last.omits_runs);
  CHECK(world.last.complete);
  CHECK(world.last.runs.size() == 1);
}

TEST_CASE("the first report to a new coordinator lists the runs") {
  fixture world;
  world.Report();
  REQUIRE(world.last.omits_runs);
  world.core->OnCoordinator(2, "successor");
  world.Report();
  CHECK_FALSE(world.last.omits_runs);
}

// The coordinator rejects a longer message, and the runner would repeat it for
// good.
TEST_CASE("a report stays within a message whatever checkpoints it holds") {
  constexpr uint32_t kRuns = 1'500;
  constexpr uint32_t kEnds = 500;
  const size_t checkpoint_bytes = GENERATE(16, kMaxCheckpointBytes, 20'000);
  fixture world;
  lease_reply reply;
  reply.status = call_status::kOk;
  reply.clock_ms = world.ClockMs();
  reply.incarnation = kIncarnation;
  const std::string checkpoint(checkpoint_bytes, 'c');
  for (uint32_t i = 0; i < kRuns; ++i) {
    run_status status;
    status.run = {{"00000000000000aa", 0, 0, i}, 1};
    status.checkpoint = checkpoint;
    reply.runs.push_back(status);
  }
  for (uint32_t i = 0; i < kEnds; ++i) {
    const run_key run{{"00000000000000bb", 0, 0, i}, 1};
    reply.ends.push_back({i + 1, run, run_result::kStopped, checkpoint});
  }
  world.now += millis(1'000);
  const auto call = world.core->NextLease(world.now);
  REQUIRE(call);
  world.core->OnLeaseReply(*call, reply, world.now, world.now);
  const auto report = world.core->MakeReport(world.now);
  CHECK(report.runs.size() == kRuns);
  CHECK(report.ends.size() == kEnds);
  CHECK(Encode(report).size() < kMaxMessageBytes);
  // What can be stored is reported, so that the task resumes from it.
  const bool storable = checkpoint_bytes <= kMaxCheckpointBytes;
  CHECK(report.ends.back().checkpoint == (storable ? checkpoint : ""));
  CHECK(report.runs.front().checkpoint == (storable ? checkpoint : ""));
}

// Otherwise a harmless best-effort run is throttled beside a harmful one until
// the runner has learned which is which.
TEST_CASE("a restarted runner throttles by the weights that it is sent") {
  for (const bool has_weights : {false, true}) {
    fixture world;
    world.RestartRunner();
    std::vector<start_order> traits;
    for (uint32_t i = 0; i < 3; ++i) {
      traits.push_back(fixture::Start(i));
      traits[i].image = std::vector<std::string>{"web", "bad", "good"}[i];
      traits[i].best_effort = i > 0;
      traits[i].millicores = 2'000;
    }
    traits[0].latency_target = millis(50);
    // The worker runs them already.
    const auto call = world.core->NextLease(world.now);
    REQUIRE(call);
    lease_reply reply;
    reply.status = call_status::kOk;
    reply.clock_ms = world.ClockMs();
    reply.incarnation = world.incarnation;
    reply.complete = true;
    for (uint32_t i = 0; i < 3; ++i) {
      run_status status;
      status.run = fixture::Run(i);
      status.load = i == 0 ? 60 : 2'000;  // milliseconds; millicores
      reply.runs.push_back(status);
    }
    world.core->OnLeaseReply(*call, reply, world.now, world.now);
    world.Order(traits);
    if (has_weights) {
      orders in;
      in.epoch = 1;
      in.coordinator = "coordinator";
      in.worker_incarnation = world.incarnation;
      in.weights = {{"bad", "web", 0.5}, {"good", "web", 0.01}};
      world.core->OnOrders(in, world.now);
    }
    world.now += millis(500);
    const auto next = world.core->NextLease(world.now);
    REQUIRE(next);
    reply.clock_ms = world.ClockMs();
    world.core->OnLeaseReply(*next, reply, world.now, world.now);
    std::map<run_key, uint32_t> percents;
    for (const auto& pace : world.core->TakePaces(world.now)) {
      percents[pace.run] = pace.percent;
    }
    REQUIRE(percents.contains(fixture::Run(1)));
    CHECK(percents[fixture::Run(1)] < 80);
    const bool spared =
        !percents.contains(fixture::Run(2)) || percents[fixture::Run(2)] == 100;
    CHECK(spared == has_weights);
  }
}

// Guards against a job that waits for good: the worker answers lease calls, but
// neither the start nor the stop of a run. Its lists and its clock show that
// the start can no longer be carried out.
TEST_CASE("a start whose lease is over is refused without an answered stop") {
  fixture world;
  // The worker's clock may be slow, and the last start comes 2 s after the
  // order.
  constexpr millis kBound{12'000};
  const bool is_start_answered = GENERATE(false, true);
  CAPTURE(is_start_answered);
  world.Order({fixture::Start(0)});
  const auto ordered_at = world.now;
  uint64_t sequence = 1;
  while (world.last.refusals.empty() && world.now - ordered_at < kBound) {
    for (const auto& call : world.core->TakeStarts(world.now)) {
      world.core->OnStartReply(
          call,
          is_start_answered ? call_status::kUnhealthy : call_status::kNoReply,
          world.now, world.now + millis(700));
    }
    for (const auto& call : world.core->TakeStops(world.now)) {
      world.core->OnStopReply(call.run, call_status::kNoReply,
                              world.now + millis(700));
    }
    world.now += millis(700);
    world.core->OnHeartbeat(world.MakeHeartbeat(++sequence), world.now);
    world.Lease({}, {});
    world.Report();
    CHECK(world.last.phase == worker_phase::kReady);
    CHECK(world.last.complete);
  }
  REQUIRE(world.last.refusals.size() == 1);
  CHECK(world.last.refusals[0].run == fixture::Run(0));
}

// Guards against runs that wait for good: a worker that refuses each lease call
// has no lease, but is neither silent nor unresponsive.
TEST_CASE("a worker that refuses lease calls loses its runs after its lease") {
  fixture world;
  world.StartRun(0);
  const auto status = GENERATE(call_status::kUnhealthy, call_status::kInvalid,
                               call_status::kLeasePast, call_status::kNotSent);
  CAPTURE(ToString(status));
  const auto refused_at = world.now;
  uint64_t sequence = 1;
  while (world.last.refusals.empty() &&
         world.now - refused_at < millis(12'000)) {
    world.core->OnHeartbeat(world.MakeHeartbeat(++sequence), world.now);
    world.FailLease(status, millis(5));
    world.now += millis(100);
    world.Report();
  }
  CHECK(world.last.phase == worker_phase::kUnknown);
  REQUIRE(world.last.refusals.size() == 1);
  CHECK(world.last.refusals[0].run == fixture::Run(0));
}

// Guards against a job that waits for good: the coordinator placed a run whose
// order was lost, so the runner, whose worker hangs, has nothing to refuse.
TEST_CASE("a worker without a lease shows that it runs nothing") {
  fixture world;
  uint64_t sequence = 1;
  const auto lost_at = world.now;
  while (world.now - lost_at < millis(12'000)) {
    world.core->OnHeartbeat(world.MakeHeartbeat(++sequence), world.now);
    world.FailLease(call_status::kNoReply, millis(700));
    world.now += millis(500);
    world.Report();
  }
  CHECK(world.last.phase == worker_phase::kUnknown);
  CHECK(world.last.runs.empty());
  CHECK(world.last.complete);
}

}  // namespace chiveglade::workflow
