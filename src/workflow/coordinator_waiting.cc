// Waits of tasks for a place where they run faster: their preferred rack, one
// rack for a gang, or a VM that does not throttle them. The decision is in
// placement_wait.cc. A step's tasks wait together, because one slow task makes
// the whole step late.
//
// The state of waits is not durable. After a takeover a wait starts anew, so
// one takeover at most doubles it.
#include <algorithm>
#include <climits>

#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

constexpr uint32_t kAllPercent = 100;
// A run that has taken longer than expected is expected to end after a further
// fifth of the expected time.
constexpr int kOverdueDivisor = 5;

bool NeedsStart(const task_record& task) {
  return task.phase == task_phase::kPending && task.live_runs.empty();
}

resources Times(const resources& in, size_t by) {
  return in * static_cast<int64_t>(by);
}

// Returns how many tasks of a step the VMs of a rack hold when nothing else
// runs on them.
uint64_t PlacesFor(const rack_vms& rack, const step_spec& step) {
  uint64_t out = 0;
  for (const auto& shape : rack.shapes) {
    if (!step.required_label.empty() &&
        std::find(shape.labels.begin(), shape.labels.end(),
                  step.required_label) == shape.labels.end()) {
      continue;
    }
    int64_t places = step.max_per_vm > 0 ? step.max_per_vm : kMaxTasksPerJob;
    for (const auto& [demand, capacity] :
         {std::pair(step.best_effort ? 0 : step.demand.millicores,
                    shape.capacity.millicores),
          {step.demand.memory_mib, shape.capacity.memory_mib},
          {step.demand.accelerators, shape.capacity.accelerators}}) {
      if (demand > 0) {
        places = std::min(places, capacity / demand);
      }
    }
    out += static_cast<uint64_t>(std::max<int64_t>(0, places)) * shape.count;
  }
  return out;
}

uint64_t PlacesFor(const std::map<std::string, rack_vms>& racks,
                   const std::string& rack,
                   const step_spec& step) {
  const auto at = racks.find(rack);
  return at == racks.end() ? 0 : PlacesFor(at->second, step);
}

}  // namespace

bool coordinator::state::MayWaitForRack(const step_spec& step) const {
  return options.remote_slowdown > 1 && !step.long_running &&
         step.latency_target.count() == 0 && !step.preferred_rack.empty();
}

bool coordinator::state::MayWaitForGangRack(const step_spec& step) const {
  return options.remote_slowdown > 1 && !step.long_running &&
         step.latency_target.count() == 0 && step.same_rack;
}

const placement_pass::waiting_step* coordinator::state::FindWaiting(
    const placement_pass& pass,
    const std::string& service,
    const step_spec& step) {
  const auto at = std::find_if(
      pass.waiting_steps.begin(), pass.waiting_steps.end(),
      [&](const placement_pass::waiting_step& earlier) {
        const auto& waiting = *earlier.refused.step;
        return earlier.refused.service == service && waiting.max_per_vm == 0 &&
               waiting.preferred_rack == step.preferred_rack &&
               waiting.best_effort == step.best_effort &&
               waiting.required_label == step.required_label &&
               (!step.best_effort || waiting.image == step.image) &&
               FitsWithin(waiting.demand, step.demand);
      });
  return at == pass.waiting_steps.end() ? nullptr : &*at;
}

uint64_t coordinator::state::FreePlaces(placement_pass& pass,
                                        const std::string& service,
                                        const step_spec& step) {
  uint64_t out = 0;
  for (const auto* vm : CachedAvailableVms(pass, service)) {
    rack_vms::shape shape{vm->load.capacity - vm->load.reserved,
                          vm->load.labels, 1};
    out += PlacesFor(rack_vms{{std::move(shape)}}, step);
  }
  return out;
}

