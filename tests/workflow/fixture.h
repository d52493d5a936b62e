// Builders of jobs and reports, and a coordinator on a manual clock, for the
// tests of the workflow module.
#ifndef CHIVEGLADE_TESTS_WORKFLOW_FIXTURE_H_
#define CHIVEGLADE_TESTS_WORKFLOW_FIXTURE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/workflow/coordinator.h"

namespace chiveglade::workflow {

constexpr char kQueue[] = "queue";
constexpr char kService[] = "service";
constexpr resources kVmSize{16'000, 64'000, 0};

inline step_spec MakeStep(uint32_t count, int64_t millicores = 1'000) {
  step_spec out;
  out.count = count;
  out.demand = {millicores, 1'000, 0};
  out.estimate = millis(1'000);
  return out;
}

inline submission MakeSubmission(std::vector<step_spec> steps) {
  submission out;
  out.queue = kQueue;
  out.service = kService;
  out.attempts = 2;
  out.job.payload = "payload";
  out.job.steps = std::move(steps);
  return out;
}

inline catalogue MakeCatalogue() {
  catalogue out;
  out.version = 1;
  queue_policy queue;
  queue.name = kQueue;
  queue.service = kService;
  queue.host = "host";
  queue.path_prefix = "/jobs/";
  queue.attempts = 2;
  queue.objective_factor = 2;
  out.queues.push_back(queue);
  return out;
}

// A coordinator whose clock, reports and commits are driven by the test.
struct coordinator_fixture {
  explicit coordinator_fixture(uint64_t epoch = 1) { Restart(epoch); }

  void Restart(uint64_t epoch) {
    coordinator_options options;
    options.epoch = epoch;
    options.address = "coordinator";
    options.log = log;
    options.keep_interference = keep_interference;
    core.emplace(std::move(options));
    core->SetCatalogue(MakeCatalogue());
  }

  report MakeReport(const std::string& vm) {
    report out;
    out.vm = vm;
    out.address = vm + "-address";
    out.runner_incarnation = "life";
    out.sequence = ++sequence;
    out.answered = sequence - 1;
    out.boot_clock_ms =
        std::chrono::duration_cast<millis>(now.time_since_epoch()).count();
    out.epoch = 1;
    out.worker_incarnation = 1'000;
    out.phase = worker_phase::kReady;
    out.instance = "i-" + vm;
    out.service = kService;
    out.data_centre = "dc";
    out.rack = "rack";
    out.labels = {"a", "rack"};
    out.capacity = kVmSize;
    out.complete = true;
    return out;
  }

  report_reply Report(const report& in) { return core->OnReport(in, now, now); }

  // Sends a report that lists these runs as started.
  report_reply ReportRunning(const std::string& vm,
                             const std::vector<run_key>& runs,
                             uint32_t percent = 50) {
    auto in = MakeReport(vm);
    for (const auto& run : runs) {
      run_status status;
      status.run = run;
      status.started = true;
      status.percent = percent;
      in.runs.push_back(status);
    }
    return Report(in);
  }

  report_reply ReportEnd(const std::string& vm,
                         uint64_t number,
                         const run_key& run,
                         run_result how) {
    auto in = MakeReport(vm);
    in.ends.push_back({number, run, how, ""});
    return Report(in);
  }

  void Tick() { core->Tick(now, unix_ms); }

  void Commit() {
    (void)core->TakeBatch(now);
    core->OnCommitted(now);
  }

  // Places tasks, commits, and returns the starts that are sent.
  std::vector<start_order> Starts() {
    Tick();
    Commit();
    std::vector<start_order> out;
    for (const auto& next : core->TakeOrders(now)) {
      sent.push_back(next);
      out.insert(out.end(), next.message.starts.begin(),
                 next.message.starts.end());
    }
    return out;
  }

  // Returns the stops that are sent, without committing.
  std::vector<run_key> Stops() {
    Tick();
    std::vector<run_key> out;
    for (const auto& next : core->TakeOrders(now)) {
      out.insert(out.end(), next.message.stops.begin(),
                 next.message.stops.end());
    }
    return out;
  }

  void AddJob(const std::string& id, const submission& in) {
    core->AddJob(id, in, std::nullopt, now, unix_ms);
  }

  // Receives the log lines of coordinators created by Restart. Optional.
  std::function<void(const char* event,
                     const std::vector<std::pair<std::string, std::string>>&)>
      log;
  boot_time now{millis(1'000'000)};
  bool keep_interference = false;  // of coordinators created by Restart
  int64_t unix_ms = 1'700'000'000'000;
  uint64_t sequence = 0;
  std::optional<coordinator> core;
  std::vector<coordinator::addressed_orders> sent;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_TESTS_WORKFLOW_FIXTURE_H_
