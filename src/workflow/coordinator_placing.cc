// Placement: which tasks start next, and on which VM.
//
// When more tasks are ready than fit, queues with a lower priority number come
// first, and within one priority job_order.h decides. A job that has missed its
// objective yields to jobs that can still meet theirs; otherwise each job after
// a burst would be late too. It stops yielding after a while, so that no job
// starves.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <tuple>
#include <utility>

#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

constexpr double kMillicoresPerCore = 1'000;
// Interval between placement passes when no event asks for one. Due times,
// restart delays and the suspicion of VMs change with time alone.
constexpr millis kPlacementInterval{50};
// Time until a new best-effort task shows in the measurements: its start, the
// half second that a measurement covers, and the time between reports.
constexpr millis kMeasurementDelay{900};
// A best-effort task throttled below kSlowPacePercent for kMoveThrottledAfter
// is moved if it can resume from a checkpoint or has done at most
// kMaxLostWorkPercent of its work, and if its predicted speed on another VM is
// above kMinSpeedAfterMove, a share of full speed. A move costs the restore and
// up to a second of work.
constexpr uint32_t kSlowPacePercent = 40;
constexpr millis kMoveThrottledAfter{1'000};
constexpr uint32_t kMaxLostWorkPercent = 25;
constexpr double kMinSpeedAfterMove = 0.85;
// Interval between searches for a faster VM for one run. Loads as reported
// change twice a second.
constexpr millis kMoveSearchInterval{500};
// Interval between reports of what keeps one step waiting.
constexpr millis kWaitReportInterval{1'000};

// Returns true if a step with the same or a lower demand did not fit on any VM
// in this pass. Ignores steps with `max_per_vm`, which may have failed because
// of that limit alone.
bool IsKnownNotToFit(const placement_pass& pass,
                     const std::string& service,
                     const step_spec& step,
                     latency_basis basis) {
  return std::any_of(
      pass.steps_without_room.begin(), pass.steps_without_room.end(),
      [&](const placement_pass::refused_step& earlier) {
        const auto& refused = *earlier.step;
        return earlier.service == service && refused.max_per_vm == 0 &&
               refused.best_effort == step.best_effort &&
               // Where there is no slack now there is none at the peak.
               (earlier.basis == basis ||
                earlier.basis == latency_basis::kNow) &&
               refused.required_label == step.required_label &&
               (!step.best_effort || refused.image == step.image) &&
               FitsWithin(refused.demand, step.demand);
      });
}

}  // namespace

bool coordinator::state::StepIsReady(const job_state& job,
                                     size_t occurrence,
                                     size_t step) const {
  const auto& spec = job.in.job.steps[step];
  const auto& counts = job.done_task_counts[occurrence];
  if (counts[step] >= spec.count && !spec.long_running) {
    return false;
  }
  return std::all_of(
      spec.after.begin(), spec.after.end(), [&](uint32_t earlier) {
        return counts[earlier] >= job.in.job.steps[earlier].count;
      });
}

bool coordinator::state::HasWaitedForSpeed(const job_state& job,
                                           uint32_t occurrence,
                                           uint32_t step,
                                           boot_time now) const {
  if (!job.in.job.steps[step].best_effort || job.live_runs > 0) {
    return false;
  }
  if (options.remote_slowdown <= 1) {
    return now - job.idle_since > options.best_effort_patience;
  }
  const auto wait = job.waits.find({occurrence, step});
  return now - job.idle_since >
             std::min(options.best_effort_patience, kMaxIdleWait) ||
         (wait != job.waits.end() && wait->second.takes_any_speed);
}

void coordinator::state::Place(boot_time now, int64_t now_unix_ms) {
  const bool time_passed =
      now - placed_at >= kPlacementInterval ||
      millis(std::abs(now_unix_ms - placed_unix_ms)) >= kPlacementInterval;
  if ((!placement_due && !time_passed) || !IsInformed(now)) {
    return;
  }
  placement_due = false;
  placed_at = now;
  placed_unix_ms = now_unix_ms;
  SortJobs(now);
  placement_pass pass;
  pass.now = now;
  pass.now_unix_ms = now_unix_ms;
  for (auto* job : placement_order) {
    PlaceJob(*job, pass);
  }
}

void coordinator::state::SortJobs(boot_time now) {
  if (placement_order_stale) {
    placement_order_stale = false;
    placement_order.clear();
    for (const auto& id : active) {
      placement_order.push_back(jobs.at(id).get());
    }
  }
  for (auto* job : placement_order) {
    if (std::exchange(job->left_stale, false)) {
      job->left = RemainingWork(job->in.job, job->done_task_counts);
    }
    job->rank =
        RankJob({job->priority, job->objective, job->left}, options.job_order,
                options.late_job_yield_duration, now);
  }
  std::sort(placement_order.begin(), placement_order.end(),
            [](const job_state* a, const job_state* b) {
              return std::tie(a->rank, a->id) < std::tie(b->rank, b->id);
            });
}

void coordinator::state::PlaceJob(job_state& job, placement_pass& pass) {
  for (uint32_t k = 0; k < job.record.tasks.size(); ++k) {
    if (pass.now_unix_ms < DueUnixMs(job.in.job.repeat, k)) {
      return;
    }
    for (uint32_t s = 0; s < job.in.job.steps.size(); ++s) {
      if (!StepIsReady(job, k, s) || pass.now < job.retry_at[s]) {
        continue;
      }
      if (job.in.job.steps[s].gang) {
        PlaceGang(job, k, s, pass);
      } else {
        PlaceStep(job, k, s, pass);
      }
    }
  }
}

void coordinator::state::PlaceStep(job_state& job,
                                   uint32_t occurrence,
                                   uint32_t step,
                                   placement_pass& pass) {
  const auto& spec = job.in.job.steps[step];
  auto& tasks = job.record.tasks[occurrence][step];
  const auto needs_start = [](const task_record& task) {
    return task.phase == task_phase::kPending && task.live_runs.empty();
  };
  // A job without any progress takes a slow VM; the runner there throttles it.
  const bool takes_any_speed =
      HasWaitedForSpeed(job, occurrence, step, pass.now);
  // A job that can still be in time may wait for a VM that stays fast; for a
  // late one every second counts.
  auto limits = options.placement;
  limits.basis =
      pass.now > job.objective ? latency_basis::kNow : latency_basis::kPeak;
  if (std::none_of(tasks.begin(), tasks.end(), needs_start)) {
    ClearWait(job, occurrence, step);
    return;
  }
  if (!takes_any_speed &&
      IsKnownNotToFit(pass, job.service, spec, limits.basis)) {
    CountWaiting(job, occurrence, step, pass);
    return;
  }
  const bool prefers_rack = MayWaitForRack(spec);
  bool may_wait = prefers_rack && !takes_any_speed;
  if (const auto* waiting =
          may_wait ? FindWaiting(pass, job.service, spec) : nullptr;
      waiting && WaitsForRack(job, occurrence, step, waiting->places, pass)) {
    return;
  }
  if (takes_any_speed) {
    limits.min_best_effort_speed = 0;
  }
  const auto& candidates = CachedAvailableVms(pass, job.service);
  UpdateLoads(candidates, job, occurrence, step, pass.now);
  std::vector<std::optional<double>> scores;
  scores.reserve(candidates.size());
  for (const auto* vm : candidates) {
    scores.push_back(ScoreVm(vm->load, spec, interference, limits));
  }
  counters.vms_scored += candidates.size();
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (!needs_start(tasks[i])) {
      continue;
    }
    // The last attempt of a task prefers VMs without a recent failure.
    const bool is_last_attempt =
        tasks[i].failures > 0 && tasks[i].failures + 1 >= job.attempts;
    const auto rank = [&](size_t at) {
      const auto& vm = *candidates[at];
      const bool trusted =
          !vm.load.suspect &&
          !(is_last_attempt && vm.health.HasFailedSinceSuccess());
      const bool is_near = prefers_rack && vm.load.rack == spec.preferred_rack;
      return std::tuple(trusted, is_near, *scores[at]);
    };
    std::optional<size_t> best;
    for (size_t at = 0; at < scores.size(); ++at) {
      if (scores[at] && (!best || rank(at) > rank(*best))) {
        best = at;
      }
    }
    if (!best) {
      // The other tasks of the step have the same demand.
      pass.steps_without_room.push_back({job.service, &spec, limits.basis});
      ReportLimits(job, occurrence, step, limits, pass);
      if (!takes_any_speed) {
        ConsiderAnySpeed(job, occurrence, step, limits, pass);
      }
      CountWaiting(job, occurrence, step, pass);
      return;
    }
    auto& vm = *candidates[*best];
    const bool remote = prefers_rack && vm.load.rack != spec.preferred_rack;
    if (remote && may_wait) {
      const uint64_t places = FreePlaces(pass, job.service, spec);
      if (WaitsForRack(job, occurrence, step, places, pass)) {
        bool has_near_room = false;
        for (size_t at = 0; at < scores.size(); ++at) {
          has_near_room =
              has_near_room ||
              (scores[at] && candidates[at]->load.rack == spec.preferred_rack);
        }
        if (!has_near_room && spec.max_per_vm == 0) {
          pass.waiting_steps.push_back(
              {{job.service, &spec, limits.basis}, places});
        }
        return;
      }
      may_wait = false;  // Decided for the step as a whole.
    }
    const uint32_t same_step = vm.load.same_step + 1;
    Start(job, {job.id, occurrence, step, i}, tasks[i].last_run + 1, vm, remote,
          pass.now);
    if (takes_any_speed) {
      vm.load_stale = true;
      return;  // The others go on waiting for speed.
    }
    vm.load = ComputeLoad(vm, pass.now);
    vm.load.same_step = same_step;
    scores[*best] = ScoreVm(vm.load, spec, interference, limits);
    ++counters.vms_scored;
  }
}

