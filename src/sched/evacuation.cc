#include "src/sched/evacuation.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chiveglade::sched {
namespace {

// A replica is stopped without a replacement if no room for one is found for
// this long.
constexpr millis kReplacementTimeout{3'000};

}  // namespace

void evacuation::Run(plan_draft& draft) {
  const auto groups = Groups();
  std::set<std::string> names;
  for (const auto& evacuated : groups) {
    names.insert(evacuated.name);
    Evacuate(evacuated, draft);
  }
  std::erase_if(initial_attempts_, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
  std::erase_if(unplaced_since_, [&](const auto& entry) {
    const auto* task = draft.state().FindTask(entry.first);
    return task == nullptr || !state::HoldsVm(task->phase);
  });
}

std::vector<evacuation::group> evacuation::Groups() {
  std::vector<group> groups;
  std::map<uint16_t, size_t> groups_by_data_centre;
  for (auto& slot : index_.slots()) {
    const auto& data_centre = index_.data_centres()[slot.data_centre];
    if (data_centre.phase == data_centre_phase::kOutOfService) {
      const auto [it, added] =
          groups_by_data_centre.emplace(slot.data_centre, groups.size());
      if (added) {
        groups.push_back({"dc/" + data_centre.name, "data_centre_out", {}});
      }
      groups[it->second].slots.push_back(&slot);
    } else if (slot.drained && !slot.residents.empty()) {
      groups.push_back({"vm/" + slot.name, "drained", {&slot}});
    }
  }
  return groups;
}

void evacuation::Evacuate(const group& evacuated, plan_draft& draft) {
  size_t attempts = 0;
  size_t stopping = 0;
  for (const auto* slot : evacuated.slots) {
    attempts += slot->residents.size();
    stopping += static_cast<size_t>(
        std::count_if(slot->residents.begin(), slot->residents.end(),
                      [](const auto& other) { return other.stopping; }));
  }
  auto& initial_attempts = initial_attempts_[evacuated.name];
  initial_attempts = std::max(initial_attempts, attempts);
  const auto share = static_cast<size_t>(std::ceil(
      options_.evacuation_share * static_cast<double>(initial_attempts)));
  const size_t max_stopping =
      std::max<size_t>(share, options_.min_evacuation_limit);
  size_t limit = max_stopping > stopping ? max_stopping - stopping : 0;
  if (limit > 0 && StopBatch(evacuated, limit, draft)) {
    StopReplicas(evacuated, limit, draft);
  }
}

millis evacuation::RemainingRunTime(const resident& target,
                                    const plan_draft& draft) const {
  const auto* job = draft.state().FindJob(target.attempt.task.job);
  return job == nullptr
             ? millis(0)
             : demand_.ExpectedRunTime(target.klass, job->spec.expected_run) -
                   target.work_done;
}

bool evacuation::StopBatch(const group& evacuated,
                           size_t& limit,
                           plan_draft& draft) {
  struct victim {
    vm_slot* slot;
    resident* target;
    millis remaining;
  };
  std::vector<victim> victims;
  bool none_left = true;
  for (auto* slot : evacuated.slots) {
    for (auto& other : slot->residents) {
      none_left = none_left && other.priority == state::band::kService;
      if (!other.stopping && other.priority != state::band::kService) {
        victims.push_back({slot, &other, RemainingRunTime(other, draft)});
      }
    }
  }
  const auto stops_first = [](const victim& a, const victim& b) {
    return a.target->priority != b.target->priority
               ? a.target->priority > b.target->priority
               : a.remaining > b.remaining;
  };
  std::stable_sort(victims.begin(), victims.end(), stops_first);
  for (const auto& [slot, target, remaining] : victims) {
    if (limit == 0) {
      break;
    }
    limit -= draft.Stop(*slot, *target, evacuated.why) ? 1 : 0;
  }
  return none_left;
}

void evacuation::StopReplicas(const group& evacuated,
                              size_t limit,
                              plan_draft& draft) {
  std::set<std::string> handled_jobs;
  for (auto* slot : evacuated.slots) {
    for (auto& replica : slot->residents) {
      const auto& name = replica.attempt.task.job;
      if (limit == 0 || replica.stopping ||
          replica.priority != state::band::kService ||
          handled_jobs.contains(name)) {
        continue;
      }
      const auto* job = draft.state().FindJob(name);
      if (job == nullptr || !OtherReplicasRun(*job, draft)) {
        continue;
      }
      handled_jobs.insert(name);
      if (ReplacementReady(replica, *job, draft) &&
          draft.Stop(*slot, replica, evacuated.why)) {
        --limit;
      }
    }
  }
}

bool evacuation::OtherReplicasRun(const state::job& job,
                                  const plan_draft& draft) const {
  return std::all_of(job.tasks.begin(), job.tasks.end(), [&](const auto& task) {
    // A task that has been pending for kReplacementTimeout probably fits
    // nowhere, and waiting for it would block the evacuation.
    return task.phase == state::task_phase::kRunning ||
           !(state::HoldsVm(task.phase) ||
             task.phase == state::task_phase::kPending) ||
           (task.phase == state::task_phase::kPending &&
            draft.now() - starter_.PendingSince(job.spec.name) >=
                kReplacementTimeout);
  });
}

bool evacuation::ReplacementReady(const resident& replica,
                                  const state::job& job,
                                  plan_draft& draft) {
  const auto& id = replica.attempt.task;
  if (const auto* held = holds_.Find(id); held != nullptr) {
    const auto* slot = index_.Find(held->vm);
    if (!FitsWithin(slot->committed + held->amount, slot->capacity)) {
      return false;
    }
    auto renewed = *held;
    renewed.until = draft.now() + options_.hold_timeout;
    holds_.Put(id, renewed, index_);
    return true;
  }
  const auto request = starter_.MakeRequest(job, id.index);
  if (const auto choice = placement_.Choose(request, draft.now());
      choice.slot != nullptr) {
    holds_.Put(id,
               {.vm = choice.slot->name,
                .amount = job.spec.per_task,
                .until = draft.now() + options_.hold_timeout,
                .moving = true},
               index_);
    return true;
  }
  if (preemption_.MakeRoom(request, id, true, draft)) {
    return false;
  }
  return ReplacementTimedOut(id, draft);
}

bool evacuation::ReplacementTimedOut(const state::task_id& task,
                                     const plan_draft& draft) {
  const auto since =
      unplaced_since_.try_emplace(task, draft.now()).first->second;
  return draft.now() - since >= kReplacementTimeout;
}

}  // namespace chiveglade::sched
