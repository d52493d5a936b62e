#include "chiveglade/workflow/coordinator.h"

#include <algorithm>

#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

// Maximum number of jobs in a batch. A transaction holds 100 entries, one of
// which is the leader row.
constexpr size_t kMaxBatchJobs = 90;
constexpr size_t kMaxBatchBytes = 600'000;
// Run time assumed for the tasks of a step without an estimate.
constexpr millis kDefaultEstimate{1'000};
// Interval between checks for hung or throttled runs. Reports, which show
// these, arrive half a second apart.
constexpr millis kRunCheckInterval{100};

// Returns the estimated run time of the longest chain of dependent steps.
millis CriticalPath(const job_spec& job) {
  std::vector<millis> until(job.steps.size());
  millis longest{0};
  for (size_t i = 0; i < job.steps.size(); ++i) {
    millis start{0};
    for (const uint32_t earlier : job.steps[i].after) {
      start = std::max(start, until[earlier]);
    }
    until[i] =
        start + (job.steps[i].estimate.count() > 0 ? job.steps[i].estimate
                                                   : kDefaultEstimate);
    longest = std::max(longest, until[i]);
  }
  return longest;
}

}  // namespace

void coordinator::state::Log(const char* event,
                             const log_fields& fields) const {
  if (options.log) {
    options.log(event, fields);
  }
}

job_state* coordinator::state::FindJob(const std::string& id) {
  const auto at = jobs.find(id);
  return at == jobs.end() ? nullptr : at->second.get();
}

task_record* coordinator::state::FindTask(job_state& job,
                                          const task_key& task) {
  auto& tasks = job.record.tasks;
  if (task.occurrence >= tasks.size() ||
      task.step >= tasks[task.occurrence].size() ||
      task.index >= tasks[task.occurrence][task.step].size()) {
    return nullptr;
  }
  return &tasks[task.occurrence][task.step][task.index];
}

const step_spec& coordinator::state::StepOf(const job_state& job,
                                            const task_key& task) const {
  return job.in.job.steps[task.step];
}

void coordinator::state::ApplyPolicy(job_state& job) const {
  if (const auto* policy = FindQueue(current_catalogue, job.in.queue)) {
    job.attempts = std::max(1U, policy->attempts);
    job.priority = policy->priority;
    job.service = policy->service;
    job.needs_tickets = policy->needs_tickets;
  }
}

void coordinator::state::MarkDirty(job_state& job) {
  job.dirty = true;
  dirty.insert(job.id);
}

void coordinator::state::FinishJob(job_state& job,
                                   job_phase phase,
                                   boot_time now) {
  job.phase = phase;
  job.ended_at = now;
  active.erase(job.id);
  ended.push_back(job.id);
  placement_order_stale = true;
  MarkDirty(job);
  if (restoring) {
    return;
  }
  Log("job_ended",
      {{"job", job.id},
       {"queue", job.in.queue},
       {"outcome", ToString(phase)},
       {"late_ms",
        std::to_string(
            std::chrono::duration_cast<millis>(now - job.objective).count())}});
}

void coordinator::state::StopJob(job_state& job, boot_time now) {
  for (uint32_t k = 0; k < job.record.tasks.size(); ++k) {
    for (uint32_t s = 0; s < job.record.tasks[k].size(); ++s) {
      for (uint32_t i = 0; i < job.record.tasks[k][s].size(); ++i) {
        StopTask(job.record.tasks[k][s][i], {job.id, k, s, i}, now);
      }
    }
  }
}

void coordinator::state::FinishIfComplete(job_state& job, boot_time now) {
  if (IsFinal(job.phase)) {
    return;
  }
  for (const auto& steps : job.done_task_counts) {
    for (size_t s = 0; s < steps.size(); ++s) {
      if (steps[s] < job.in.job.steps[s].count) {
        return;
      }
    }
  }
  FinishJob(job, job_phase::kCompleted, now);
}

void coordinator::state::DeleteOneExpiredJob(boot_time now) {
  // The late end of a run may have had a job deleted already.
  while (!ended.empty() && !jobs.contains(ended.front())) {
    ended.pop_front();
  }
  if (ended.empty()) {
    return;
  }
  auto& job = *jobs.at(ended.front());
  if (IsFinal(job.visible_phase) && !job.dirty && !job.in_batch &&
      now - job.ended_at > options.ended_job_retention) {
    // The next batch deletes its rows, three entries of a transaction. At most
    // one job per batch, since it is not urgent.
    MarkDirty(job);
    ended.pop_front();
  }
}