void coordinator::state::ReportLimits(job_state& job,
                                      uint32_t occurrence,
                                      uint32_t step,
                                      const placement_options& limits,
                                      placement_pass& pass) {
  const auto& spec = job.in.job.steps[step];
  auto& wait = job.waits[{occurrence, step}];
  if (!spec.best_effort ||
      (wait.reported_at != boot_time{} &&
       pass.now - wait.reported_at < kWaitReportInterval)) {
    return;
  }
  wait.reported_at = pass.now;
  std::array<uint64_t, 5> vms_by_limit{};
  for (const auto* vm : CachedAvailableVms(pass, job.service)) {
    ++vms_by_limit[static_cast<size_t>(
        LimitOf(vm->load, spec, interference, limits))];
  }
  const auto count = [&](placement_limit limit) {
    return std::to_string(vms_by_limit[static_cast<size_t>(limit)]);
  };
  for (size_t i = 0; i < vms_by_limit.size(); ++i) {
    counters.vms_refused[i] += vms_by_limit[i];
  }
  Log("step_waits", {{"job", job.id},
                     {"step", std::to_string(step)},
                     {"image", spec.image},
                     {"late", pass.now > job.objective ? "yes" : "no"},
                     {"no_room", count(placement_limit::kRoom)},
                     {"no_processors", count(placement_limit::kProcessors)},
                     {"latency", count(placement_limit::kLatency)},
                     {"peak_latency", count(placement_limit::kPeakLatency)}});
}

