// Cost of target selection, heartbeats and queue operations.
#include <benchmark/benchmark.h>

#include "chiveglade/routing/class_queue.h"
#include "chiveglade/routing/target_directory.h"

namespace {

using namespace chiveglade;
using namespace chiveglade::routing;

std::shared_ptr<target_directory> Filled(int64_t targets) {
  auto out =
      *target_directory::Make({"dc0"}, [] { return boot_time(millis(1)); });
  for (int64_t i = 0; i < targets; ++i) {
    state::heartbeat beat;
    beat.vm = {"vm" + std::to_string(i), 1};
    beat.data_centre = "dc" + std::to_string(i % 6);
    beat.address = "10.0.0.1:" + std::to_string(i);
    beat.targets = {{"s", 8, static_cast<uint32_t>(i % 9), 0, 1'000}};
    out->OnHeartbeat(beat);
  }
  return out;
}

void Choose(benchmark::State& state) {
  const auto directory = Filled(state.range(0));
  random_engine engine(1);
  const random_fn random = [&] { return engine(); };
  for (auto _ : state) {
    benchmark::DoNotOptimize(directory->Choose("s", {}, random));
  }
}
BENCHMARK(Choose)->Arg(11)->Arg(670)->Arg(2'700);

// The worst case: no target is in service, so all are examined.
void ChooseNone(benchmark::State& state) {
  const auto directory = Filled(state.range(0));
  directory->SetOutOfService({"dc0", "dc1", "dc2", "dc3", "dc4", "dc5"}, {});
  random_engine engine(1);
  const random_fn random = [&] { return engine(); };
  for (auto _ : state) {
    benchmark::DoNotOptimize(directory->Choose("s", {}, random));
  }
}
BENCHMARK(ChooseNone)->Arg(11)->Arg(670)->Arg(2'700);

void Heartbeat(benchmark::State& state) {
  const auto directory = Filled(state.range(0));
  ::chiveglade::state::heartbeat beat;
  beat.vm = {"vm0", 1};
  beat.data_centre = "dc0";
  beat.address = "10.0.0.1:0";
  beat.targets = {{"s", 8, 1, 0, 1'000}};
  for (auto _ : state) {
    ++beat.tick;
    directory->OnHeartbeat(beat);
  }
}
BENCHMARK(Heartbeat)->Arg(2'700);

// Enqueues one request and finishes another, while `range` others wait.
void QueueOperations(benchmark::State& state) {
  const auto waiting = static_cast<uint32_t>(state.range(0));
  auto queue = *class_queue::Make(
      {8, 64, {{"urgent", 0, 100'000}, {"archive", 5, 100'000}}},
      [] { return boot_time(millis(1)); });
  class_queue::ticket granted = 0;
  const auto then = [&](class_queue::ticket which, const result<done>& got) {
    granted = got ? which : granted;
  };
  const boot_time deadline{millis(1'000'000)};
  for (uint32_t i = 0; i < 8 + waiting; ++i) {
    queue->Enqueue(i % 2 == 0 ? "urgent" : "archive", deadline, then);
  }
  for (auto _ : state) {
    queue->Enqueue("urgent", deadline, then);
    queue->Finish(granted, std::nullopt);
  }
}
BENCHMARK(QueueOperations)->Arg(0)->Arg(64)->Arg(10'000);

}  // namespace

BENCHMARK_MAIN();