const std::map<std::string, rack_vms>& coordinator::state::CachedRacks(
    placement_pass& pass,
    const std::string& service) {
  const auto [found, added] = pass.racks.try_emplace(service);
  auto& racks = found->second;
  if (!added) {
    return racks;
  }
  std::map<std::string, uint32_t> counts;
  for (const auto* vm : CachedAvailableVms(pass, service)) {
    const auto& report = vm->last_report;
    ++counts[report.rack];
    auto& shapes = racks[report.rack].shapes;
    const auto at =
        std::find_if(shapes.begin(), shapes.end(), [&](const auto& shape) {
          return shape.capacity == report.capacity &&
                 shape.labels == report.labels;
        });
    if (at == shapes.end()) {
      shapes.push_back({report.capacity, report.labels, 1});
    } else {
      ++at->count;
    }
  }
  uint32_t all = 0;
  for (const auto& [rack, count] : counts) {
    all += count;
  }
  if (all > 0) {
    counts[""] = all;
  }
  forecast.OnVms(service, counts, pass.now);
  return racks;
}

std::map<std::string, expected_ends>& coordinator::state::CachedEnds(
    placement_pass& pass,
    const std::string& service) {
  const auto [found, added] = pass.ends.try_emplace(service);
  if (!added) {
    return found->second;
  }
  auto& all = found->second[""];
  for (const auto* vm : CachedAvailableVms(pass, service)) {
    auto& ends = found->second[vm->last_report.rack];
    for (const auto& [run, hosted] : vm->runs) {
      if (hosted.step && hosted.expected_run > millis(0)) {
        const auto left = hosted.expected_run - (pass.now - hosted.placed_at);
        const auto until =
            std::max(left, hosted.expected_run / kOverdueDivisor);
        ends.Add(until, hosted.step->demand);
        all.Add(until, hosted.step->demand);
      }
    }
  }
  return found->second;
}

std::optional<millis> coordinator::state::ExpectedWait(
    placement_pass& pass,
    const placement_forecast::rack_key& rack,
    const resources& need) {
  const auto all = pass.waiting_demand[rack] + need;
  // Without any observed end, as after a takeover, the runs known are few.
  const auto by_rate = forecast.ExpectedWait(rack, all, pass.now);
  if (!by_rate) {
    return std::nullopt;
  }
  auto& ends = CachedEnds(pass, rack.first);
  const auto at = ends.find(rack.second);
  const auto by_ends =
      at == ends.end() ? std::nullopt : at->second.TimeUntil(all);
  return by_ends ? by_ends : by_rate;
}

wait_question coordinator::state::MakeWaitQuestion(job_state& job,
                                                   uint32_t occurrence,
                                                   uint32_t step,
                                                   boot_time now) {
  const auto& spec = job.in.job.steps[step];
  const auto& tasks = job.record.tasks[occurrence][step];
  const auto& wait = job.waits[{occurrence, step}];
  if (job.paths_after.empty()) {
    job.paths_after = PathsAfter(job.in.job);
  }
  wait_question out;
  out.slowdown = options.remote_slowdown;
  if (wait.since != boot_time{}) {
    out.waited = now - wait.since;
  }
  if (job.live_runs == 0) {
    out.idle_waited = job.idle_wait_since == boot_time{}
                          ? millis(0)
                          : now - job.idle_wait_since;
  }
  out.run = forecast.RunTime(job.in.queue, spec.image, EstimateOf(spec));
  if (!job.percent_done.empty()) {
    // The step ends with the task that has the most work left.
    uint32_t least_done = kAllPercent;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      const auto done = job.percent_done.find({job.id, occurrence, step, i});
      if (NeedsStart(tasks[i])) {
        least_done = std::min(
            least_done, done == job.percent_done.end() ? 0 : done->second);
      }
    }
    out.run.expected = out.run.expected * (kAllPercent - least_done) /
                       static_cast<int64_t>(kAllPercent);
  }
  out.running_end = std::max(millis(0), wait.running_end - now);
  out.time_left = job.objective - now - job.paths_after[step];
  return out;
}

bool coordinator::state::Waits(job_state& job,
                               uint32_t occurrence,
                               uint32_t step,
                               const wait_question& question,
                               const char* kind,
                               const std::string& rack,
                               boot_time now) {
  auto& wait = job.waits[{occurrence, step}];
  if (wait.over) {
    return false;
  }
  const auto decision = options.decide_wait(question);
  if (decision.choice != wait_choice::kWait) {
    wait.over = decision.choice == wait_choice::kNever;
    wait.lost = !question.possible;
    return false;
  }
  if (wait.since == boot_time{}) {
    wait.since = now;
  }
  if (job.live_runs == 0 && job.idle_wait_since == boot_time{}) {
    job.idle_wait_since = now;
  }
  wait.kind = kind;
  wait.rack = rack;
  wait.gain = decision.gain;
  return true;
}

