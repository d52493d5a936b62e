// Bookkeeping of the starts and ends of runs.
#include <algorithm>

#include "chiveglade/workflow/headroom.h"
#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

// Delay before a failed long-running task is restarted, so that a task that
// always fails does not keep its worker busy.
constexpr millis kRestartDelay{100};

// Pause in starts on a VM whose runner or worker refused one. Prevents a tight
// loop of starts and refusals.
constexpr millis kStartPauseAfterRefusal{300};

// A long-running task is at work once its percentage has reached this.
constexpr uint32_t kFullyStartedPercent = 100;

resources ReservedBy(const step_spec& step) {
  resources out = step.demand;
  if (step.best_effort) {
    out.millicores = 0;
  }
  return out;
}

}  // namespace

double LatencyRatio(const hosted_run& serving) {
  if (!serving.step || serving.load < 0 ||
      serving.step->latency_target.count() == 0) {
    return 0;
  }
  return static_cast<double>(serving.load) /
         static_cast<double>(serving.step->latency_target.count());
}

double PeakLatencyRatio(const hosted_run& serving) {
  const double now = LatencyRatio(serving);
  return serving.own_peak == 0
             ? now
             : std::max(now, LatencyRatioAt(HeadroomAt(serving.own_peak) -
                                            serving.impact));
}

void coordinator::state::AddRun(vm_state& vm,
                                const run_key& run,
                                hosted_run hosted) {
  if (auto* job = FindJob(run.task.job)) {
    hosted.step = &StepOf(*job, run.task);
    ++job->live_runs;
    vm.reserved += ReservedBy(*hosted.step);
    vm.best_effort_millicores +=
        hosted.step->best_effort ? hosted.step->demand.millicores : 0;
    vm.serving_millicores += hosted.step->latency_target.count() > 0
                                 ? hosted.step->demand.millicores
                                 : 0;
  }
  run_count += vm.runs.emplace(run, std::move(hosted)).second ? 1 : 0;
  vm.load_stale = true;
}

void coordinator::state::RemoveRun(vm_state& vm,
                                   std::map<run_key, hosted_run>::iterator at) {
  if (const auto* step = at->second.step) {
    vm.reserved -= ReservedBy(*step);
    vm.best_effort_millicores -=
        step->best_effort ? step->demand.millicores : 0;
    vm.serving_millicores -=
        step->latency_target.count() > 0 ? step->demand.millicores : 0;
  }
  const auto& task = at->first.task;
  if (const auto load =
          replica_loads.find({task.job, task.occurrence, task.step});
      load != replica_loads.end()) {
    load->second.Remove(at->first);
    if (load->second.empty()) {
      replica_loads.erase(load);
    }
  }
  vm.runs.erase(at);
  --run_count;
  vm.load_stale = true;
  placement_due = true;
}

