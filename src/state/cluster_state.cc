#include "chiveglade/state/cluster_state.h"

#include <algorithm>

#include "check.h"

namespace chiveglade::state {

namespace {

reason Refused(std::string code, std::string detail) {
  return {std::move(code), std::move(detail)};
}

std::string Text(const attempt_id& id) {
  return id.task.job + "/" + std::to_string(id.task.index) + "#" +
         std::to_string(id.number);
}

// Phase of a task whose attempt has ended.
task_phase PhaseAfter(const task& ended, attempt_end how, uint32_t limit) {
  if (how == attempt_end::kFinished) {
    return task_phase::kFinished;
  }
  if (ended.cancel_requested) {
    return task_phase::kCancelled;
  }
  if (how == attempt_end::kFailed && ended.failures >= limit) {
    return task_phase::kFailed;
  }
  return task_phase::kPending;
}

bool HasEnded(task_phase phase) {
  return phase != task_phase::kPending && !HoldsVm(phase);
}

// Asks a task to end: at once if it is pending, through its VM otherwise.
void CancelTask(task& at) {
  if (at.phase == task_phase::kPending) {
    at.phase = task_phase::kCancelled;
  } else if (HoldsVm(at.phase)) {
    at.phase = task_phase::kStopping;
    at.cancel_requested = true;
  }
}

// Undoes CancelTask for a service index that is wanted again.
void ReviveTask(task& at) {
  at.cancel_requested = false;
  if (at.phase == task_phase::kCancelled) {
    at.phase = task_phase::kPending;
  }
}

}  // namespace

result<done> cluster_state::Apply(const event& change) {
  return std::visit([this](const auto& one) { return On(one); }, change);
}

const job* cluster_state::FindJob(const std::string& name) const {
  const auto at = jobs_.find(name);
  return at == jobs_.end() ? nullptr : &at->second;
}

const task* cluster_state::FindTask(const task_id& id) const {
  const job* owner = FindJob(id.job);
  return owner && id.index < owner->tasks.size() ? &owner->tasks[id.index]
                                                 : nullptr;
}

const vm* cluster_state::FindVm(const std::string& name) const {
  const auto at = vms_.find(name);
  return at == vms_.end() ? nullptr : &at->second;
}

bool cluster_state::NameTaken(const std::string& job_name) const {
  return jobs_.contains(job_name) || retired_.contains(job_name);
}

job* cluster_state::MutableJob(const std::string& name) {
  const auto at = jobs_.find(name);
  return at == jobs_.end() ? nullptr : &at->second;
}

task* cluster_state::LiveTask(const attempt_id& id) {
  job* owner = MutableJob(id.task.job);
  if (!owner || id.task.index >= owner->tasks.size()) {
    return nullptr;
  }
  task& at = owner->tasks[id.task.index];
  return at.attempt == id.number && HoldsVm(at.phase) ? &at : nullptr;
}

void cluster_state::IndexTask(const task_id& id, const job& owner) {
  const bool wanted = owner.tasks[id.index].phase == task_phase::kPending &&
                      !owner.cancelled && owner.parked_reason.empty();
  if (wanted) {
    pending_[id.job].insert(id.index);
    return;
  }
  if (const auto at = pending_.find(id.job); at != pending_.end()) {
    at->second.erase(id.index);
    if (at->second.empty()) {
      pending_.erase(at);
    }
  }
}

void cluster_state::IndexJob(const std::string& name, const job& owner) {
  for (uint32_t index = 0; index < owner.tasks.size(); ++index) {
    IndexTask({name, index}, owner);
  }
}

void cluster_state::Hold(const attempt_id& id, const job& owner, vm& on) {
  on.committed += owner.spec.per_task;
  on.tasks.insert(id.task);
  if (owner.spec.per_task != resources{}) {
    usage_[owner.spec.tenant] += owner.spec.per_task;
  }
}

void cluster_state::ReleaseHold(const task_id& id,
                                const job& owner,
                                const vm_id& on) {
  vm& host = vms_.at(on.name);
  host.committed -= owner.spec.per_task;
  host.tasks.erase(id);
  if (const auto used = usage_.find(owner.spec.tenant); used != usage_.end()) {
    used->second -= owner.spec.per_task;
    if (used->second == resources{}) {
      usage_.erase(used);
    }
  }
}

void cluster_state::RememberPast(const vm_id& id) {
  past_vms_.insert(id);
  past_vms_order_.push_back(id);
  if (past_vms_order_.size() > kPastVmsKept) {
    past_vms_.erase(past_vms_order_.front());
    past_vms_order_.pop_front();
  }
}

result<done> cluster_state::On(const job_submitted& change) {
  if (auto valid = CheckSpec(change.spec); !valid) {
    return valid;
  }
  if (NameTaken(change.spec.name)) {
    return Refused("name_taken",
                   "a job named " + change.spec.name + " was submitted before");
  }
  job& added = jobs_[change.spec.name];
  added.spec = change.spec;
  added.tasks.resize(change.spec.tasks);
  IndexJob(change.spec.name, added);
  return done{};
}

result<done> cluster_state::On(const job_cancelled& change) {
  job* owner = MutableJob(change.job);
  if (!owner) {
    return Refused("no_such_job", "there is no job " + change.job);
  }
  owner->cancelled = true;
  for (task& at : owner->tasks) {
    CancelTask(at);
  }
  pending_.erase(change.job);
  return done{};
}

result<done> cluster_state::On(const job_parked& change) {
  job* owner = MutableJob(change.job);
  if (!owner) {
    return Refused("no_such_job", "there is no job " + change.job);
  }
  owner->parked_reason = change.why;
  IndexJob(change.job, *owner);
  return done{};
}

result<done> cluster_state::On(const job_resized& change) {
  job* owner = MutableJob(change.job);
  if (!owner) {
    return Refused("no_such_job", "there is no job " + change.job);
  }
  if (owner->spec.priority != band::kService || owner->cancelled) {
    return Refused("not_resizable",
                   change.job + " is not a service or was cancelled");
  }
  if (change.tasks > kMaxTasks) {
    return Refused("invalid_job", "more than 100000 replicas");
  }
  // Indices above the new size stay, so that attempt numbers are never reused.
  if (change.tasks > owner->tasks.size()) {
    owner->tasks.resize(change.tasks);
  }
  for (uint32_t index = 0; index < owner->tasks.size(); ++index) {
    index < change.tasks ? ReviveTask(owner->tasks[index])
                         : CancelTask(owner->tasks[index]);
  }
  owner->spec.tasks = change.tasks;
  IndexJob(change.job, *owner);
  return done{};
}

result<done> cluster_state::On(const job_retired& change) {
  const job* owner = FindJob(change.job);
  if (!owner) {
    return Refused("no_such_job", "there is no job " + change.job);
  }
  if (!std::all_of(owner->tasks.begin(), owner->tasks.end(),
                   [](const task& at) { return HasEnded(at.phase); })) {
    return Refused("job_not_ended", change.job + " has tasks that may run");
  }
  retired_.insert(change.job);
  retired_order_.push_back(change.job);
  if (retired_order_.size() > kRetiredNamesKept) {
    retired_.erase(retired_order_.front());
    retired_order_.pop_front();
  }
  pending_.erase(change.job);
  jobs_.erase(std::string(change.job));
  return done{};
}

result<done> cluster_state::On(const attempt_granted& change) {
  const std::string name = Text(change.attempt);
  job* owner = MutableJob(change.attempt.task.job);
  if (!owner || change.attempt.task.index >= owner->tasks.size()) {
    return Refused("no_such_task", "there is no task of " + name);
  }
  task& at = owner->tasks[change.attempt.task.index];
  if (at.phase != task_phase::kPending || owner->cancelled) {
    return Refused("not_pending", "the task of " + name + " is not pending");
  }
  if (change.attempt.number != at.attempt + 1) {
    return Refused("wrong_attempt", name + " is not the next attempt");
  }
  const auto host = vms_.find(change.vm.name);
  if (host == vms_.end() || host->second.id != change.vm) {
    return Refused("no_such_vm", "VM " + change.vm.name +
                                     " is not there in this incarnation");
  }
  if (!FitsWithin(owner->spec.per_task,
                  host->second.capacity - host->second.committed)) {
    return Refused("no_capacity",
                   name + " does not fit on VM " + change.vm.name);
  }
  at.phase = task_phase::kStarting;
  at.attempt = change.attempt.number;
  at.vm = change.vm;
  Hold(change.attempt, *owner, host->second);
  IndexTask(change.attempt.task, *owner);
  return done{};
}

result<done> cluster_state::On(const attempt_running& change) {
  task* at = LiveTask(change.attempt);
  if (!at || at->phase != task_phase::kStarting) {
    return Refused("not_starting", Text(change.attempt) + " is not starting");
  }
  at->phase = task_phase::kRunning;
  return done{};
}

result<done> cluster_state::On(const attempt_stopping& change) {
  task* at = LiveTask(change.attempt);
  if (!at || at->phase == task_phase::kStopping) {
    return Refused("not_running",
                   Text(change.attempt) + " is not starting or running");
  }
  at->phase = task_phase::kStopping;
  return done{};
}

result<done> cluster_state::On(const attempt_ended& change) {
  task* at = LiveTask(change.attempt);
  if (!at) {
    return Refused("not_live",
                   Text(change.attempt) + " is not the task's live attempt");
  }
  if (change.how > attempt_end::kLost || change.work_done < millis(0)) {
    return Refused("invalid_end", "unknown end of " + Text(change.attempt));
  }
  const job& owner = jobs_.at(change.attempt.task.job);
  ReleaseHold(change.attempt.task, owner, at->vm);
  if (!change.checkpoint.empty()) {
    at->checkpoint = change.checkpoint;
    at->work_done = change.work_done;
  }
  at->failures += change.how == attempt_end::kFailed ? 1 : 0;
  at->evictions +=
      change.how == attempt_end::kStopped && !at->cancel_requested ? 1 : 0;
  at->phase = PhaseAfter(*at, change.how, owner.spec.max_failures);
  at->vm = {};
  IndexTask(change.attempt.task, owner);
  return done{};
}

result<done> cluster_state::On(const vm_joined& change) {
  if (change.vm.name.empty() || !IsAmount(change.capacity)) {
    return Refused("invalid_vm", "a VM needs a name and amounts up to 2^40");
  }
  if (IsPast(change.vm)) {
    return Refused("past_incarnation", "this incarnation of VM " +
                                           change.vm.name +
                                           " was replaced or declared gone");
  }
  const auto at = vms_.find(change.vm.name);
  if (at != vms_.end()) {
    if (at->second.id == change.vm) {
      return Refused("already_joined",
                     "VM " + change.vm.name + " has joined before");
    }
    if (!at->second.tasks.empty()) {
      return Refused("vm_in_use", "attempts of the older incarnation of VM " +
                                      change.vm.name + " have not ended");
    }
    RememberPast(at->second.id);
  }
  vms_[change.vm.name] = {
      change.vm, change.data_centre, change.rack, change.capacity, {}, {}};
  return done{};
}

result<done> cluster_state::On(const vm_left& change) {
  const auto at = vms_.find(change.vm.name);
  if (at == vms_.end() || at->second.id != change.vm) {
    return Refused("no_such_vm", "VM " + change.vm.name +
                                     " is not there in this incarnation");
  }
  if (!at->second.tasks.empty()) {
    return Refused("vm_in_use", "VM " + change.vm.name + " holds attempts");
  }
  RememberPast(at->second.id);
  vms_.erase(at);
  return done{};
}

result<done> cluster_state::On(const vm_drained& change) {
  if (change.name.empty()) {
    return Refused("invalid_vm", "a VM needs a name");
  }
  if (change.drained) {
    drained_.insert(change.name);
  } else {
    drained_.erase(change.name);
  }
  return done{};
}

result<done> cluster_state::On(const vm_quarantined& change) {
  if (change.name.empty()) {
    return Refused("invalid_vm", "a VM needs a name");
  }
  if (change.quarantined) {
    quarantined_[change.name] = change.probes;
  } else {
    quarantined_.erase(change.name);
  }
  return done{};
}

result<done> cluster_state::On(const command_done& change) {
  if (change.command.empty() ||
      !commands_.emplace(change.command, change).second) {
    return Refused("command_known",
                   "command " + change.command + " was absorbed before");
  }
  command_order_.push_back(change.command);
  if (command_order_.size() > kCommandsKept) {
    commands_.erase(command_order_.front());
    command_order_.pop_front();
  }
  return done{};
}

}  // namespace chiveglade::state
