#include "chiveglade/workflow/coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "chiveglade/workflow/job_admission.h"
#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

// Maximum number of entries of a batch. A transaction holds 100, two of which
// are the leader row and the condition on it.
constexpr size_t kMaxBatchEntries = 98;
// Rows of ended jobs that a batch deletes at most, since that is not urgent.
constexpr size_t kMaxDeletesPerBatch = 20;
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
    until[i] = SaturatingAdd(start, job.steps[i].estimate.count() > 0
                                        ? job.steps[i].estimate
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
  millis allowed = CriticalPath(job.in.job);
  if (const auto* policy = FindQueue(current_catalogue, job.in.queue)) {
    job.attempts = std::max(1U, policy->attempts);
    job.priority = policy->priority;
    job.service = policy->service;
    job.needs_tickets = policy->needs_tickets;
    allowed = SaturatingAdd(policy->latency_target,
                            ScaleDuration(allowed, policy->objective_factor));
  }
  job.objective = job.accepted_at + ClampDuration(allowed);
}

void coordinator::state::NoteBegun(job_state& job,
                                   const char* why,
                                   const std::string& vm) const {
  if (!std::exchange(job.begun, true)) {
    Log("job_begun", {{"job", job.id}, {"reason", why}, {"vm", vm}});
  }
}

void coordinator::state::MarkDirty(job_state& job, uint32_t row) {
  job.dirty_rows.insert(row);
  dirty.insert(job.id);
}

