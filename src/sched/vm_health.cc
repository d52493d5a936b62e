#include "src/sched/vm_health.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

// Number of jobs whose successes are kept: about three days at 6,200 jobs a
// day.
constexpr size_t kMaxSuccessfulJobs = 20'000;
// Number of tasks whose failures are kept.
constexpr size_t kMaxFailedTasks = 20'000;

}  // namespace

void vm_health::RecordSuccess(const std::string& job, const std::string& vm) {
  const auto [it, added] = successes_.try_emplace(job);
  if (std::find(it->second.begin(), it->second.end(), vm) == it->second.end() &&
      it->second.size() < 2) {
    it->second.push_back(vm);
  }
  if (added) {
    success_order_.push_back(job);
  }
  if (success_order_.size() > kMaxSuccessfulJobs) {
    successes_.erase(success_order_.front());
    success_order_.pop_front();
  }
}

void vm_health::ObserveEnd(const state::attempt_ended& end,
                           const std::string& vm) {
  const bool failed = end.how == state::attempt_end::kFailed;
  if (!failed && end.how != state::attempt_end::kFinished) {
    return;
  }
  const auto& task = end.attempt.task;
  auto& vm_history = histories_[vm].ends;
  vm_history.emplace_back(task.job, failed);
  if (vm_history.size() > kWindowAttempts) {
    vm_history.pop_front();
  }
  if (failed) {
    if (failed_on_.size() >= kMaxFailedTasks) {
      failed_on_.erase(failed_on_.begin());
    }
    failed_on_[task].push_back(vm);
  } else {
    RecordSuccess(task.job, vm);
    failed_on_.erase(task);
  }
  // A success on another VM can make this one suspect later, so VMs whose last
  // attempt failed stay in the set.
  vms_to_check_.insert(vm);
  if (const auto probe = probes_.find(vm); probe != probes_.end()) {
    probe->second.passed = !failed;
  }
}

bool vm_health::SucceedsElsewhere(const std::string& job,
                                  const std::string& vm) const {
  const auto it = successes_.find(job);
  return it != successes_.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](const auto& other) { return other != vm; });
}

bool vm_health::IsSuspect(const std::string& vm,
                          const history& vm_history) const {
  if (vm_history.ends.size() < kWindowAttempts) {
    return false;
  }
  std::set<std::string> jobs;
  for (const auto& [job, failed] : vm_history.ends) {
    if (!failed || !SucceedsElsewhere(job, vm)) {
      return false;
    }
    jobs.insert(job);
  }
  return jobs.size() >= kMinFailedJobs;
}

millis vm_health::ProbeDelay(uint32_t probes) const {
  const auto doublings = std::min<uint32_t>(probes, 20);
  return std::min(options_.max_probe_delay,
                  millis(options_.initial_probe_delay.count() << doublings));
}

void vm_health::Run(plan_draft& draft, vm_index& index) {
  const auto& state = draft.state();
  std::erase_if(probes_, [&](const auto& entry) {
    return !state.quarantined().contains(entry.first);
  });
  for (const auto& [vm, count] : state.quarantined()) {
    const auto [it, added] = probes_.try_emplace(vm);
    if (added) {
      it->second.next_at = draft.now() + ProbeDelay(count);
    } else if (it->second.passed) {
      draft.Add(state::vm_quarantined{vm, false, 0});
      histories_.erase(vm);
    }
  }
  size_t quarantined_count = state.quarantined().size();
  const auto limit = std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(state.vms().size()) *
                             options_.quarantine_share));
  std::set<std::string> still_to_check;
  for (const auto& vm : vms_to_check_) {
    if (state.quarantined().contains(vm) || state.FindVm(vm) == nullptr) {
      continue;
    }
    const auto it = histories_.find(vm);
    if (it == histories_.end() || it->second.ends.size() < kWindowAttempts ||
        !it->second.ends.back().second) {
      continue;
    }
    still_to_check.insert(vm);
    if (quarantined_count < limit && IsSuspect(vm, it->second)) {
      draft.Add(state::vm_quarantined{vm, true, 0});
      probes_[vm] = {.next_at = draft.now() + ProbeDelay(0)};
      ++quarantined_count;
      if (auto* slot = index.Find(vm); slot != nullptr) {
        slot->startable = false;
        index.Refresh(*slot);
      }
    }
  }
  vms_to_check_ = std::move(still_to_check);
}

std::vector<std::string> vm_health::DueProbes(const plan_draft& draft,
                                              vm_index& index) const {
  std::vector<std::string> due;
  for (const auto& [vm, probe] : probes_) {
    const auto* slot = index.Find(vm);
    if (slot != nullptr && slot->probeable && !probe.passed &&
        probe.next_at <= draft.now()) {
      due.push_back(vm);
    }
  }
  return due;
}

void vm_health::RecordProbe(const std::string& vm, plan_draft& draft) {
  const auto count = draft.state().quarantined().at(vm) + 1;
  draft.Add(state::vm_quarantined{vm, true, count});
  // The next probe becomes due even if this one never ends, so that the VM does
  // not stay quarantined for ever.
  probes_[vm] = {.next_at = draft.now() + ProbeDelay(count)};
}

const std::vector<std::string>* vm_health::FailedOn(
    const state::task_id& task) const {
  const auto it = failed_on_.find(task);
  return it == failed_on_.end() ? nullptr : &it->second;
}

}  // namespace chiveglade::sched
