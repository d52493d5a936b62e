#include "src/sched/backfill.h"

#include <algorithm>
#include <vector>

namespace chiveglade::sched {
namespace {

// A task that needs at least this part of the largest VM is large: smaller
// ones find gaps soon enough.
constexpr int64_t kLargePart = 4;
// A task that was not tried for this long no longer counts as waiting.
constexpr millis kForgetAfter{10'000};

// The search looks at every VM, and little changes between two plans.
constexpr millis kSearchEvery{1'000};

}  // namespace

bool backfill::Large(const state::job_spec& spec) const {
  const auto& amount = spec.per_task;
  const auto& most = index_.largest();
  return spec.priority != state::band::kIdle &&
         (amount.millicores * kLargePart >= most.millicores ||
          amount.memory_mib * kLargePart >= most.memory_mib ||
          (amount.accelerators > 0 &&
           amount.accelerators * kLargePart >= most.accelerators));
}

void backfill::Begin(plan_draft& draft) {
  if (!reserved_) {
    return;
  }
  auto* slot = index_.Find(reserved_->vm);
  const auto* job = draft.state().FindJob(reserved_->task.job);
  if (slot == nullptr || !slot->startable || job == nullptr || job->cancelled ||
      !job->parked_reason.empty() || !draft.CanStart(reserved_->task)) {
    reserved_.reset();
    return;
  }
  slot->reserved = true;
  if (starts_.StartOn(*slot, *job, reserved_->task.index, draft)) {
    slot->reserved = false;
    reserved_.reset();
    return;
  }
  // Normal work evicts idle work only, whatever band the task has.
  const auto victims = preemption::Victims(
      *slot, job->spec.per_task, job->spec.per_task, state::band::kNormal);
  if (victims) {
    for (auto* victim : *victims) {
      draft.Stop(*slot, *victim, "reserved");
    }
  }
}

void backfill::End(plan_draft& draft) {
  for (const auto& [job, index] : starts_.without_room()) {
    if (Large(job->spec)) {
      const state::task_id id{job->spec.name, index};
      waiting_.try_emplace(id, waiting{draft.now(), draft.now()})
          .first->second.seen = draft.now();
    }
  }
  std::erase_if(waiting_, [&](const auto& entry) {
    return !draft.CanStart(entry.first) ||
           draft.now() - entry.second.seen > kForgetAfter;
  });
  if (reserved_ || waiting_.empty() || draft.now() - searched_ < kSearchEvery) {
    return;
  }
  const auto oldest = std::min_element(waiting_.begin(), waiting_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.since < b.second.since;
                                       });
  if (draft.now() - oldest->second.since < options_.backfill_after) {
    return;
  }
  searched_ = draft.now();
  const auto& id = oldest->first;
  const auto* job = draft.state().FindJob(id.job);
  if (auto* slot = SoonestFree(*job, id.index, draft); slot != nullptr) {
    reserved_ = {id, slot->name};
  }
}

vm_slot* backfill::SoonestFree(const state::job& job,
                               uint32_t index,
                               plan_draft& draft) {
  const auto request = starts_.Request(job, index);
  vm_slot* soonest = nullptr;
  millis soonest_wait{0};
  for (auto& slot : index_.slots()) {
    obstacle why = obstacle::kNone;
    if (!FitsWithin(job.spec.per_task, slot.capacity) ||
        !places_.Permits(request, slot, draft.now(), why)) {
      continue;
    }
    const auto wait = FreeAfter(slot, job.spec, draft);
    if (wait && (soonest == nullptr || *wait < soonest_wait)) {
      soonest = &slot;
      soonest_wait = *wait;
    }
  }
  return soonest;
}

std::optional<millis> backfill::FreeAfter(const vm_slot& slot,
                                          const state::job_spec& spec,
                                          const plan_draft& draft) const {
  struct ending {
    millis remaining;
    resources amount;
  };
  std::vector<ending> endings;
  resources free = slot.capacity - slot.committed - slot.held;
  for (const auto& other : slot.residents) {
    if (other.priority == state::band::kIdle || other.stopping) {
      free += other.declared;
    } else if (other.priority != state::band::kService) {
      const auto* job = draft.state().FindJob(other.attempt.task.job);
      const auto run =
          job == nullptr
              ? millis(0)
              : demand_.ExpectedRun(other.klass, job->spec.expected_run);
      endings.push_back(
          {std::max(millis(0), run - other.work_done), other.declared});
    }
  }
  std::sort(endings.begin(), endings.end(), [](const auto& a, const auto& b) {
    return a.remaining < b.remaining;
  });
  millis wait{0};
  for (const auto& [remaining, amount] : endings) {
    if (FitsWithin(spec.per_task, free)) {
      break;
    }
    free += amount;
    wait = remaining;
  }
  return FitsWithin(spec.per_task, free) ? std::optional(wait) : std::nullopt;
}

}  // namespace chiveglade::sched
