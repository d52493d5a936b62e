#include <catch2/catch.hpp>

#include "chiveglade/agent/worker_codec.h"
#include "task_table.h"

namespace chiveglade::standin {

using agent::worker_call;
using agent::worker_call_kind;
using agent::worker_call_status;
using agent::worker_state;

namespace {

struct fixture {
  explicit fixture(table_options options = {}) {
    options.capacity = {4'000, 4'096, 0};
    options.boot = 5;
    tasks = std::make_unique<task_table>(options, past,
                                         [this] { return random(); });
  }

  worker_call Start(const std::string& job, const std::string& payload) {
    worker_call out;
    out.kind = worker_call_kind::kStart;
    out.boot = 5;
    out.attempt = {{job, 0}, 1};
    out.order.attempt = out.attempt;
    out.order.spec.name = job;
    out.order.spec.klass = job;
    out.order.spec.per_task = {3'000, 1'000, 0};
    out.order.spec.payload = payload;
    out.not_after = now + millis(500);
    out.lease_until = now + millis(10'000);
    out.grant_until = now + millis(60'000);
    return out;
  }

  worker_call_status Handle(const worker_call& call) {
    return tasks->Handle(call, now).status;
  }

  agent::worker_task Task() {
    const auto list = tasks->List(now).tasks;
    REQUIRE(list.size() == 1);
    return list[0];
  }

  random_engine random{1};
  boot_time now{millis(1'000'000)};
  history past;
  std::unique_ptr<task_table> tasks;
};

}  // namespace

// Guards against a checker that blames the agent for what the worker let by.
TEST_CASE("leases and call expiry are enforced and breaches recorded") {
  fixture at;
  auto call = at.Start("a", R"({"never_ends": true})");
  CHECK(at.Handle(call) == worker_call_status::kDone);
  CHECK(at.tasks->Handle(call, at.now).why.code == "exists");
  auto late = at.Start("b", "");
  late.not_after = at.now;
  CHECK(at.tasks->Handle(late, at.now).why.code == "late");
  late.boot = 6;
  CHECK(at.tasks->Handle(late, at.now).why.code == "boot");
  CHECK(at.past.violations().empty());
  CHECK(at.Handle(at.Start("b", "")) == worker_call_status::kDone);
  CHECK(at.past.violations().size() == 1);  // 6,000 of 4,000 millicores
  at.now += millis(10'000);
  const auto list = at.tasks->List(at.now).tasks;
  REQUIRE(list.size() == 2);
  CHECK(list[0].state == worker_state::kLapsed);
  CHECK(list[1].state == worker_state::kFinished);
  const auto& past = at.past.attempts().at(call.attempt);
  CHECK(past.ended == call.lease_until);
}

// Guards against work that is lost or counted twice over an eviction.
TEST_CASE("a stop saves the work and a start resumes it") {
  fixture at;
  auto call = at.Start("a", R"({"run_ms": 5000, "checkpoint_ms": 100})");
  (void)at.Handle(call);
  at.now += millis(2'000);
  auto stop = call;
  stop.kind = worker_call_kind::kStop;
  (void)at.Handle(stop);
  CHECK(at.tasks->TakeCheckpointJobs().empty());
  at.now += millis(100);
  at.tasks->Advance(at.now);
  const auto jobs = at.tasks->TakeCheckpointJobs();
  REQUIRE(jobs.size() == 1);
  CHECK(at.Task().state == worker_state::kStopping);
  at.tasks->OnCheckpoint(jobs[0], jobs[0].work, at.now);
  CHECK(at.Task().state == worker_state::kStopped);
  CHECK(at.Task().checkpoint == jobs[0].key);
  CHECK(at.Task().checkpoint_work == millis(2'100));
  auto forget = call;
  forget.kind = worker_call_kind::kForget;
  forget.forget = {call.attempt};
  (void)at.Handle(forget);
  CHECK(at.tasks->Handle(at.Start("a", ""), at.now).why.code == "ran_before");
  auto next = at.Start("a", R"({"run_ms": 5000})");
  next.attempt.number = 2;
  next.order.checkpoint = jobs[0].key;
  next.order.work_done = jobs[0].work;
  (void)at.Handle(next);
  const auto reads = at.tasks->TakeCheckpointJobs();
  REQUIRE(reads.size() == 1);
  CHECK(reads[0].read);
  at.tasks->OnCheckpoint(reads[0], jobs[0].work, at.now);
  at.now += millis(2'899);
  CHECK(at.Task().state == worker_state::kRunning);
  at.now += millis(1);
  CHECK(at.Task().state == worker_state::kFinished);
}

// Guards against measurements that are newer than the platform's would be.
TEST_CASE("progress follows throttle and neighbours and is reported late") {
  table_options options;
  options.slowdowns[{"a", "b"}] = 50;
  fixture at(options);
  auto call = at.Start("a", R"({"never_ends": true})");
  (void)at.Handle(call);
  at.tasks->Advance(at.now);
  at.now += millis(1'000);
  auto throttle = call;
  throttle.kind = worker_call_kind::kThrottle;
  throttle.percent = 50;
  (void)at.Handle(throttle);
  CHECK(at.Task().work_done == millis(0));
  at.now += millis(500);
  at.tasks->Advance(at.now);
  CHECK(at.Task().slowdown_pct == 100);
  at.now += millis(1'000);
  CHECK(at.Task().work_done == millis(1'250));
  CHECK(at.Task().used.millicores == 1'200);
  (void)at.Handle(at.Start("b", R"({"never_ends": true})"));
  at.now += millis(1'000);
  at.tasks->Advance(at.now);
  at.now += millis(1'000);
  CHECK(at.tasks->List(at.now).tasks[0].slowdown_pct == 150);
}

// Guards against a call or list that changes on the wire.
TEST_CASE("calls and lists survive their encoding") {
  fixture at;
  auto call = at.Start("a", R"({"service": "s"})");
  call.stop_grace = millis(2'500);
  call.order.checkpoint = "checkpoint/a";
  call.order.tick = 77;
  const auto read = agent::DecodeCall(call.kind, agent::EncodeCall(call));
  REQUIRE(read);
  CHECK(*read == call);
  worker_call renew;
  renew.kind = worker_call_kind::kRenew;
  renew.boot = UINT64_MAX;
  renew.renewals = {{call.attempt, at.now, at.now + millis(1)}};
  CHECK(*agent::DecodeCall(renew.kind, agent::EncodeCall(renew)) == renew);
  (void)at.Handle(call);
  const auto listing = at.tasks->List(at.now);
  CHECK(*agent::DecodeListing(agent::EncodeListing(listing)) == listing);
  CHECK_FALSE(agent::DecodeListing("{\"boot\": 1}"));
  CHECK_FALSE(agent::DecodeCall(call.kind, "[]"));
}

}  // namespace chiveglade::standin
