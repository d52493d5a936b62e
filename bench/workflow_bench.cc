// Processor time of the messages and records that the coordinator handles for
// each start of a task: a report of a VM, an order, and the record of a job.
#include <string>

#include <benchmark/benchmark.h>

#include "chiveglade/workflow/job_record.h"
#include "chiveglade/workflow/message.h"

namespace chiveglade::workflow {

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";
// Runs on a VM, tasks of a step, and steps of a job on the largest deployment.
constexpr uint32_t kRuns = 30;
constexpr uint32_t kTasks = 20;
constexpr uint32_t kSteps = 2;

report MakeReport(uint32_t runs) {
  report out;
  out.vm = "side-hu-central-b-1";
  out.address = "10.2.0.27:7560";
  out.runner_incarnation = "0f3a9c1b22d7e845";
  out.sequence = 1'234;
  out.boot_clock_ms = 1'779'046'446'054;
  out.worker_incarnation = 1'779'046'446'054;
  out.phase = worker_phase::kReady;
  out.instance = "i-7f3a91c2";
  out.service = "huvo11a";
  out.data_centre = "hu-central-b";
  out.rack = "r1-3";
  out.labels = {"a", "r1-3"};
  out.capacity = {32'000, 128'000, 0};
  out.omits_runs = runs == 0;
  for (uint32_t i = 0; i < runs; ++i) {
    run_status status;
    status.run = {{kJob, 0, 1, i}, 1};
    status.started = true;
    status.percent = 40;
    status.checkpoint = "00000bb87a21d94b";
    status.load = 3'200;
    out.runs.push_back(status);
  }
  out.ends.push_back({57, {{kJob, 0, 0, 3}, 1}, run_result::kDone, ""});
  return out;
}

void DecodeReportWithRuns(benchmark::State& state) {
  const auto bytes = Encode(MakeReport(kRuns));
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecodeReport(bytes));
  }
}
BENCHMARK(DecodeReportWithRuns);

void DecodeReportOfAnEnd(benchmark::State& state) {
  const auto bytes = Encode(MakeReport(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecodeReport(bytes));
  }
}
BENCHMARK(DecodeReportOfAnEnd);

void EncodeOrders(benchmark::State& state) {
  orders message;
  message.coordinator = "10.2.0.27:7560";
  message.starts.push_back({{{kJob, 0, 1, 3}, 1},
                            std::string(600, 'x'),
                            "",
                            "",
                            "062c62",
                            true,
                            3'500,
                            millis(0)});
  for (int i = 0; i < 8; ++i) {
    message.weights.push_back({"062c62", "1f3460", 0.25});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(Encode(message));
  }
}
BENCHMARK(EncodeOrders);

void EncodeRunningJob(benchmark::State& state) {
  job_record record;
  record.phase = job_phase::kRunning;
  task_record task;
  task.last_run = 1;
  task.checkpoint = "00000bb87a21d94b";
  task.live_runs.push_back({1, "side-hu-central-b-1", 1'779'046'446'054});
  record.tasks.assign(1, std::vector<std::vector<task_record>>(
                             kSteps, std::vector<task_record>(kTasks, task)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(EncodeProgressRow(record, 0));
  }
}
BENCHMARK(EncodeRunningJob);

}  // namespace

}  // namespace chiveglade::workflow

BENCHMARK_MAIN();