coordinator::coordinator(coordinator_options options)
    : state_(std::make_unique<state>()) {
  state_->options = std::move(options);
}

coordinator::~coordinator() = default;

void coordinator::SetCatalogue(const catalogue& in) {
  if (state_->has_catalogue && in.version < state_->current_catalogue.version) {
    return;
  }
  state_->current_catalogue = in;
  state_->has_catalogue = true;
  state_->placement_order_stale = true;
  state_->placement_due = true;
  for (auto& [id, job] : state_->jobs) {
    state_->ApplyPolicy(*job);
  }
}

void coordinator::SetOutOfService(std::set<std::string> data_centres) {
  if (state_->out_of_service != data_centres) {
    state_->out_of_service = std::move(data_centres);
    state_->placement_due = true;
  }
}

void coordinator::AddJob(const std::string& id,
                         const submission& in,
                         const std::optional<job_record>& progress,
                         boot_time now,
                         int64_t now_unix_ms) {
  if (state_->jobs.contains(id)) {
    return;
  }
  auto job = std::make_unique<job_state>();
  job->id = id;
  job->in = in;
  job->record = MakeJobRecord(in.job);
  if (progress && progress->tasks.size() == job->record.tasks.size()) {
    job->record = *progress;
    job->has_record = true;
  }
  job->service = in.service;
  job->priority = in.priority;
  job->attempts = std::max(1U, in.attempts);
  state_->ApplyPolicy(*job);
  const millis age(
      std::clamp<int64_t>(now_unix_ms - in.accepted_unix_ms, 0,
                          state_->options.ended_job_retention.count()));
  millis allowed = CriticalPath(in.job);
  if (const auto* policy = FindQueue(state_->current_catalogue, in.queue)) {
    allowed =
        policy->latency_target +
        millis(static_cast<int64_t>(policy->objective_factor *
                                    static_cast<double>(allowed.count())));
  }
  job->objective = now - age + allowed;
  job->retry_at.assign(in.job.steps.size(), boot_time{});
  auto& added = *job;
  state_->jobs.emplace(id, std::move(job));
  state_->active.insert(id);
  state_->placement_order_stale = true;
  state_->placement_due = true;
  for (uint32_t k = 0; k < added.record.tasks.size(); ++k) {
    auto& counts =
        added.done_task_counts.emplace_back(added.record.tasks[k].size());
    for (uint32_t s = 0; s < added.record.tasks[k].size(); ++s) {
      for (uint32_t i = 0; i < added.record.tasks[k][s].size(); ++i) {
        const auto& task = added.record.tasks[k][s][i];
        counts[s] += task.phase == task_phase::kDone ? 1 : 0;
        for (const auto& live : task.live_runs) {
          auto& vm = state_->vms[live.vm];
          if (vm.name.empty()) {
            vm.name = live.vm;
            // No lease granted by an earlier leader extends beyond this.
            vm.lease_expires_at =
                now + WithClockMargin(state_->options.lease_duration);
          }
          hosted_run hosted;
          hosted.worker_incarnation = live.worker_incarnation;
          hosted.durable = true;
          hosted.last_progress_at = now;
          state_->AddRun(vm, {{id, k, s, i}, live.run}, hosted);
        }
      }
    }
  }
  if (added.record.ever_started) {
    added.phase = added.visible_phase = job_phase::kRunning;
  }
  state_->restoring = progress.has_value();
  if (added.record.cancelled || added.record.failed) {
    state_->FinishJob(
        added, added.record.failed ? job_phase::kFailed : job_phase::kCancelled,
        now);
  } else {
    state_->FinishIfComplete(added, now);
  }
  state_->restoring = false;
  if (progress) {
    added.visible_phase = added.phase;
    added.dirty = false;
    state_->dirty.erase(id);
  }
  if (IsFinal(added.phase)) {
    state_->StopJob(added, now);
  }
}

void coordinator::CancelJob(const std::string& id, boot_time now) {
  auto* job = state_->FindJob(id);
  if (!job || IsFinal(job->phase)) {
    return;
  }
  job->record.cancelled = true;
  state_->FinishJob(*job, job_phase::kCancelled, now);
  // The caller has stored the cancellation before this call.
  job->visible_phase = job_phase::kCancelled;
  state_->StopJob(*job, now);
}

