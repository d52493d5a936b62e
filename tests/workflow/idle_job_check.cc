#include "tests/workflow/idle_job_check.h"

#include <algorithm>

#include "chiveglade/workflow/message.h"

namespace chiveglade::workflow {

namespace {

const idle_job_check::vm& FindVm(const idle_job_check::world_view& view,
                                 const std::string& name) {
  return *std::find_if(view.vms.begin(), view.vms.end(),
                       [&](const auto& each) { return each.name == name; });
}

}  // namespace

void idle_job_check::OnCoordinatorChanged(millis now) {
  OnDisturbance(now);
  done_on_.merge(reported_done_);
  reported_done_.clear();
}

void idle_job_check::OnStartSent(const run_key& run,
                                 const std::string& vm,
                                 uint64_t epoch,
                                 millis now) {
  auto& last = last_starts_[run.task];
  if (last.run != run || last.vm != vm) {
    last = {run, vm, epoch, now, std::nullopt};
  }
}

void idle_job_check::OnStartReceived(const run_key& run,
                                     uint64_t runner_process) {
  if (const auto at = last_starts_.find(run.task);
      at != last_starts_.end() && at->second.run == run) {
    at->second.received_by = runner_process;
  }
}

void idle_job_check::OnStarted(const task_key& task) {
  done_on_.erase(task);
  reported_done_.erase(task);
}

void idle_job_check::OnDone(const task_key& task, const std::string& vm) {
  done_on_[task] = vm;
}

void idle_job_check::OnDoneReported(const task_key& task) {
  if (const auto at = done_on_.extract(task)) {
    reported_done_[task] = at.mapped();
  }
}

void idle_job_check::OnDoneAcknowledged(const task_key& task) {
  done_.insert(task);
}

void idle_job_check::OnWorkerLost(const std::string& vm) {
  std::erase_if(done_on_, [&](const auto& item) { return item.second == vm; });
}

bool idle_job_check::IsDone(const task_key& task,
                            const step_spec& step,
                            const world_view& view) const {
  const auto is_done = [&](const task_key& key) {
    const auto at = done_on_.find(key);
    return done_.contains(key) || reported_done_.contains(key) ||
           (at != done_on_.end() && FindVm(view, at->second).sound);
  };
  if (!step.gang) {
    return is_done(task);
  }
  // The end of one member completes the gang.
  auto member = task;
  for (member.index = 0; member.index < step.count; ++member.index) {
    if (is_done(member)) {
      return true;
    }
  }
  return false;
}

bool idle_job_check::IsStepDone(const task_key& first,
                                const step_spec& step,
                                const world_view& view) const {
  auto task = first;
  for (task.index = 0; task.index < step.count; ++task.index) {
    if (!IsDone(task, step, view)) {
      return false;
    }
  }
  return true;
}

std::vector<task_key> idle_job_check::WaitingTasks(
    const std::string& id,
    const submission& job,
    const world_view& view) const {
  std::vector<task_key> out;
  const auto& steps = job.job.steps;
  const auto occurrences = std::max(1U, job.job.repeat.occurrences);
  for (uint32_t k = 0; k < occurrences; ++k) {
    if (DueUnixMs(job.job.repeat, k) > view.unix_ms) {
      continue;
    }
    for (uint32_t s = 0; s < steps.size(); ++s) {
      const bool is_ready = std::all_of(
          steps[s].after.begin(), steps[s].after.end(), [&](uint32_t earlier) {
            return IsStepDone({id, k, earlier, 0}, steps[earlier], view);
          });
      task_key task{id, k, s, 0};
      for (; is_ready && task.index < steps[s].count; ++task.index) {
        const auto failures = failures_.find(task);
        const bool gave_up =
            failures != failures_.end() && failures->second >= job.attempts;
        if (!gave_up && !view.running.contains(task) &&
            !IsDone(task, steps[s], view)) {
          out.push_back(task);
        }
      }
    }
  }
  return out;
}

bool idle_job_check::HaveRoom(
    const world_view& view,
    const std::map<std::string, std::vector<task_key>>& waiting) {
  auto vms = view.vms;
  std::erase_if(vms, [](const vm& each) { return !each.sound; });
  std::map<std::pair<std::string, uint32_t>, std::map<std::string, uint32_t>>
      placed;  // by step and VM
  for (const auto& [id, tasks] : waiting) {
    for (const auto& task : tasks) {
      const auto& step = view.jobs.at(id)->job.steps[task.step];
      auto& on = placed[{id, task.step}];
      const auto at = std::find_if(vms.begin(), vms.end(), [&](const vm& each) {
        return each.free.millicores >= step.demand.millicores &&
               each.free.memory_mib >= step.demand.memory_mib &&
               each.free.accelerators >= step.demand.accelerators &&
               (step.max_per_vm == 0 || on[each.name] < step.max_per_vm);
      });
      if (at == vms.end()) {
        return false;
      }
      at->free -= step.demand;
      ++on[at->name];
    }
  }
  return true;
}

bool idle_job_check::MayRunUnseen(const task_key& task,
                                  const world_view& view) const {
  const auto last = last_starts_.find(task);
  if (last == last_starts_.end()) {
    return false;
  }
  const auto& at = FindVm(view, last->second.vm);
  // An earlier coordinator may still be sending the order to a runner that has
  // not heard of the present one.
  const bool is_of_earlier =
      last->second.epoch < view.epoch && at.known_epoch < view.epoch;
  return !at.lists_arrive || is_of_earlier ||
         (last->second.received_by &&
          *last->second.received_by != at.runner_process);
}

millis idle_job_check::Deadline(const idle_job& idle,
                                const task_key& task,
                                const world_view& view) const {
  bool may_run_unseen = MayRunUnseen(task, view);
  const auto& step = view.jobs.at(task.job)->job.steps[task.step];
  // The members of a gang wait for each other's runs to end.
  auto member = task;
  for (member.index = 0; step.gang && member.index < step.count;
       ++member.index) {
    may_run_unseen = may_run_unseen || MayRunUnseen(member, view);
  }
  if (may_run_unseen) {
    return std::max(idle.since, disturbed_at_) + kMaxIdleTimeUnderLease;
  }
  return std::max(idle.since, disturbed_at_ + kCalmTime) + kMaxIdleTime;
}

std::string idle_job_check::Describe(const idle_job& idle,
                                     const task_key& task,
                                     const world_view& view) const {
  std::string out = "stands still with room for it: job " + task.job +
                    ", task " + ToString(task) + ", nothing runs since " +
                    std::to_string(idle.since.count()) + " ms, seen at " +
                    std::to_string(view.now.count()) +
                    " ms, last disturbance at " +
                    std::to_string(disturbed_at_.count()) + " ms";
  const auto last = last_starts_.find(task);
  if (last == last_starts_.end()) {
    return out + ", no start was ever sent";
  }
  return out + ", run " + std::to_string(last->second.run.run) + " sent to " +
         last->second.vm + " since " +
         std::to_string(last->second.sent_at.count()) + " ms" +
         (last->second.received_by ? ", received" : ", never received");
}

std::vector<std::string> idle_job_check::Check(const world_view& view) {
  std::map<std::string, std::vector<task_key>> waiting;
  for (const auto& [id, job] : view.jobs) {
    if (auto tasks = WaitingTasks(id, *job, view); !tasks.empty()) {
      waiting.emplace(id, std::move(tasks));
    }
  }
  if (!view.has_ready_coordinator || !HaveRoom(view, waiting)) {
    idle_.clear();
    return {};
  }
  std::vector<std::string> out;
  for (const auto& id : view.checked_jobs) {
    const auto first = view.running.lower_bound({id, 0, 0, 0});
    const auto tasks = waiting.find(id);
    if (tasks == waiting.end() ||
        (first != view.running.end() && first->job == id)) {
      idle_.erase(id);
      continue;
    }
    auto& idle =
        idle_.try_emplace(id, idle_job{view.now, false, {}}).first->second;
    // A run that may go on unseen keeps its bound after the next one was sent.
    // The job may stay idle as long as the first of its tasks that can run.
    const task_key* soonest = nullptr;
    for (const auto& task : tasks->second) {
      auto& deadline = idle.deadlines[task];
      deadline = std::max(deadline, Deadline(idle, task, view));
      if (!soonest || deadline < idle.deadlines[*soonest]) {
        soonest = &task;
      }
    }
    if (!idle.reported && view.now > idle.deadlines[*soonest]) {
      idle.reported = true;
      out.push_back(Describe(idle, *soonest, view));
    }
  }
  std::erase_if(idle_, [&](const auto& item) {
    return !view.checked_jobs.contains(item.first);
  });
  return out;
}

}  // namespace chiveglade::workflow