void coordinator::state::EndRun(vm_state& vm,
                                const run_key& run,
                                run_result how,
                                const std::string& checkpoint,
                                boot_time now) {
  vm.unwanted_runs.erase(run);
  const auto at = vm.runs.find(run);
  if (at == vm.runs.end()) {
    return;  // Already ended by the coordinator, for example by lease expiry.
  }
  const std::string newest =
      checkpoint.empty() ? at->second.checkpoint : checkpoint;
  const bool was_stopping = at->second.stopping;
  LearnFromEnd(vm, run, at->second, how, now);
  if (at->second.step && at->second.step->best_effort) {
    vm.best_effort_ended_at = now;
  }
  RemoveRun(vm, at);
  auto* job = FindJob(run.task.job);
  auto* task = job ? FindTask(*job, run.task) : nullptr;
  if (!task) {
    return;
  }
  if (--job->live_runs == 0) {
    job->idle_since = now;
  }
  std::erase_if(task->live_runs,
                [&](const placed_run& live) { return live.run == run.run; });
  MarkDirty(*job, ProgressRowOf(job->record, run.task));
  const std::string earlier = task->checkpoint;
  KeepCheckpoint(newest, run, *task);
  if (task->phase != task_phase::kPending) {
    task->checkpoint.clear();
  }
  if (StepOf(*job, run.task).gang) {
    ShareGangCheckpoint(*job, run.task, task->checkpoint != earlier);
  }
  Log("run_ended", {{"job", run.task.job},
                    {"task", ToString(run.task)},
                    {"run", std::to_string(run.run)},
                    {"vm", vm.name},
                    {"outcome", ToString(how)},
                    {"asked", was_stopping ? "yes" : "no"}});
  const bool long_running = StepOf(*job, run.task).long_running;
  // A refused run has not begun. One that lapsed may never have been listed.
  if (how != run_result::kRefused && how != run_result::kLapsed) {
    NoteBegun(*job, ToString(how), vm.name);
  }
  switch (how) {
    case run_result::kDone:
      ++counters.done;
      vm.health.OnDone();
      if (!long_running && task->phase == task_phase::kPending) {
        OnTaskDone(*job, *task, run, now);
      }
      break;
    case run_result::kFailed:
      // Also while the run is being stopped: the order may have been too late.
      ++counters.failed;
      vm.health.OnFailed(run.task.job, now);
      OnTaskFailed(*job, *task, run, now);
      break;
    case run_result::kRefused:
      ++counters.refused;
      vm.health.OnRefused(now);
      vm.starts_paused_until = now + kStartPauseAfterRefusal;
      break;
    default:
      ++counters.interrupted;
      break;
  }
}

void coordinator::state::OnLateDone(const vm_state& vm,
                                    const run_key& run,
                                    boot_time now) {
  auto* job = FindJob(run.task.job);
  auto* task = job ? FindTask(*job, run.task) : nullptr;
  if (!task || task->phase != task_phase::kPending ||
      run.run > task->last_run || IsFinal(job->record.phase) ||
      StepOf(*job, run.task).long_running) {
    return;
  }
  if (const auto& tasks = job->record.tasks[run.task.occurrence][run.task.step];
      StepOf(*job, run.task).gang &&
      std::any_of(tasks.begin(), tasks.end(), [](const task_record& member) {
        return !member.live_runs.empty();
      })) {
    return;  // The runs of a gang are not stopped when one of it is done.
  }
  Log("run_done_late", {{"job", run.task.job},
                        {"task", ToString(run.task)},
                        {"run", std::to_string(run.run)},
                        {"vm", vm.name}});
  ++counters.done;
  NoteBegun(*job, "done_late", vm.name);
  MarkDirty(*job, ProgressRowOf(job->record, run.task));
  OnTaskDone(*job, *task, run, now);
}

void coordinator::state::KeepCheckpoint(const std::string& checkpoint,
                                        const run_key& run,
                                        task_record& task) const {
  if (checkpoint.empty() || task.phase != task_phase::kPending) {
    return;
  }
  if (checkpoint.size() > kMaxCheckpointBytes) {
    Log("checkpoint_too_long", {{"task", ToString(run.task)},
                                {"run", std::to_string(run.run)},
                                {"bytes", std::to_string(checkpoint.size())}});
    return;
  }
  task.checkpoint = checkpoint;
}

void coordinator::state::ShareGangCheckpoint(job_state& job,
                                             const task_key& member,
                                             bool is_newest) {
  auto& tasks = job.record.tasks[member.occurrence][member.step];
  const auto is_waiting = [](const task_record& task) {
    return task.live_runs.empty() && task.phase == task_phase::kPending;
  };
  std::string shared;
  if (is_waiting(tasks[member.index])) {
    shared = tasks[member.index].checkpoint;
  }
  for (uint32_t i = 0; i < tasks.size() && !is_newest; ++i) {
    if (i != member.index && is_waiting(tasks[i]) &&
        !tasks[i].checkpoint.empty()) {
      shared = tasks[i].checkpoint;
      break;
    }
  }
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (is_waiting(tasks[i]) && tasks[i].checkpoint != shared) {
      tasks[i].checkpoint = shared;
      auto key = member;
      key.index = i;
      MarkDirty(job, ProgressRowOf(job.record, key));
    }
  }
}