bool coordinator::state::WaitsForRack(job_state& job,
                                      uint32_t occurrence,
                                      uint32_t step,
                                      uint64_t places,
                                      placement_pass& pass) {
  const auto& spec = job.in.job.steps[step];
  const auto& tasks = job.record.tasks[occurrence][step];
  const auto& racks = CachedRacks(pass, job.service);
  const placement_forecast::rack_key key(job.service, spec.preferred_rack);
  const auto pending = static_cast<uint64_t>(
      std::count_if(tasks.begin(), tasks.end(), NeedsStart));
  const auto own = Times(spec.demand, pending);
  auto question = MakeWaitQuestion(job, occurrence, step, pass.now);
  question.possible = PlacesFor(racks, spec.preferred_rack, spec) > 0;
  question.expected_wait = ExpectedWait(pass, key, own);
  if (pending > places) {
    question.elsewhere_wait = ExpectedWait(pass, {job.service, ""},
                                           Times(spec.demand, pending - places))
                                  .value_or(millis(0));
  }
  if (!Waits(job, occurrence, step, question, "rack", spec.preferred_rack,
             pass.now)) {
    return false;
  }
  pass.waiting_demand[key] += own;
  return true;
}

void coordinator::state::CountWaiting(const job_state& job,
                                      uint32_t occurrence,
                                      uint32_t step,
                                      placement_pass& pass) {
  const auto& spec = job.in.job.steps[step];
  if (options.remote_slowdown <= 1) {
    return;
  }
  const auto& tasks = job.record.tasks[occurrence][step];
  const auto demand =
      Times(spec.demand, static_cast<uint64_t>(std::count_if(
                             tasks.begin(), tasks.end(), NeedsStart)));
  pass.waiting_demand[{job.service, ""}] += demand;
  if (MayWaitForRack(spec)) {
    pass.waiting_demand[{job.service, spec.preferred_rack}] += demand;
  }
}

bool coordinator::state::WaitsForGangRack(
    job_state& job,
    uint32_t occurrence,
    uint32_t step,
    const std::map<std::string, size_t>& placed_by_rack,
    placement_pass& pass) {
  const auto& spec = job.in.job.steps[step];
  const size_t members = job.record.tasks[occurrence][step].size();
  const auto& racks = CachedRacks(pass, job.service);
  auto question = MakeWaitQuestion(job, occurrence, step, pass.now);
  question.possible = false;
  std::string best;
  resources best_need;
  for (const auto& [rack, placed] : placed_by_rack) {
    if (PlacesFor(racks, rack, spec) < members) {
      continue;
    }
    question.possible = true;
    const auto need = Times(spec.demand, members - placed);
    const auto wait = ExpectedWait(pass, {job.service, rack}, need);
    if (wait && (!question.expected_wait || *wait < *question.expected_wait)) {
      question.expected_wait = wait;
      best = rack;
      best_need = need;
    }
  }
  if (!Waits(job, occurrence, step, question, "gang", best, pass.now)) {
    return false;
  }
  pass.waiting_demand[{job.service, best}] += best_need;
  return true;
}

void coordinator::state::ConsiderAnySpeed(job_state& job,
                                          uint32_t occurrence,
                                          uint32_t step,
                                          const placement_options& limits,
                                          placement_pass& pass) {
  const auto& spec = job.in.job.steps[step];
  if (options.remote_slowdown <= 1 || !spec.best_effort || job.live_runs > 0) {
    return;
  }
  auto any_speed = limits;
  any_speed.min_best_effort_speed = 0;
  double fastest = 0;
  for (const auto* vm : CachedAvailableVms(pass, job.service)) {
    if (ScoreVm(vm->load, spec, interference, any_speed)) {
      fastest = std::max(
          fastest, BestEffortSpeed(vm->load, spec, interference, any_speed));
    }
    ++counters.vms_scored;
  }
  if (fastest <= 0) {
    return;
  }
  (void)CachedRacks(pass, job.service);
  auto& wait = job.waits[{occurrence, step}];
  if (wait.since == boot_time{}) {
    wait.since = pass.now;
    wait.kind = "speed";
  }
  // One task starts at the end of the wait, so the wait is for one place.
  auto question = MakeWaitQuestion(job, occurrence, step, pass.now);
  question.slowdown = 1 / fastest;
  question.waited = pass.now - job.idle_since;
  question.idle_waited = question.waited;
  question.running_end = millis(0);
  // A slow start disturbs serving tasks also when the job is late, so the
  // objective does not shorten this wait.
  question.time_left = millis(INT_MAX);
  question.expected_wait = ExpectedWait(pass, {job.service, ""}, spec.demand);
  if (!question.expected_wait) {
    return;  // Nothing is known: it waits for the whole patience.
  }
  const auto decision = options.decide_wait(question);
  wait.takes_any_speed = decision.choice != wait_choice::kWait;
  wait.gain = decision.gain;
}

