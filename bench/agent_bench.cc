// Cost of the agent's core: one tick, and one heartbeat with its answer.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "chiveglade/agent/agent_core.h"
#include "chiveglade/state/heartbeat_codec.h"

namespace chiveglade::agent {

namespace {

// An agent whose worker runs `count` tasks; the clock is moved by hand.
struct running_agent {
  explicit running_agent(int64_t count) {
    agent_options options;
    options.vm = "vm-0123";
    options.data_centre = "dc1";
    options.rack = "rack-17";
    options.address = "10.1.2.3:7000";
    options.capacity = {1'000'000, 1'000'000, 0};
    core = *agent_core::Make(options, [this] { return now; });
    for (int64_t i = 0; i < count; ++i) {
      worker_task task;
      task.attempt = {{"reconcile-" + std::to_string(i), 3}, 2};
      task.size = {1'000, 2'000, 0};
      task.run_lease = millis(900'000);
      task.stop_grace = millis(3'000);
      task.grant_until = now + task.run_lease;
      task.lease_until = now + millis(10'000);
      task.used = {800, 1'500, 0};
      task.work_done = millis(123'456);
      task.slowdown_pct = 108;
      tasks.push_back(task);
    }
    for (int i = 0; i < 3; ++i) {
      List();
      now += kStartCallLimit + millis(1);
    }
    List();
  }

  void List() {
    Tick();
    core->OnWorkerBoot(0x123456789abcdef);
    core->OnWorkerTasks(tasks);
  }

  // Answers every call but a list.
  void Tick() {
    for (const auto& call : core->Tick()) {
      if (call.kind != worker_call_kind::kList) {
        core->OnWorkerCall(call, {worker_call_status::kDone, {}});
      }
    }
  }

  state::heartbeat_answer Answer() const {
    state::heartbeat_answer out;
    out.epoch = 1;
    out.scheduler = "10.1.0.1:7000";
    out.grants = true;
    out.append_age = millis(80);
    constexpr int kEntries = 18;
    for (int i = 0; i < kEntries; ++i) {
      const auto name = std::to_string(i);
      out.entries.push_back({"entry-" + name, "dc" + name, "10.1.0.1:7000"});
    }
    return out;
  }

  boot_time now{millis(1'000'000)};
  std::vector<worker_task> tasks;
  std::unique_ptr<agent_core> core;
};

void Tick(benchmark::State& state) {
  running_agent agent(state.range(0));
  constexpr int kTicksPerList = 10;  // a list each 500 ms, a tick each 50 ms
  int ticks = 0;
  for (auto _ : state) {
    agent.now += millis(50);
    agent.Tick();
    if (++ticks % kTicksPerList == 0) {
      agent.core->OnWorkerTasks(agent.tasks);
    }
    if (ticks % (2 * kTicksPerList) == 0) {
      const auto beat = agent.core->MakeHeartbeat();
      agent.core->OnAnswer(beat, agent.Answer());
    }
  }
}
BENCHMARK(Tick)->Arg(1)->Arg(18)->Arg(64);

void Heartbeat(benchmark::State& state) {
  running_agent agent(state.range(0));
  const auto answer = state::EncodeAnswer(agent.Answer());
  size_t bytes = 0;
  for (auto _ : state) {
    const auto beat = agent.core->MakeHeartbeat();
    const auto body = state::EncodeHeartbeat(beat);
    bytes = body.size();
    agent.core->OnAnswer(beat, *state::DecodeAnswer(answer));
  }
  state.counters["bytes_out"] = static_cast<double>(bytes);
  state.counters["bytes_in"] = static_cast<double>(answer.size());
}
BENCHMARK(Heartbeat)->Arg(1)->Arg(18)->Arg(64);

}  // namespace

}  // namespace chiveglade::agent

BENCHMARK_MAIN();
