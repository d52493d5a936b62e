// Benchmarks of the durable state and of the scheduler's hot paths.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "chiveglade/authority/scheduler.h"
#include "chiveglade/state/event_codec.h"
#include "chiveglade/state/heartbeat_codec.h"
#include "chiveglade/state/snapshot_codec.h"
#include "tests/support/memory_store.h"

namespace chiveglade {

namespace {

constexpr uint32_t kTasksPerJob = 20;
constexpr uint32_t kTasksPerVm = 18;

state::job_spec Spec(uint32_t job) {
  state::job_spec spec;
  spec.name = "reconciliation-2026-12-04-" + std::to_string(job);
  spec.tenant = "tenant-" + std::to_string(job % 360);
  spec.klass = "reconciliation";
  spec.tasks = kTasksPerJob;
  spec.per_task = {500, 1'000, 0};
  spec.payload = std::string(120, 'p');
  return spec;
}

state::vm_id Vm(uint32_t index) {
  return {"vm-" + std::to_string(index), 0x1234'5678'9abc'def0ULL + index};
}

state::attempt_id Attempt(uint32_t task, uint32_t number) {
  return {{Spec(task / kTasksPerJob).name, task % kTasksPerJob}, number};
}

void Must(state::cluster_state& at, const state::event& change) {
  if (!at.Apply(change)) {
    std::abort();
  }
}

// Returns a state with this many running tasks, 18 on each VM.
state::cluster_state Running(uint32_t tasks) {
  state::cluster_state at;
  for (uint32_t vm = 0; vm <= tasks / kTasksPerVm; ++vm) {
    Must(at, state::vm_joined{Vm(vm), "dc1", "rack", {16'000, 60'000, 2}});
  }
  for (uint32_t job = 0; job < tasks / kTasksPerJob; ++job) {
    Must(at, state::job_submitted{Spec(job)});
  }
  for (uint32_t task = 0; task < tasks; ++task) {
    Must(at, state::attempt_granted{Attempt(task, 1), Vm(task / kTasksPerVm)});
    Must(at, state::attempt_running{Attempt(task, 1)});
  }
  return at;
}

// Returns the events of one attempt: granted, running, ended.
std::vector<state::event> Cycle(uint32_t task, uint32_t number) {
  const auto attempt = Attempt(task, number);
  return {state::attempt_granted{attempt, Vm(task / kTasksPerVm)},
          state::attempt_running{attempt},
          state::attempt_ended{attempt, state::attempt_end::kStopped,
                               "checkpoint/" + std::to_string(task),
                               millis(60'000), ""}};
}

void BmApply(benchmark::State& run) {
  const auto tasks = static_cast<uint32_t>(run.range(0));
  auto at = Running(tasks);
  for (uint32_t task = 0; task < tasks; ++task) {
    Must(at, Cycle(task, 1)[2]);
  }
  std::vector<uint32_t> numbers(tasks, 1);
  uint32_t task = 0;
  size_t events = 0;
  for (auto _ : run) {
    run.PauseTiming();
    const auto cycle = Cycle(task, ++numbers[task]);
    task = (task + 7) % tasks;
    run.ResumeTiming();
    for (const auto& change : cycle) {
      Must(at, change);
    }
    events += cycle.size();
  }
  run.SetItemsProcessed(static_cast<int64_t>(events));
}
BENCHMARK(BmApply)->Arg(1'200)->Arg(12'000)->Arg(24'000);

void BmEncodeRecord(benchmark::State& run) {
  std::vector<state::event> events;
  for (uint32_t task = 0; task < 28; ++task) {
    for (auto& one : Cycle(task * 31, 2)) {
      events.push_back(one);
    }
  }
  size_t bytes = 0;
  for (auto _ : run) {
    bytes = state::EncodeEvents(events).size();
  }
  run.SetItemsProcessed(static_cast<int64_t>(run.iterations() * events.size()));
  run.counters["record_bytes"] = static_cast<double>(bytes);
  run.counters["bytes_per_event"] =
      static_cast<double>(bytes) / static_cast<double>(events.size());
}
BENCHMARK(BmEncodeRecord);

void BmSnapshotEncode(benchmark::State& run) {
  const auto at = Running(static_cast<uint32_t>(run.range(0)));
  size_t bytes = 0;
  for (auto _ : run) {
    bytes = state::snapshot_codec::Encode(1, at, "").size();
  }
  run.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BmSnapshotEncode)
    ->Arg(1'200)
    ->Arg(12'000)
    ->Arg(24'000)
    ->Unit(benchmark::kMillisecond);

authority::planner_hooks NoPlanner() {
  authority::planner_hooks out;
  out.plan = [](const state::cluster_state&, const sched::cluster_view&) {
    return sched::plan{};
  };
  return out;
}

// An entry that takes over a journal whose snapshot holds `tasks` tasks,
// followed by `records` records of 84 events; 300 records are 30 s at peak
// load.
struct recovered_entry {
  recovered_entry(uint32_t tasks, uint64_t records) {
    auto at = Running(tasks);
    authority::journal_head head;
    head.sequence = head.snapshot = 1'000;
    head.oldest = 1'001;
    head.epoch = 1;
    head.released = true;
    store.objects().put(authority::SnapshotKey(1'000),
                        state::snapshot_codec::Encode(1'000, at, ""),
                        [](const result<done>&) {});
    uint32_t task = 0;
    for (uint64_t record = 0; record < records; ++record) {
      std::vector<state::event> events;
      for (int i = 0; i < 28; ++i, task = (task + 1) % tasks) {
        const uint32_t number = at.FindTask(Attempt(task, 1).task)->attempt;
        events.push_back(Cycle(task, number)[2]);
        events.push_back(Cycle(task, number + 1)[0]);
        events.push_back(Cycle(task, number + 1)[1]);
        for (size_t n = events.size() - 3; n < events.size(); ++n) {
          Must(at, events[n]);
        }
      }
      store.Commit({{},
                    {{authority::RecordKey(++head.sequence),
                      state::EncodeEvents(events)}}});
    }
    store.Commit({{}, {{authority::kHeadKey, authority::WriteHead(head)}}});
    Start();
  }

  void Start() {
    authority::scheduler_options options;
    options.name = "e";
    options.address = "127.0.0.1:1";
    options.takeover_jitter = millis(0);
    entry = *authority::scheduler::Make(
        options, store.table(), store.objects(), NoPlanner(),
        [this] { return now; }, [] { return uint64_t{1}; });
  }

  boot_time now{millis(1'000'000)};
  testing::memory_store store;
  std::unique_ptr<authority::scheduler> entry;
};

// Measures the time from the first read of the head to the committed takeover,
// with an in-memory store.
void BmRecovery(benchmark::State& run) {
  recovered_entry world(static_cast<uint32_t>(run.range(0)), 300);
  const auto rows = world.store.Read(authority::kHeadKey)->value;
  const auto next = authority::RecordKey(1'301);
  for (auto _ : run) {
    run.PauseTiming();
    world.store.Commit(
        {{}, {{authority::kHeadKey, rows}, {next, std::nullopt}}});
    world.Start();
    run.ResumeTiming();
    world.entry->Tick();
    if (!world.entry->holds_role()) {
      std::abort();
    }
  }
}
BENCHMARK(BmRecovery)
    ->Arg(1'200)
    ->Arg(12'000)
    ->Arg(24'000)
    ->Unit(benchmark::kMillisecond);

state::heartbeat Beat(uint32_t vm, uint32_t tasks, int64_t tick) {
  state::heartbeat out;
  out.vm = Vm(vm);
  out.data_centre = "dc1";
  out.rack = "rack";
  out.address = "10.11.12.13:7400";
  out.capacity = {16'000, 60'000, 2};
  out.sequence = static_cast<uint64_t>(tick);
  out.tick = tick;
  out.targets = {{"colour-matching", 8, 3, 1, 4'200}};
  for (uint32_t i = 0; i < kTasksPerVm && vm * kTasksPerVm + i < tasks; ++i) {
    out.attempts.push_back(
        {Attempt(vm * kTasksPerVm + i, 1), {480, 912, 0}, millis(61'234), 104});
  }
  return out;
}

// Measures decoding and handling heartbeats and encoding their answers, plus
// the decision round on their reports.
void BmHeartbeat(benchmark::State& run) {
  const auto vms = static_cast<uint32_t>(run.range(0));
  const uint32_t tasks = vms * kTasksPerVm / kTasksPerJob * kTasksPerJob;
  recovered_entry world(tasks, 0);
  world.entry->Tick();
  std::vector<std::string> messages;
  for (uint32_t vm = 0; vm < vms; ++vm) {
    messages.push_back(state::EncodeHeartbeat(Beat(vm, tasks, 1'000)));
  }
  size_t answer = 0;
  for (auto _ : run) {
    for (const auto& bytes : messages) {
      const auto message = state::DecodeHeartbeat(bytes);
      answer = state::EncodeAnswer(world.entry->OnHeartbeat(*message)).size();
    }
    world.now += millis(1'000);
    world.entry->Tick();
  }
  run.SetItemsProcessed(static_cast<int64_t>(run.iterations() * vms));
  run.counters["heartbeat_bytes"] = static_cast<double>(messages[0].size());
  run.counters["answer_bytes"] = static_cast<double>(answer);
}
BENCHMARK(BmHeartbeat)
    ->Arg(11)
    ->Arg(670)
    ->Arg(2'700)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace chiveglade

BENCHMARK_MAIN();
