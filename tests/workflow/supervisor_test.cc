#include <catch2/catch.hpp>

#include "chiveglade/workflow/supervisor.h"

namespace chiveglade::workflow {

namespace {

constexpr int64_t kBorn = 5'000;
constexpr millis kGrant{7'000};

// A supervisor whose worker and coordinator are played by hand.
struct fixture {
  fixture() {
    supervisor_options options;
    options.vm = "vm";
    options.address = "runner";
    options.runner_incarnation = "life";
    core.emplace(std::move(options));
    worker_heartbeat beat;
    beat.instance = "i-1";
    beat.born = kBorn;
    beat.sequence = 1;
    beat.service = "service";
    beat.capacity = {16'000, 64'000, 0};
    core->OnHeartbeat(beat, now);
    core->OnCoordinator(1, "coordinator");
    Lease({}, {});
    Report();
  }

  void Report(millis grant = kGrant, uint64_t acknowledged = 0) {
    last = core->MakeReport(now);
    core->OnReportReply(last, {core->epoch(), grant, kBorn, acknowledged}, now);
  }

  lease_call Lease(const std::vector<run_key>& running,
                   const std::vector<run_end>& ended) {
    const auto call = core->NextLease(now);
    REQUIRE(call);
    lease_reply reply;
    reply.status = call_status::kOk;
    reply.clock_ms = ClockMs();
    reply.born = kBorn;
    for (const auto& run : running) {
      run_status status;
      status.run = run;
      reply.runs.push_back(status);
    }
    reply.ends = ended;
    const auto sent = now;
    now += millis(5);
    core->OnLeaseReply(*call, reply, sent, now);
    return *call;
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
    in.worker_incarnation = kBorn;
    in.tick_ms =
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
  std::optional<supervisor> core;
  report last;
};

}  // namespace

TEST_CASE("a start is called once and reported") {
  fixture world;
  world.Order({fixture::Start(0)});
  auto calls = world.core->TakeStarts(world.now);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].instance == "i-1");
  CHECK(calls[0].token == 1);
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

TEST_CASE("leases end before the grant does, by the slowest clock") {
  fixture world;
  world.now += millis(5'000);
  world.core->OnOrders({}, world.now);
  const auto call = world.core->NextLease(world.now);
  REQUIRE(call);
  const auto left = world.core->GrantLeft(world.now);
  CHECK(left <= kGrant - millis(5'000));
  // The worker's clock stood at a known time when it was last read; a slow
  // clock takes longer for the same length.
  CHECK(call->lease_until_ms > 0);
  world.now += kGrant;
  const auto later = world.core->NextLease(world.now);
  REQUIRE(later);
  CHECK(later->lease_until_ms == 0);
}

TEST_CASE("orders that were held up start nothing") {
  fixture world;
  world.Order({fixture::Start(0)}, {}, kStartValidity + millis(1));
  CHECK(world.core->TakeStarts(world.now).empty());
}

TEST_CASE("a start that waited for a grant expires") {
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

// faults_test, seeds 45 and 51: while the store was away the grant ran out, and
// the coordinator, back again, declared each order over before the next report;
// the runner then started all of them at once.
TEST_CASE("a start is void once the coordinator may have declared it over") {
  fixture world;
  orders in;
  in.epoch = 1;
  in.worker_incarnation = kBorn;
  in.tick_ms =
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

TEST_CASE("nothing starts once the worker has said that it drains") {
  fixture world;
  worker_heartbeat beat;
  beat.instance = "i-1";
  beat.born = kBorn;
  beat.sequence = 2;
  beat.draining = true;
  world.core->OnHeartbeat(beat, world.now);
  world.Order({fixture::Start(0)});
  CHECK(world.core->TakeStarts(world.now).empty());
  world.Report();
  CHECK(world.last.phase == worker_phase::kDraining);
  CHECK(world.last.refusals.size() == 1);
}

TEST_CASE("a refused start may run elsewhere only if no copy can follow") {
  fixture world;
  world.Order({fixture::Start(0)});
  auto call = world.core->TakeStarts(world.now).at(0);
  SECTION("the first answer is a refusal") {
    world.core->OnStartReply(call, call_status::kUnhealthy, world.now,
                             world.now);
    world.Report();
    CHECK(world.last.refusals.size() == 1);
  }
  SECTION("an earlier copy was not answered") {
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

// tetoszin-prod-grown, quiet-1: an order that was sent again crossed the
// refusal of its run, which the coordinator then placed elsewhere: it ran
// twice.
TEST_CASE("a run that was refused never starts, however late its order comes") {
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

TEST_CASE("lists read before a stop was answered settle nothing") {
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
  reply.born = kBorn;
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

TEST_CASE("a new life of the worker begins with nothing") {
  fixture world;
  world.Order({fixture::Start(0)});
  (void)world.core->TakeStarts(world.now);
  worker_heartbeat beat;
  beat.instance = "i-1";
  beat.born = kBorn + 1;
  beat.sequence = 1;
  CHECK(world.core->OnHeartbeat(beat, world.now));
  world.Report();
  CHECK(world.last.worker_incarnation == kBorn + 1);
  CHECK(world.last.runs.empty());
  beat.born = kBorn;
  CHECK_FALSE(world.core->OnHeartbeat(beat, world.now));
}

// mttla-ladder, mix --seed 495631059348: calls that never left the process
// moved the end of the lease, and the worker was never declared lost.
TEST_CASE("a worker that refuses connections is lost at once") {
  fixture world;
  world.Order({fixture::Start(0)});
  const auto call = world.core->TakeStarts(world.now).at(0);
  world.core->OnStartReply(call, call_status::kOk, world.now, world.now);
  for (int i = 0; i < 6; ++i) {
    world.FailLease(call_status::kNotListening, millis(100));
  }
  world.Report();
  CHECK(world.last.phase == worker_phase::kGone);
  CHECK(world.last.runs.empty());
}

TEST_CASE("a silent worker is lost once every lease sent to it is over") {
  fixture world;
  world.Lease({}, {});
  // The last lease that reached it, at its longest.
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

TEST_CASE(
    "a lease call that may have arrived prolongs what must be waited for") {
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

TEST_CASE("a runner that starts anew finds what its worker runs") {
  supervisor_options options;
  options.vm = "vm";
  supervisor core(std::move(options));
  const boot_time now{millis(1'000)};
  const auto call = core.NextLease(now);
  REQUIRE(call);
  CHECK(call->lease_until_ms == 0);
  lease_reply reply;
  reply.status = call_status::kOk;
  reply.born = kBorn;
  reply.clock_ms = 100;
  run_status status;
  status.run = fixture::Run(3);
  reply.runs.push_back(status);
  core.OnLeaseReply(*call, reply, now, now);
  const auto report = core.MakeReport(now);
  REQUIRE(report.runs.size() == 1);
  CHECK(report.worker_incarnation == kBorn);
  CHECK(report.phase == worker_phase::kUnknown);
}

// Hundreds of ends a second reach a coordinator with a fraction of a processor:
// its cost must follow the news, not the number of runs on the VM.
TEST_CASE("reports of news between the regular ones list no runs") {
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

TEST_CASE("a new coordinator gets the list of runs with the first report") {
  fixture world;
  world.Report();
  REQUIRE(world.last.omits_runs);
  world.core->OnCoordinator(2, "successor");
  world.Report();
  CHECK_FALSE(world.last.omits_runs);
}

}  // namespace chiveglade::workflow