std::vector<coordinator::batch_row> coordinator::TakeBatch(boot_time now) {
  state_->DeleteOneExpiredJob(now);
  std::vector<batch_row> out;
  size_t bytes = 0;
  state_->batch.clear();
  for (const auto& id : state_->dirty) {
    if (out.size() >= kMaxBatchJobs || bytes >= kMaxBatchBytes) {
      break;
    }
    auto& job = *state_->jobs.at(id);
    state_->batch.push_back(id);
    job.in_batch = true;
    job.dirty = false;
    job.batched_phase = job.phase;
    if (IsFinal(job.visible_phase) && job.has_record &&
        now - job.ended_at > state_->options.ended_job_retention) {
      out.push_back({id, std::nullopt});
      continue;
    }
    out.push_back({id, EncodeRecord(job.record)});
    bytes += out.back().record->size();
  }
  for (const auto& id : state_->batch) {
    state_->dirty.erase(id);
  }
  state_->batch_has_all_dirty = state_->dirty.empty();
  const std::set<std::string> in_batch(state_->batch.begin(),
                                       state_->batch.end());
  for (auto& [name, vm] : state_->vms) {
    vm.ends_batched =
        state_->batch_has_all_dirty ? vm.ends_applied : vm.ends_durable;
    for (auto& [run, hosted] : vm.runs) {
      hosted.batched = !hosted.durable && in_batch.contains(run.task.job);
    }
  }
  return out;
}

void coordinator::OnCommitted(boot_time now) {
  for (const auto& id : state_->batch) {
    auto* job = state_->FindJob(id);
    if (!job) {
      continue;
    }
    job->in_batch = false;
    job->has_record = true;
    job->visible_phase = job->batched_phase;
    if (IsFinal(job->visible_phase) &&
        now - job->ended_at > state_->options.ended_job_retention) {
      state_->dirty.erase(id);
      state_->jobs.erase(id);
    }
  }
  state_->batch.clear();
  for (auto& [name, vm] : state_->vms) {
    if (vm.ends_batched > vm.ends_durable) {
      vm.ends_durable = vm.ends_batched;
      state_->vms_with_orders.insert(name);
    }
    for (auto& [run, hosted] : vm.runs) {
      if (hosted.batched) {
        hosted.batched = false;
        hosted.durable = true;
        state_->vms_with_orders.insert(name);
      }
    }
  }
}

void coordinator::OnNotCommitted() {
  for (const auto& id : state_->batch) {
    if (auto* job = state_->FindJob(id)) {
      job->in_batch = false;
      state_->MarkDirty(*job);
    }
  }
  state_->batch.clear();
  for (auto& [name, vm] : state_->vms) {
    vm.ends_batched = vm.ends_durable;
    for (auto& [run, hosted] : vm.runs) {
      hosted.batched = false;
    }
  }
}

bool coordinator::HasUncommitted() const {
  if (!state_->dirty.empty()) {
    return true;
  }
  return std::any_of(
      state_->vms.begin(), state_->vms.end(), [](const auto& item) {
        return item.second.ends_applied > item.second.ends_durable;
      });
}

std::optional<job_view> coordinator::FindJobView(const std::string& id) const {
  const auto at = state_->jobs.find(id);
  if (at == state_->jobs.end()) {
    return std::nullopt;
  }
  return job_view{at->second->visible_phase};
}

size_t coordinator::PendingJobCount(const std::string& queue) const {
  size_t pending = 0;
  for (const auto& id : state_->active) {
    const auto& job = *state_->jobs.at(id);
    if (job.in.queue == queue && !job.record.ever_started) {
      ++pending;
    }
  }
  return pending;
}

size_t coordinator::job_count() const {
  return state_->active.size();
}

size_t coordinator::vm_count() const {
  return state_->vms.size();
}

const coordinator_counters& coordinator::counters() const {
  return state_->counters;
}

void coordinator::Tick(boot_time now, int64_t now_unix_ms) {
  state_->ExpireVms(now);
  const bool check = now - state_->runs_checked_at >= kRunCheckInterval;
  if (check) {
    state_->runs_checked_at = now;
    state_->StopHungRuns(now);
  }
  if (state_->has_catalogue) {
    state_->Place(now, now_unix_ms);
    if (check) {
      state_->MoveThrottledRun(now);
    }
  }
}

}  // namespace chiveglade::workflow
