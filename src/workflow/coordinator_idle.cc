// Reports jobs of which nothing runs although a task is ready to run.
#include <algorithm>

#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

// Longer than an order, its report and a retry take.
constexpr millis kIdleReportAfter{3'000};
constexpr millis kIdleCheckInterval{1'000};

}  // namespace

const char* ToString(idle_reason in) {
  switch (in) {
    case idle_reason::kUninformed:
      return "uninformed";
    case idle_reason::kNotPlaced:
      return "not_placed";
    case idle_reason::kNotStored:
      return "not_stored";
    case idle_reason::kUndelivered:
      return "undelivered";
    case idle_reason::kUnconfirmed:
      return "unconfirmed";
    case idle_reason::kNotStarted:
      return "not_started";
  }
  return "unknown";
}

std::optional<task_key> coordinator::state::FindReadyTask(const job_state& job,
                                                          boot_time now) const {
  for (uint32_t k = 0; k < job.record.tasks.size(); ++k) {
    if (unix_ms < DueUnixMs(job.in.job.repeat, k)) {
      break;
    }
    for (uint32_t s = 0; s < job.in.job.steps.size(); ++s) {
      if (!StepIsReady(job, k, s) || now < job.retry_at[s]) {
        continue;
      }
      const auto& tasks = job.record.tasks[k][s];
      const auto pending =
          std::find_if(tasks.begin(), tasks.end(), [](const task_record& task) {
            return task.phase == task_phase::kPending;
          });
      if (pending != tasks.end()) {
        return task_key{job.id, k, s,
                        static_cast<uint32_t>(pending - tasks.begin())};
      }
    }
  }
  return std::nullopt;
}

idle_reason coordinator::state::WhyIdle(const task_record& task,
                                        const task_key& key,
                                        boot_time now) const {
  if (task.live_runs.empty()) {
    return IsInformed(now) ? idle_reason::kNotPlaced : idle_reason::kUninformed;
  }
  const auto& live = task.live_runs.back();
  const auto vm = vms.find(live.vm);
  if (vm == vms.end()) {
    return idle_reason::kUnconfirmed;
  }
  const auto run = vm->second.runs.find({key, live.run});
  if (run == vm->second.runs.end()) {
    return idle_reason::kUnconfirmed;
  }
  if (!run->second.durable) {
    return idle_reason::kNotStored;
  }
  if (run->second.known_to_runner) {
    return idle_reason::kNotStarted;
  }
  return vm->second.orders_failing_since == boot_time{}
             ? idle_reason::kUnconfirmed
             : idle_reason::kUndelivered;
}

void coordinator::state::ReportIdleJobs(boot_time now) {
  if (now - idle_checked_at < kIdleCheckInterval) {
    return;
  }
  idle_checked_at = now;
  counters.jobs_idle = {};
  for (const auto& [name, vm] : vms) {
    for (const auto& [run, hosted] : vm.runs) {
      if (auto* job = hosted.started ? FindJob(run.task.job) : nullptr) {
        job->listed_at = now;
      }
    }
  }
  for (const auto& id : active) {
    auto& job = *jobs.at(id);
    if (job.listed_at == now) {
      continue;
    }
    const auto key = FindReadyTask(job, now);
    if (!key) {
      job.listed_at = now;
      continue;
    }
    const auto idle = std::chrono::duration_cast<millis>(now - job.listed_at);
    if (idle < kIdleReportAfter) {
      continue;
    }
    const auto& task = *FindTask(job, *key);
    const auto why = WhyIdle(task, *key, now);
    ++counters.jobs_idle[static_cast<size_t>(why)];
    log_fields fields = {{"job", id},
                         {"task", ToString(*key)},
                         {"reason", ToString(why)},
                         {"idle_ms", std::to_string(idle.count())}};
    if (!task.live_runs.empty()) {
      const auto& live = task.live_runs.back();
      fields.emplace_back("vm", live.vm);
      fields.emplace_back("run", std::to_string(live.run));
      if (const auto vm = vms.find(live.vm); vm != vms.end()) {
        const auto run = vm->second.runs.find({*key, live.run});
        fields.emplace_back("orders_sent",
                            std::to_string(run == vm->second.runs.end()
                                               ? 0
                                               : run->second.orders_sent));
        fields.emplace_back("lists_complete",
                            vm->second.last_report.complete ? "yes" : "no");
      }
    }
    Log("job_idle", fields);
  }
}

}  // namespace chiveglade::workflow
