#include "src/sched/departure.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chiveglade::sched {
namespace {

// How long room for a replica is looked for before it is stopped without.
constexpr millis kGiveUpAfter{3'000};

}  // namespace

void departure::Run(plan_draft& draft) {
  const auto groups = Groups();
  std::set<std::string> names;
  for (const auto& leaving : groups) {
    names.insert(leaving.name);
    Empty(leaving, draft);
  }
  std::erase_if(initial_, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
  std::erase_if(unplaced_since_, [&](const auto& entry) {
    const auto* task = draft.state().FindTask(entry.first);
    return task == nullptr || !state::HoldsVm(task->phase);
  });
}

std::vector<departure::group> departure::Groups() {
  std::vector<group> groups;
  std::map<uint16_t, size_t> out;
  for (auto& slot : index_.slots()) {
    const auto& data_centre = index_.data_centres()[slot.data_centre];
    if (data_centre.phase == data_centre_phase::kOutOfService) {
      const auto [it, added] = out.emplace(slot.data_centre, groups.size());
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

void departure::Empty(const group& leaving, plan_draft& draft) {
  size_t attempts = 0;
  size_t stopping = 0;
  for (const auto* slot : leaving.slots) {
    attempts += slot->residents.size();
    stopping += static_cast<size_t>(
        std::count_if(slot->residents.begin(), slot->residents.end(),
                      [](const auto& other) { return other.stopping; }));
  }
  auto& initial = initial_[leaving.name];
  initial = std::max(initial, attempts);
  const auto share = static_cast<size_t>(
      std::ceil(options_.departure_share * static_cast<double>(initial)));
  const size_t most = std::max<size_t>(share, options_.departure_minimum);
  size_t limit = most > stopping ? most - stopping : 0;
  if (limit > 0 && StopBatch(leaving, limit, draft)) {
    StopReplicas(leaving, limit, draft);
  }
}

millis departure::Remaining(const resident& target,
                            const plan_draft& draft) const {
  const auto* job = draft.state().FindJob(target.attempt.task.job);
  return job == nullptr
             ? millis(0)
             : demand_.ExpectedRun(target.klass, job->spec.expected_run) -
                   target.work_done;
}

bool departure::StopBatch(const group& leaving,
                          size_t& limit,
                          plan_draft& draft) {
  struct victim {
    vm_slot* slot;
    resident* target;
    millis remaining;
  };
  std::vector<victim> victims;
  bool none = true;
  for (auto* slot : leaving.slots) {
    for (auto& other : slot->residents) {
      none = none && other.priority == state::band::kService;
      if (!other.stopping && other.priority != state::band::kService) {
        victims.push_back({slot, &other, Remaining(other, draft)});
      }
    }
  }
  const auto first = [](const victim& a, const victim& b) {
    return a.target->priority != b.target->priority
               ? a.target->priority > b.target->priority
               : a.remaining > b.remaining;
  };
  std::stable_sort(victims.begin(), victims.end(), first);
  for (const auto& [slot, target, remaining] : victims) {
    if (limit == 0) {
      break;
    }
    limit -= draft.Stop(*slot, *target, leaving.why) ? 1 : 0;
  }
  return none;
}

void departure::StopReplicas(const group& leaving,
                             size_t limit,
                             plan_draft& draft) {
  std::set<std::string> moved;
  for (auto* slot : leaving.slots) {
    for (auto& replica : slot->residents) {
      const auto& name = replica.attempt.task.job;
      if (limit == 0 || replica.stopping ||
          replica.priority != state::band::kService || moved.contains(name)) {
        continue;
      }
      const auto* job = draft.state().FindJob(name);
      if (job == nullptr || !OthersRun(*job, draft)) {
        continue;
      }
      moved.insert(name);
      if (ReplacementReady(replica, *job, draft) &&
          draft.Stop(*slot, replica, leaving.why)) {
        --limit;
      }
    }
  }
}

bool departure::OthersRun(const state::job& job,
                          const plan_draft& draft) const {
  return std::all_of(job.tasks.begin(), job.tasks.end(), [&](const auto& task) {
    // A task that has been pending for long cannot be placed, and waiting for
    // it would keep the data centre from emptying.
    return task.phase == state::task_phase::kRunning ||
           !(state::HoldsVm(task.phase) ||
             task.phase == state::task_phase::kPending) ||
           (task.phase == state::task_phase::kPending &&
            draft.now() - starts_.PendingSince(job.spec.name) >= kGiveUpAfter);
  });
}

bool departure::ReplacementReady(const resident& replica,
                                 const state::job& job,
                                 plan_draft& draft) {
  const auto& id = replica.attempt.task;
  if (const auto* held = holds_.Find(id); held != nullptr) {
    const auto* slot = index_.Find(held->vm);
    if (!FitsWithin(slot->committed + held->amount, slot->capacity)) {
      return false;
    }
    auto again = *held;
    again.until = draft.now() + options_.hold_time;
    holds_.Put(id, again, index_);
    return true;
  }
  const auto request = starts_.Request(job, id.index);
  if (const auto choice = places_.Choose(request, draft.now());
      choice.slot != nullptr) {
    holds_.Put(id,
               {.vm = choice.slot->name,
                .amount = job.spec.per_task,
                .until = draft.now() + options_.hold_time,
                .moving = true},
               index_);
    return true;
  }
  if (evictions_.MakeRoom(request, id, true, draft)) {
    return false;
  }
  return GaveUp(id, draft);
}

bool departure::GaveUp(const state::task_id& task, const plan_draft& draft) {
  const auto since =
      unplaced_since_.try_emplace(task, draft.now()).first->second;
  return draft.now() - since >= kGiveUpAfter;
}

}  // namespace chiveglade::sched
