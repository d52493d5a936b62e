// Which tasks start next, and where.
//
// Answers bursts in which more is ready than fits: queues of a lower priority
// number come first, and within one the job whose objective is nearest. A job
// that has missed its objective lets those pass that can still meet theirs, or
// a burst would make each job after it late as well; after a while it has its
// turn again, so that none waits for ever.
#include <algorithm>
#include <cstdlib>
#include <tuple>

#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

constexpr double kMillicores = 1'000;  // in a core
// Without news, waiting jobs are looked at this often, for what time alone
// changes: due times, delays after failures, trust in VMs.
constexpr millis kPlacingInterval{50};
// Until a filler shows in the measurements: its start, the half second that
// they are for, and the time between reports.
constexpr millis kSettling{900};
// A filler throttled below this share for this long goes elsewhere, if it can
// go on from a checkpoint or has done less than this much of its work, and if
// there is a VM where it is predicted to reach this speed. A move costs the
// restore and up to a second of work.
constexpr uint32_t kSlowPace = 40;
constexpr millis kMoveAfter{1'000};
constexpr uint32_t kMostWorkLost = 25;
constexpr double kWorthMoving = 0.85;

// True if a step that asks for no more has found no room in this pass. Steps
// that limit themselves to some VMs may fail for that reason alone.
bool IsKnownToHaveNoRoom(const placing_pass& pass,
                         const std::string& service,
                         const step_spec& step) {
  return std::any_of(pass.without_room.begin(), pass.without_room.end(),
                     [&](const placing_pass::refused_step& earlier) {
                       const auto& refused = *earlier.step;
                       return earlier.service == service &&
                              refused.max_per_vm == 0 &&
                              refused.fills == step.fills &&
                              refused.required_label == step.required_label &&
                              (!step.fills || refused.image == step.image) &&
                              FitsWithin(refused.demand, step.demand);
                     });
}

}  // namespace

bool coordinator::state::StepIsReady(const job_state& job,
                                     size_t occurrence,
                                     size_t step) const {
  const auto& spec = job.in.job.steps[step];
  const auto& counts = job.done_counts[occurrence];
  if (counts[step] >= spec.count && !spec.long_running) {
    return false;
  }
  return std::all_of(
      spec.after.begin(), spec.after.end(), [&](uint32_t earlier) {
        return counts[earlier] >= job.in.job.steps[earlier].count;
      });
}

void coordinator::state::Place(boot_time now, int64_t now_unix_ms) {
  const bool time_passed =
      now - placed_at >= kPlacingInterval ||
      millis(std::abs(now_unix_ms - placed_unix_ms)) >= kPlacingInterval;
  if (!placing_due && !time_passed) {
    return;
  }
  placing_due = false;
  placed_at = now;
  placed_unix_ms = now_unix_ms;
  SortJobs(now);
  placing_pass pass;
  pass.now = now;
  pass.now_unix_ms = now_unix_ms;
  for (auto* job : order) {
    PlaceJob(*job, pass);
  }
}

void coordinator::state::SortJobs(boot_time now) {
  if (order_stale) {
    order_stale = false;
    order.clear();
    for (const auto& id : active) {
      order.push_back(jobs.at(id).get());
    }
  }
  for (auto* job : order) {
    job->waits_its_turn =
        now > job->objective && now - job->objective < options.late_turn;
  }
  std::sort(
      order.begin(), order.end(), [](const job_state* a, const job_state* b) {
        return std::tie(a->priority, a->waits_its_turn, a->objective, a->id) <
               std::tie(b->priority, b->waits_its_turn, b->objective, b->id);
      });
}