void coordinator::state::OnTaskDone(job_state& job,
                                    task_record& task,
                                    const run_key& run,
                                    boot_time now) {
  auto& tasks = job.record.tasks[run.task.occurrence][run.task.step];
  auto& count = job.done_task_counts[run.task.occurrence][run.task.step];
  if (StepOf(job, run.task).gang) {
    // The end of one member completes the gang; the other members end on their
    // own. Until then they keep their checkpoint, for orders sent again.
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      tasks[i].phase = task_phase::kDone;
      if (tasks[i].live_runs.empty()) {
        tasks[i].checkpoint.clear();
      }
      auto member = run.task;
      member.index = i;
      MarkDirty(job, ProgressRowOf(job.record, member));
    }
    count = static_cast<uint32_t>(tasks.size());
  } else {
    task.phase = task_phase::kDone;
    task.checkpoint.clear();
    ++count;
    StopTask(task, run.task, now);
  }
  job.left_stale = true;
  FinishIfComplete(job, now);
}

void coordinator::state::OnTaskFailed(job_state& job,
                                      task_record& task,
                                      const run_key& run,
                                      boot_time now) {
  if (task.phase != task_phase::kPending) {
    return;
  }
  if (StepOf(job, run.task).long_running) {
    job.retry_at[run.task.step] = now + kRestartDelay;
    return;
  }
  ++task.failures;
  if (task.failures < job.attempts || IsFinal(job.record.phase)) {
    return;
  }
  task.phase = task_phase::kFailed;
  FinishJob(job, job_phase::kFailed, now);
  StopJob(job, now);
}

void coordinator::state::StopTask(const task_record& task,
                                  const task_key& key,
                                  boot_time now) {
  for (const auto& live : task.live_runs) {
    StopRun(live.vm, {key, live.run}, now);
  }
}

bool coordinator::state::IsAtWork(const task_record& task,
                                  const task_key& key,
                                  boot_time now) const {
  return std::any_of(
      task.live_runs.begin(), task.live_runs.end(), [&](const auto& live) {
        const auto vm = vms.find(live.vm);
        if (vm == vms.end()) {
          return false;
        }
        const auto& heard = vm->second;
        const auto at = heard.runs.find({key, live.run});
        return at != heard.runs.end() && at->second.started &&
               !at->second.stopping &&
               at->second.percent >= kFullyStartedPercent &&
               heard.has_reported && heard.last_report.complete &&
               heard.last_report.phase == worker_phase::kReady &&
               now - heard.last_report_at < options.report_timeout;
      });
}

bool coordinator::state::MayDisrupt(job_state& job,
                                    const task_key& task,
                                    boot_time now) const {
  const auto& step = StepOf(job, task);
  if (!step.long_running || step.disruption_budget < 0) {
    return true;
  }
  const auto& tasks = job.record.tasks[task.occurrence][task.step];
  int32_t unavailable = 0;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    auto other = task;
    other.index = i;
    unavailable += i != task.index && !IsAtWork(tasks[i], other, now) ? 1 : 0;
  }
  return unavailable < step.disruption_budget;
}

void coordinator::state::StopRun(const std::string& vm,
                                 const run_key& run,
                                 boot_time /*now*/) {
  const auto at = vms.find(vm);
  if (at == vms.end()) {
    return;
  }
  const auto hosted = at->second.runs.find(run);
  if (hosted == at->second.runs.end() || hosted->second.stopping) {
    return;
  }
  hosted->second.stopping = true;
  hosted->second.last_order_at = {};
  vms_with_orders.insert(vm);
}

void coordinator::state::EndRunsBefore(vm_state& vm,
                                       int64_t incarnation,
                                       const char* why,
                                       boot_time now) {
  std::vector<run_key> over;
  for (const auto& [run, hosted] : vm.runs) {
    if (hosted.worker_incarnation < incarnation) {
      over.push_back(run);
    }
  }
  if (!over.empty()) {
    Log("runs_over", {{"vm", vm.name},
                      {"runs", std::to_string(over.size())},
                      {"reason", why}});
  }
  for (const auto& run : over) {
    EndRun(vm, run, run_result::kLapsed, "", now);
  }
}

}  // namespace chiveglade::workflow
