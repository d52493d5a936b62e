#include "src/sched/backfill.h"

#include <algorithm>
#include <vector>

namespace chiveglade::sched {
namespace {

// A task is large if it needs at least 1/kLargeTaskDivisor of any resource of
// the largest VM. Smaller tasks find room without a reservation.
constexpr int64_t kLargeTaskDivisor = 4;
// A task that found no room is forgotten if it is not tried again for this
// long.
constexpr millis kWaitingTaskTimeout{10'000};

// The search visits every VM, and little changes between two plans.
constexpr millis kSearchInterval{1'000};

}  // namespace

bool backfill::IsLarge(const state::job_spec& spec) const {
  const auto& amount = spec.per_task;
  const auto& largest = index_.largest();
  return spec.priority != state::band::kIdle &&
         (amount.millicores * kLargeTaskDivisor >= largest.millicores ||
          amount.memory_mib * kLargeTaskDivisor >= largest.memory_mib ||
          (amount.accelerators > 0 &&
           amount.accelerators * kLargeTaskDivisor >= largest.accelerators));
}

void backfill::Begin(plan_draft& draft) {
  if (!reservation_) {
    return;
  }
  auto* slot = index_.Find(reservation_->vm);
  const auto* job = draft.state().FindJob(reservation_->task.job);
  if (slot == nullptr || !slot->startable || job == nullptr || job->cancelled ||
      !job->parked_reason.empty() || !draft.CanStart(reservation_->task)) {
    reservation_.reset();
    return;
  }
  slot->reserved = true;
  if (starter_.StartOn(*slot, *job, reservation_->task.index, draft)) {
    slot->reserved = false;
    reservation_.reset();
    return;
  }
  // A reservation evicts idle work only, whatever the band of the task.
  const auto victims = preemption::ChooseVictims(
      *slot, job->spec.per_task, job->spec.per_task, state::band::kNormal);
  if (victims) {
    for (auto* victim : *victims) {
      draft.Stop(*slot, *victim, "reserved");
    }
  }
}

void backfill::End(plan_draft& draft) {
  for (const auto& [job, index] : starter_.tasks_without_room()) {
    if (IsLarge(job->spec)) {
      const state::task_id id{job->spec.name, index};
      waiting_.try_emplace(id, waiting_task{draft.now(), draft.now()})
          .first->second.last_tried = draft.now();
    }
  }
  std::erase_if(waiting_, [&](const auto& entry) {
    return !draft.CanStart(entry.first) ||
           draft.now() - entry.second.last_tried > kWaitingTaskTimeout;
  });
  if (reservation_ || waiting_.empty() ||
      draft.now() - last_search_ < kSearchInterval) {
    return;
  }
  const auto oldest = std::min_element(waiting_.begin(), waiting_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.since < b.second.since;
                                       });
  if (draft.now() - oldest->second.since < options_.reservation_delay) {
    return;
  }
  last_search_ = draft.now();
  const auto& id = oldest->first;
  const auto* job = draft.state().FindJob(id.job);
  if (auto* slot = EarliestFreeVm(*job, id.index, draft); slot != nullptr) {
    reservation_ = {id, slot->name};
  }
}

vm_slot* backfill::EarliestFreeVm(const state::job& job,
                                  uint32_t index,
                                  plan_draft& draft) {
  const auto request = starter_.MakeRequest(job, index);
  vm_slot* earliest = nullptr;
  millis earliest_wait{0};
  for (auto& slot : index_.slots()) {
    obstacle why = obstacle::kNone;
    if (!FitsWithin(job.spec.per_task, slot.capacity) ||
        !placement_.MeetsConstraints(request, slot, draft.now(), why)) {
      continue;
    }
    const auto wait = TimeUntilRoom(slot, job.spec, draft);
    if (wait && (earliest == nullptr || *wait < earliest_wait)) {
      earliest = &slot;
      earliest_wait = *wait;
    }
  }
  return earliest;
}

std::optional<millis> backfill::TimeUntilRoom(const vm_slot& slot,
                                              const state::job_spec& spec,
                                              const plan_draft& draft) const {
  struct completion {
    millis remaining;
    resources amount;
  };
  std::vector<completion> completions;
  resources free = slot.capacity - slot.committed - slot.held;
  for (const auto& other : slot.residents) {
    if (other.priority == state::band::kIdle || other.stopping) {
      free += other.declared;
    } else if (other.priority != state::band::kService) {
      const auto* job = draft.state().FindJob(other.attempt.task.job);
      const auto run =
          job == nullptr
              ? millis(0)
              : demand_.ExpectedRunTime(other.klass, job->spec.expected_run);
      completions.push_back(
          {std::max(millis(0), run - other.work_done), other.declared});
    }
  }
  std::sort(
      completions.begin(), completions.end(),
      [](const auto& a, const auto& b) { return a.remaining < b.remaining; });
  millis wait{0};
  for (const auto& [remaining, amount] : completions) {
    if (FitsWithin(spec.per_task, free)) {
      break;
    }
    free += amount;
    wait = remaining;
  }
  return FitsWithin(spec.per_task, free) ? std::optional(wait) : std::nullopt;
}

}  // namespace chiveglade::sched