void coordinator::state::PlaceJob(job_state& job, placing_pass& pass) {
  const auto& repeat = job.in.job.repeat;
  for (uint32_t k = 0; k < job.record.tasks.size(); ++k) {
    const int64_t due =
        repeat.occurrences == 0
            ? 0
            : repeat.first_unix_ms +
                  static_cast<int64_t>(k) * repeat.interval.count();
    if (pass.now_unix_ms < due) {
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
                                   placing_pass& pass) {
  const auto& spec = job.in.job.steps[step];
  auto& tasks = job.record.tasks[occurrence][step];
  const auto waits = [](const task_record& task) {
    return task.phase == task_phase::kPending && task.live.empty();
  };
  if (std::none_of(tasks.begin(), tasks.end(), waits) ||
      IsKnownToHaveNoRoom(pass, job.service, spec)) {
    return;
  }
  const auto& candidates = CandidatesIn(pass, job.service);
  UpdateLoads(candidates, job, occurrence, step, pass.now);
  std::vector<std::optional<double>> scores;
  scores.reserve(candidates.size());
  for (const auto* vm : candidates) {
    scores.push_back(ScoreVm(vm->load, spec, interference, options.placing));
  }
  counters.vms_scored += candidates.size();
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (!waits(tasks[i])) {
      continue;
    }
    // A task with its last attempt goes where nothing has failed lately.
    const bool is_last_attempt =
        tasks[i].failures > 0 && tasks[i].failures + 1 >= job.attempts;
    const auto rank = [&](size_t at) {
      const auto& vm = *candidates[at];
      const bool trusted =
          !vm.load.suspect &&
          !(is_last_attempt && vm.health.HasFailedSinceSuccess());
      return std::pair(trusted, *scores[at]);
    };
    std::optional<size_t> best;
    for (size_t at = 0; at < scores.size(); ++at) {
      if (scores[at] && (!best || rank(at) > rank(*best))) {
        best = at;
      }
    }
    if (!best) {
      // The others of the step ask for the same.
      pass.without_room.push_back({job.service, &spec});
      return;
    }
    auto& vm = *candidates[*best];
    const uint32_t same_step = vm.load.same_step + 1;
    Start(job, {job.id, occurrence, step, i}, tasks[i].last_run + 1, vm,
          pass.now);
    vm.load = LoadOf(vm, pass.now);
    vm.load.same_step = same_step;
    scores[*best] = ScoreVm(vm.load, spec, interference, options.placing);
    ++counters.vms_scored;
  }
}

void coordinator::state::UpdateLoads(const std::vector<vm_state*>& candidates,
                                     const job_state& job,
                                     uint32_t occurrence,
                                     uint32_t step,
                                     boot_time now) {
  for (auto* vm : candidates) {
    if (vm->load_stale || now - vm->load_at >= kPlacingInterval) {
      vm->load = LoadOf(*vm, now);
      vm->load_at = now;
      vm->load_stale = false;
    }
    vm->load.same_step = 0;
  }
  if (job.in.job.steps[step].max_per_vm == 0) {
    return;
  }
  for (const auto& task : job.record.tasks[occurrence][step]) {
    for (const auto& live : task.live) {
      if (const auto at = vms.find(live.vm); at != vms.end()) {
        ++at->second.load.same_step;
      }
    }
  }
}

const std::vector<vm_state*>& coordinator::state::CandidatesIn(
    placing_pass& pass,
    const std::string& service) {
  const auto [found, added] = pass.vms.try_emplace(service);
  if (added) {
    found->second = Candidates(service, pass.now);
  }
  return found->second;
}

std::vector<vm_state*> coordinator::state::Candidates(
    const std::string& service,
    boot_time now) {
  std::vector<vm_state*> out;
  for (auto& [name, vm] : vms) {
    if (vm.last.service == service && TakesWork(vm, now)) {
      out.push_back(&vm);
    }
  }
  return out;
}

std::vector<std::string> coordinator::state::ServingOn(
    const vm_state& vm) const {
  std::vector<std::string> out;
  for (const auto& [run, hosted] : vm.runs) {
    if (hosted.step && hosted.step->latency_target.count() > 0) {
      out.push_back(hosted.step->image);
    }
  }
  return out;
}

vm_load coordinator::state::LoadOf(const vm_state& vm, boot_time now) const {
  vm_load out;
  out.rack = vm.last.rack;
  out.labels = vm.last.labels;
  out.capacity = vm.last.capacity;
  out.reserved = vm.reserved;
  out.filler_millicores = vm.filler_millicores;
  out.serving_millicores = vm.serving_millicores;
  for (const auto& [run, hosted] : vm.runs) {
    if (!hosted.step) {
      continue;
    }
    if (hosted.step->latency_target.count() > 0) {
      out.AddServing(hosted.step->image, RatioOf(hosted));
    } else if (hosted.step->fills && now - hosted.placed_at < kSettling) {
      out.AddNewFiller(
          hosted.step->image,
          static_cast<double>(hosted.step->demand.millicores) / kMillicores);
    }
  }
  out.suspect = vm.health.IsSuspect(now);
  return out;
}

void coordinator::state::MoveThrottled(boot_time now) {
  for (auto& [name, vm] : vms) {
    for (auto& [run, hosted] : vm.runs) {
      if (!hosted.step || !hosted.step->fills || !hosted.started ||
          hosted.stopping || hosted.pace >= kSlowPace) {
        hosted.slow_since = now;
        continue;
      }
      auto* job = FindJob(run.task.job);
      if (now - hosted.slow_since < kMoveAfter || !job ||
          job->phase != job_phase::kRunning ||
          (hosted.checkpoint.empty() && hosted.percent > kMostWorkLost)) {
        continue;
      }
      if (HasFasterVm(*job, run.task, vm, now)) {
        Log("run_moved", {{"task", ToString(run.task)},
                          {"run", std::to_string(run.run)},
                          {"vm", name},
                          {"pace", std::to_string(hosted.pace)},
                          {"percent", std::to_string(hosted.percent)}});
        StopRun(name, run, now);
        return;  // One at a time: each changes what the next would find.
      }
    }
  }
}

bool coordinator::state::HasFasterVm(job_state& job,
                                     const task_key& task,
                                     const vm_state& than,
                                     boot_time now) {
  const auto& step = StepOf(job, task);
  const auto candidates = Candidates(job.service, now);
  UpdateLoads(candidates, job, task.occurrence, task.step, now);
  return std::any_of(
      candidates.begin(), candidates.end(), [&](const vm_state* vm) {
        return vm->name != than.name && !vm->load.suspect &&
               ScoreVm(vm->load, step, interference, options.placing) &&
               FillerSpeed(vm->load, step, interference, options.placing) >
                   kWorthMoving;
      });
}

void coordinator::state::PlaceGang(job_state& job,
                                   uint32_t occurrence,
                                   uint32_t step,
                                   placing_pass& pass) {
  auto& tasks = job.record.tasks[occurrence][step];
  uint32_t run = 0;
  for (const auto& task : tasks) {
    if (!task.live.empty() || task.phase != task_phase::kPending) {
      return;  // An earlier run has not ended everywhere.
    }
    run = std::max(run, task.last_run);
  }
  const auto& spec = job.in.job.steps[step];
  const auto& candidates = CandidatesIn(pass, job.service);
  std::vector<vm_load> loads;
  std::set<std::string> racks{""};
  for (const auto* vm : candidates) {
    loads.push_back(LoadOf(*vm, pass.now));
    ++counters.vms_scored;
    if (spec.same_rack) {
      racks.insert(vm->last.rack);
    }
  }
  // One rack for all members if one has the room; "" stands for any.
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
          ChooseVm(left, spec, false, interference, options.placing);
      if (!best) {
        break;
      }
      chosen.push_back(*best);
      resources taken = spec.demand;
      if (spec.fills) {
        left[*best].filler_millicores += taken.millicores;
        taken.millicores = 0;
      }
      left[*best].reserved += taken;
      ++left[*best].same_step;
    }
    if (chosen.size() < tasks.size()) {
      continue;
    }
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      Start(job, {job.id, occurrence, step, i}, run + 1, *candidates[chosen[i]],
            pass.now);
    }
    return;
  }
}

void coordinator::state::Start(job_state& job,
                               const task_key& key,
                               uint32_t run,
                               vm_state& vm,
                               boot_time now) {
  auto& task = *FindTask(job, key);
  task.last_run = run;
  task.live.push_back({run, vm.name, vm.last.worker_incarnation});
  hosted_run hosted;
  hosted.worker_incarnation = vm.last.worker_incarnation;
  hosted.placed_at = now;
  hosted.moved_at = now;
  Host(vm, {key, run}, hosted);
  if (!job.record.ever_started) {
    job.record.ever_started = true;
    job.phase = job_phase::kRunning;
  }
  MarkDirty(job);
  ++counters.starts;
  Log("run_placed",
      {{"job", key.job},
       {"task", ToString(key)},
       {"run", std::to_string(run)},
       {"vm", vm.name},
       {"image", StepOf(job, key).image},
       {"report_age_ms",
        std::to_string(
            std::chrono::duration_cast<millis>(now - vm.heard_at).count())},
       {"reserved", std::to_string(vm.reserved.millicores)},
       {"fillers", std::to_string(vm.filler_millicores)},
       {"resumes", task.checkpoint.empty() ? "no" : "yes"}});
}

}  // namespace chiveglade::workflow