void coordinator::state::UpdateLoads(const std::vector<vm_state*>& candidates,
                                     const job_state& job,
                                     uint32_t occurrence,
                                     uint32_t step,
                                     boot_time now) {
  for (auto* vm : candidates) {
    if (vm->load_stale || now - vm->load_at >= kPlacementInterval) {
      vm->load = ComputeLoad(*vm, now);
      vm->load_at = now;
      vm->load_stale = false;
    }
    vm->load.same_step = 0;
  }
  if (job.in.job.steps[step].max_per_vm == 0) {
    return;
  }
  for (const auto& task : job.record.tasks[occurrence][step]) {
    for (const auto& live : task.live_runs) {
      if (const auto at = vms.find(live.vm); at != vms.end()) {
        ++at->second.load.same_step;
      }
    }
  }
}

const std::vector<vm_state*>& coordinator::state::CachedAvailableVms(
    placement_pass& pass,
    const std::string& service) {
  const auto [found, added] = pass.vms.try_emplace(service);
  if (added) {
    found->second = AvailableVms(service, pass.now);
    if (options.remote_slowdown > 1) {
      (void)CachedRacks(pass, service);
    }
  }
  return found->second;
}

std::vector<vm_state*> coordinator::state::AvailableVms(
    const std::string& service,
    boot_time now) {
  std::vector<vm_state*> out;
  for (auto& [name, vm] : vms) {
    if (vm.last_report.service == service && AcceptsStarts(vm, now)) {
      out.push_back(&vm);
    }
  }
  return out;
}