void coordinator::state::ClearWait(job_state& job,
                                   uint32_t occurrence,
                                   uint32_t step) {
  if (const auto at = job.waits.find({occurrence, step});
      at != job.waits.end()) {
    const auto running_end = at->second.running_end;
    at->second = {};
    at->second.running_end = running_end;
  }
}

log_fields coordinator::state::EndWait(job_state& job,
                                       const task_key& key,
                                       bool remote,
                                       boot_time now,
                                       hosted_run& run) {
  const auto& spec = StepOf(job, key);
  if (options.remote_slowdown <= 1 || spec.long_running) {
    return {};
  }
  auto& wait = job.waits[{key.occurrence, key.step}];
  const auto near_run =
      forecast.RunTime(job.in.queue, spec.image, EstimateOf(spec)).expected;
  const auto remote_run = millis(static_cast<int64_t>(
      static_cast<double>(near_run.count()) * options.remote_slowdown));
  run.expected_run = remote ? remote_run : near_run;
  wait.running_end = std::max(wait.running_end, now + run.expected_run);
  const bool any_speed = HasWaitedForSpeed(job, key.occurrence, key.step, now);
  job.idle_wait_since = {};
  if (wait.since == boot_time{}) {
    return {};
  }
  const auto waited = now - wait.since;
  const bool for_speed = wait.kind == std::string_view("speed");
  const bool elsewhere = for_speed ? any_speed : remote;
  const auto saved =
      elsewhere ? -waited
                : (for_speed ? wait.gain : remote_run - near_run - waited);
  if (options.wait_ended) {
    options.wait_ended(wait.kind,
                       !elsewhere ? "near" : (wait.lost ? "lost" : "elsewhere"),
                       waited);
  }
  log_fields out = {
      {"waited_ms", std::to_string(waited.count())},
      {"waited_for", for_speed ? wait.kind : wait.kind + (":" + wait.rack)},
      {"saved_ms", std::to_string(saved.count())}};
  if (for_speed) {
    // Only one task starts at any speed; the others wait on without a bound.
    ClearWait(job, key.occurrence, key.step);
  }
  return out;
}

void coordinator::state::LearnFromEnd(const vm_state& vm,
                                      const run_key& run,
                                      const hosted_run& hosted,
                                      run_result how,
                                      boot_time now) {
  if (options.remote_slowdown <= 1 || !hosted.step ||
      how == run_result::kLapsed || how == run_result::kRefused) {
    return;
  }
  auto* job = FindJob(run.task.job);
  if (!job) {
    return;
  }
  if (how == run_result::kDone) {
    job->percent_done.erase(run.task);
  } else if (!hosted.checkpoint.empty()) {
    job->percent_done[run.task] = std::min(hosted.percent, kAllPercent);
  }
  if (AcceptsStarts(vm, now)) {
    const auto& report = vm.last_report;
    forecast.OnFreed({report.service, report.rack}, hosted.step->demand, now);
    forecast.OnFreed({report.service, ""}, hosted.step->demand, now);
  }
  // After a takeover it is not known when a run was placed.
  if (how == run_result::kDone && !hosted.step->long_running &&
      !hosted.resumed && hosted.placed_at != boot_time{}) {
    const auto ran = static_cast<double>((now - hosted.placed_at).count()) /
                     (hosted.remote ? options.remote_slowdown : 1);
    forecast.OnRunTime(job->in.queue, hosted.step->image,
                       EstimateOf(*hosted.step),
                       millis(static_cast<int64_t>(ran)));
  }
}

}  // namespace chiveglade::workflow