void coordinator::state::FinishJob(job_state& job,
                                   job_phase phase,
                                   boot_time now) {
  job.record.phase = phase;
  job.ended_at = now;
  job.ended_unix_ms = unix_ms;
  active.erase(job.id);
  placement_order_stale = true;
  MarkDirty(job, 0);
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
  if (IsFinal(job.record.phase)) {
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

bool coordinator::state::AddToBatch(job_state& job,
                                    std::vector<batch_row>& batch,
                                    size_t& bytes) {
  std::vector<batch_row> rows;
  size_t job_bytes = 0;
  for (const uint32_t row : job.dirty_rows) {
    rows.push_back({{job.id, row}, EncodeProgressRow(job.record, row)});
    job_bytes += rows.back().record->size();
  }
  // The rows of one job always fit, see job_record.h.
  if (!batch.empty() && (batch.size() + rows.size() > kMaxBatchEntries ||
                         bytes + job_bytes > kMaxBatchBytes)) {
    return false;
  }
  bytes += job_bytes;
  std::move(rows.begin(), rows.end(), std::back_inserter(batch));
  job.batch_rows.assign(job.dirty_rows.begin(), job.dirty_rows.end());
  job.dirty_rows.clear();
  job.batched_phase = job.record.phase;
  return true;
}

bool coordinator::state::HasLiveRuns(const job_state& job) {
  for (const auto& steps : job.record.tasks) {
    for (const auto& tasks : steps) {
      if (std::any_of(tasks.begin(), tasks.end(), [](const task_record& task) {
            return !task.live_runs.empty();
          })) {
        return true;
      }
    }
  }
  return false;
}

void coordinator::state::ArchiveIfOver(job_state& job) {
  if (IsFinal(job.visible_phase) && job.dirty_rows.empty() &&
      job.batch_rows.empty() && !HasLiveRuns(job)) {
    archivable.push_back(job.id);
  }
}

void coordinator::state::AddEnded(const std::string& id,
                                  const ended_view& view) {
  if (ended.emplace(id, view).second) {
    ended_by_time.emplace(view.ended_at, id);
  }
}

void coordinator::state::AddJobBytes(const job_state& job) {
  job_bytes += job.bytes;
  job_bytes_by_queue[job.in.queue] += job.bytes;
}

void coordinator::state::RemoveJobBytes(const job_state& job) {
  job_bytes -= job.bytes;
  const auto of_queue = job_bytes_by_queue.find(job.in.queue);
  of_queue->second -= job.bytes;
  if (of_queue->second == 0) {
    job_bytes_by_queue.erase(of_queue);
  }
}

coordinator::coordinator(coordinator_options options)
    : state_(std::make_unique<state>()) {
  state_->options = std::move(options);
  state_->interference =
      interference_model(state_->options.initial_interference);
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

void coordinator::SetInformedAsOf(boot_time as_of) {
  state_->informed_as_of = as_of;
}

void coordinator::AddJob(const std::string& id,
                         const submission& in,
                         const std::optional<job_record>& progress,
                         boot_time now,
                         int64_t now_unix_ms) {
  if (state_->jobs.contains(id) || state_->ended.contains(id)) {
    return;
  }
  state_->unix_ms = now_unix_ms;
  auto job = std::make_unique<job_state>();
  job->id = id;
  job->in = in;
  job->bytes = JobBytes(in.job);
  state_->AddJobBytes(*job);
  job->record = MakeJobRecord(in.job);
  if (progress) {
    job->record = *progress;
  }
  job->service = in.service;
  job->priority = in.priority;
  job->attempts = std::max(1U, in.attempts);
  const millis age(
      std::clamp<int64_t>(SaturatingSubtract(now_unix_ms, in.accepted_unix_ms),
                          0, state_->options.ended_job_retention.count()));
  job->accepted_at = now - age;
  job->idle_since = now;
  job->listed_at = now;
  state_->ApplyPolicy(*job);
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
        added.begun = added.begun || task.phase != task_phase::kPending ||
                      task.failures > 0 || !task.checkpoint.empty();
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
      if (in.job.steps[s].gang && !added.record.tasks[k][s].empty()) {
        // An earlier version stored one for each member.
        state_->ShareGangCheckpoint(added, {id, k, s, 0}, false);
      }
    }
  }
  added.visible_phase = added.record.phase;
  state_->restoring = progress.has_value();
  if (IsFinal(added.record.phase)) {
    state_->FinishJob(added, added.record.phase, now);
  } else {
    state_->FinishIfComplete(added, now);
  }
  state_->restoring = false;
  if (progress) {
    added.visible_phase = added.record.phase;
    added.dirty_rows.clear();
    state_->dirty.erase(id);
    state_->ArchiveIfOver(added);
  }
  if (IsFinal(added.record.phase)) {
    state_->StopJob(added, now);
  }
}

void coordinator::CancelJob(const std::string& id, boot_time now) {
  auto* job = state_->FindJob(id);
  if (!job || IsFinal(job->record.phase)) {
    return;
  }
  state_->FinishJob(*job, job_phase::kCancelled, now);
  // The caller has stored the cancellation before this call.
  job->visible_phase = job_phase::kCancelled;
  state_->StopJob(*job, now);
}

void coordinator::AddEndedJob(const std::string& id,
                              const ended_job& in,
                              boot_time now,
                              int64_t now_unix_ms) {
  const millis age(
      std::clamp<int64_t>(SaturatingSubtract(now_unix_ms, in.ended_unix_ms), 0,
                          state_->options.ended_job_retention.count()));
  state_->AddEnded(id, {in.phase, now - age});
}

std::vector<coordinator::batch_row> coordinator::TakeBatch(boot_time /*now*/) {
  std::vector<batch_row> out;
  size_t bytes = 0;
  state_->batch.clear();
  state_->batch_runs.clear();
  for (const auto& id : state_->dirty) {
    if (!state_->AddToBatch(*state_->jobs.at(id), out, bytes)) {
      break;
    }
    state_->batch.push_back(id);
    if (auto runs = state_->unwritten_runs.extract(id)) {
      std::move(runs.mapped().begin(), runs.mapped().end(),
                std::back_inserter(state_->batch_runs));
    }
  }
  for (const auto& id : state_->batch) {
    state_->dirty.erase(id);
  }
  state_->batch_deletes.clear();
  while (!state_->leftover_progress.empty() && out.size() < kMaxBatchEntries &&
         state_->batch_deletes.size() < kMaxDeletesPerBatch) {
    auto next =
        state_->leftover_progress.extract(state_->leftover_progress.begin());
    out.push_back({next.value(), std::nullopt});
    state_->batch_deletes.push_back(std::move(next.value()));
  }
  for (const auto& name : state_->vms_with_new_ends) {
    auto& vm = state_->vms.at(name);
    vm.ends_batched = state_->dirty.empty() ? vm.ends_applied : vm.ends_durable;
  }
  return out;
}

void coordinator::OnCommitted(boot_time /*now*/) {
  for (const auto& id : state_->batch) {
    auto& job = *state_->FindJob(id);
    job.batch_rows.clear();
    job.visible_phase = job.batched_phase;
    state_->ArchiveIfOver(job);
  }
  state_->batch.clear();
  state_->batch_deletes.clear();
  for (const auto& [name, run] : state_->batch_runs) {
    auto& vm = state_->vms.at(name);
    if (const auto at = vm.runs.find(run); at != vm.runs.end()) {
      at->second.durable = true;
      state_->vms_with_orders.insert(name);
    }
  }
  state_->batch_runs.clear();
  std::erase_if(state_->vms_with_new_ends, [this](const std::string& name) {
    auto& vm = state_->vms.at(name);
    if (vm.ends_batched > vm.ends_durable) {
      vm.ends_durable = vm.ends_batched;
      state_->vms_with_orders.insert(name);
    }
    return vm.ends_applied <= vm.ends_durable;
  });
}

void coordinator::OnNotCommitted() {
  for (const auto& id : state_->batch) {
    auto& job = *state_->FindJob(id);
    for (const uint32_t row : std::exchange(job.batch_rows, {})) {
      state_->MarkDirty(job, row);
    }
  }
  state_->batch.clear();
  state_->leftover_progress.insert(state_->batch_deletes.begin(),
                                   state_->batch_deletes.end());
  state_->batch_deletes.clear();
  for (const auto& placed : std::exchange(state_->batch_runs, {})) {
    state_->unwritten_runs[placed.run.task.job].push_back(placed);
  }
  for (const auto& name : state_->vms_with_new_ends) {
    auto& vm = state_->vms.at(name);
    vm.ends_batched = vm.ends_durable;
  }
}

coordinator::ended_batch coordinator::TakeEnded(boot_time now,
                                                size_t max_jobs) const {
  ended_batch out;
  for (const auto& id : state_->archivable) {
    if (out.ends.size() >= max_jobs) {
      return out;
    }
    if (id.front() == state_->archivable.front().front()) {
      const auto& job = *state_->jobs.at(id);
      out.ends.emplace(id, ended_job{job.visible_phase, job.ended_unix_ms});
    }
  }
  if (!out.ends.empty()) {
    return out;
  }
  for (const auto& [ended_at, id] : state_->ended_by_time) {
    if (out.forgets.size() >= max_jobs ||
        now - ended_at <= state_->options.ended_job_retention) {
      break;
    }
    if (out.forgets.empty() || id.front() == out.forgets.front().front()) {
      out.forgets.push_back(id);
    }
  }
  return out;
}

void coordinator::OnEndedWritten(const ended_batch& written) {
  for (const auto& [id, end] : written.ends) {
    const auto at = state_->jobs.find(id);
    if (at == state_->jobs.end()) {
      continue;
    }
    state_->AddEnded(id, {end.phase, at->second->ended_at});
    for (uint32_t row = 0; row < ProgressRowCount(at->second->record); ++row) {
      state_->leftover_progress.insert({id, row});
    }
    state_->RemoveJobBytes(*at->second);
    state_->jobs.erase(at);
  }
  std::erase_if(state_->archivable, [&](const std::string& id) {
    return written.ends.contains(id);
  });
  for (const auto& id : written.forgets) {
    if (const auto at = state_->ended.find(id); at != state_->ended.end()) {
      state_->ended_by_time.erase({at->second.ended_at, id});
      state_->ended.erase(at);
    }
  }
}

void coordinator::AddLeftoverProgress(const progress_key& row) {
  if (!state_->jobs.contains(row.job)) {
    state_->leftover_progress.insert(row);
  }
}

bool coordinator::HasUncommitted() const {
  return !state_->dirty.empty() || !state_->vms_with_new_ends.empty() ||
         !state_->leftover_progress.empty();
}

std::optional<job_view> coordinator::FindJobView(const std::string& id) const {
  if (const auto at = state_->jobs.find(id); at != state_->jobs.end()) {
    return job_view{at->second->visible_phase};
  }
  if (const auto at = state_->ended.find(id); at != state_->ended.end()) {
    return job_view{at->second.phase};
  }
  return std::nullopt;
}

size_t coordinator::PendingJobCount(const std::string& queue) const {
  size_t pending = 0;
  for (const auto& id : state_->active) {
    const auto& job = *state_->jobs.at(id);
    if (job.in.queue == queue && !job.begun) {
      ++pending;
    }
  }
  return pending;
}

size_t coordinator::yielding_job_count() const {
  return static_cast<size_t>(std::count_if(
      state_->active.begin(), state_->active.end(),
      [this](const auto& id) { return state_->jobs.at(id)->rank.yields; }));
}

size_t coordinator::job_count() const {
  return state_->active.size();
}

uint64_t coordinator::held_bytes() const {
  return state_->job_bytes + state_->run_count * kRunBytes +
         state_->ended.size() * kEndedJobBytes;
}

uint64_t coordinator::held_bytes(const std::string& queue) const {
  const auto found = state_->job_bytes_by_queue.find(queue);
  return found == state_->job_bytes_by_queue.end() ? 0 : found->second;
}

size_t coordinator::vm_count() const {
  return state_->vms.size();
}

const coordinator_counters& coordinator::counters() const {
  return state_->counters;
}

void coordinator::Tick(boot_time now, int64_t now_unix_ms) {
  state_->unix_ms = now_unix_ms;
  state_->ExpireVms(now);
  const bool check = now - state_->runs_checked_at >= kRunCheckInterval;
  if (check) {
    state_->runs_checked_at = now;
    state_->StopHungRuns(now);
  }
  state_->ReportIdleJobs(now);
  if (state_->has_catalogue) {
    state_->Place(now, now_unix_ms);
    if (check) {
      state_->MoveThrottledRun(now);
    }
  }
}

}  // namespace chiveglade::workflow