std::vector<std::string> coordinator::state::ServingImages(
    const vm_state& vm) const {
  std::vector<std::string> out;
  for (const auto& [run, hosted] : vm.runs) {
    if (hosted.step && hosted.step->latency_target.count() > 0) {
      out.push_back(hosted.step->image);
    }
  }
  return out;
}

vm_load coordinator::state::ComputeLoad(const vm_state& vm,
                                        boot_time now) const {
  vm_load out;
  out.rack = vm.last_report.rack;
  out.labels = vm.last_report.labels;
  out.capacity = vm.last_report.capacity;
  out.reserved = vm.reserved;
  out.runs = static_cast<uint32_t>(vm.runs.size());
  out.best_effort_millicores = vm.best_effort_millicores;
  out.serving_millicores = vm.serving_millicores;
  for (const auto& [run, hosted] : vm.runs) {
    if (hosted.step && hosted.step->latency_target.count() > 0) {
      out.AddServing(hosted.step->image, LatencyRatio(hosted),
                     PeakLatencyRatio(hosted));
    }
  }
  for (const auto& [run, hosted] : vm.runs) {
    if (hosted.step && hosted.step->best_effort &&
        hosted.step->latency_target.count() == 0 &&
        now - hosted.placed_at < kMeasurementDelay) {
      out.AddRecentBestEffort(
          hosted.step->image,
          static_cast<double>(hosted.step->demand.millicores) /
              kMillicoresPerCore,
          interference);
    }
  }
  if (options.adaptive_latency_margin) {
    for (auto& serving : out.serving) {
      serving.max_ratio = margin.MaxRatio(serving.image);
    }
  }
  out.suspect =
      vm.health.IsSuspect(now) || vm.orders_failing_since != boot_time{};
  return out;
}

void coordinator::state::MoveThrottledRun(boot_time now) {
  for (auto& [name, vm] : vms) {
    for (auto& [run, hosted] : vm.runs) {
      if (!hosted.step || !hosted.step->best_effort || !hosted.started ||
          hosted.stopping || hosted.pace >= kSlowPacePercent) {
        hosted.throttled_since = now;
        continue;
      }
      auto* job = FindJob(run.task.job);
      if (now - hosted.throttled_since < kMoveThrottledAfter || !job ||
          job->record.phase != job_phase::kRunning ||
          (hosted.checkpoint.empty() && hosted.percent > kMaxLostWorkPercent) ||
          now - hosted.move_considered_at < kMoveSearchInterval) {
        continue;
      }
      hosted.move_considered_at = now;
      if (MayDisrupt(*job, run.task, now) &&
          HasFasterVm(*job, run.task, vm, now)) {
        Log("run_moved", {{"task", ToString(run.task)},
                          {"run", std::to_string(run.run)},
                          {"vm", name},
                          {"pace", std::to_string(hosted.pace)},
                          {"percent", std::to_string(hosted.percent)}});
        StopRun(name, run, now);
        return;  // One per call, because a move changes the loads.
      }
    }
  }
}

bool coordinator::state::HasFasterVm(job_state& job,
                                     const task_key& task,
                                     const vm_state& than,
                                     boot_time now) {
  const auto& step = StepOf(job, task);
  const auto candidates = AvailableVms(job.service, now);
  UpdateLoads(candidates, job, task.occurrence, task.step, now);
  return std::any_of(
      candidates.begin(), candidates.end(), [&](const vm_state* vm) {
        return vm->name != than.name && !vm->load.suspect &&
               ScoreVm(vm->load, step, interference, options.placement) &&
               BestEffortSpeed(vm->load, step, interference,
                               options.placement) > kMinSpeedAfterMove;
      });
}

void coordinator::state::PlaceGang(job_state& job,
                                   uint32_t occurrence,
                                   uint32_t step,
                                   placement_pass& pass) {
  auto& tasks = job.record.tasks[occurrence][step];
  uint32_t run = 0;
  for (const auto& task : tasks) {
    if (!task.live_runs.empty() || task.phase != task_phase::kPending) {
      ClearWait(job, occurrence, step);
      return;  // Some member of an earlier run has not ended.
    }
    run = std::max(run, task.last_run);
  }
  const auto& spec = job.in.job.steps[step];
  const auto& candidates = CachedAvailableVms(pass, job.service);
  std::vector<vm_load> loads;
  std::set<std::string> racks{""};
  for (const auto* vm : candidates) {
    loads.push_back(ComputeLoad(*vm, pass.now));
    ++counters.vms_scored;
    if (spec.same_rack) {
      racks.insert(vm->last_report.rack);
    }
  }
  // Tries to place all members on one rack before "", which means any rack and
  // sorts last in reverse order.
  std::map<std::string, size_t> placed_by_rack;
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    auto left = loads;
    std::vector<size_t> chosen;
    for (auto& vm : left) {
      if (!rack->empty() && vm.rack != *rack) {
        vm.capacity = {};
      }
    }
    while (chosen.size() < tasks.size()) {
      const auto best =
          ChooseVm(left, spec, false, interference, options.placement);
      if (!best) {
        break;
      }
      chosen.push_back(*best);
      resources taken = spec.demand;
      if (spec.best_effort) {
        left[*best].best_effort_millicores += taken.millicores;
        taken.millicores = 0;
      }
      left[*best].reserved += taken;
      ++left[*best].same_step;
      ++left[*best].runs;
    }
    if (chosen.size() < tasks.size()) {
      placed_by_rack[*rack] = chosen.size();
      continue;
    }
    const bool remote = rack->empty() && MayWaitForGangRack(spec);
    if (remote &&
        WaitsForGangRack(job, occurrence, step, placed_by_rack, pass)) {
      return;
    }
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      Start(job, {job.id, occurrence, step, i}, run + 1, *candidates[chosen[i]],
            remote, pass.now);
    }
    return;
  }
}

void coordinator::state::Start(job_state& job,
                               const task_key& key,
                               uint32_t run,
                               vm_state& vm,
                               bool remote,
                               boot_time now) {
  auto& task = *FindTask(job, key);
  task.last_run = run;
  task.live_runs.push_back({run, vm.name, vm.last_report.worker_incarnation});
  hosted_run hosted;
  hosted.worker_incarnation = vm.last_report.worker_incarnation;
  hosted.placed_at = now;
  hosted.last_progress_at = now;
  hosted.resumed = !task.checkpoint.empty();
  hosted.remote = remote;
  const auto wait = EndWait(job, key, remote, now, hosted);
  AddRun(vm, {key, run}, hosted);
  unwritten_runs[key.job].push_back({vm.name, {key, run}});
  if (job.record.phase == job_phase::kQueued) {
    job.record.phase = job_phase::kRunning;
    MarkDirty(job, 0);
  }
  MarkDirty(job, ProgressRowOf(job.record, key));
  ++counters.starts;
  log_fields fields = {
      {"job", key.job},
      {"task", ToString(key)},
      {"run", std::to_string(run)},
      {"vm", vm.name},
      {"image", StepOf(job, key).image},
      {"report_age_ms", std::to_string(std::chrono::duration_cast<millis>(
                                           now - vm.last_report_at)
                                           .count())},
      {"reserved", std::to_string(vm.reserved.millicores)},
      {"fillers", std::to_string(vm.best_effort_millicores)},
      {"resumes", task.checkpoint.empty() ? "no" : "yes"}};
  fields.insert(fields.end(), wait.begin(), wait.end());
  Log("run_placed", fields);
}

}  // namespace chiveglade::workflow
