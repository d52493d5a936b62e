#include "src/sched/starter.h"

#include <functional>

namespace chiveglade::sched {
namespace {

// Returns true if the tasks of the job are to spread over racks and data
// centres.
bool NeedsSpread(const state::job_spec& spec) {
  return spec.tasks > 1 &&
         (spec.max_per_rack > 0 || spec.priority == state::band::kService);
}

}  // namespace

void starter::BeginPlan() {
  spreads_.clear();
  failed_searches_.assign(deps_.order.equivalence_classes(), obstacle::kNone);
  tasks_without_room_.clear();
}

void starter::Run(plan_draft& draft) {
  StartHeld(draft);
  StartProbes(draft);
  for (const auto priority : {state::band::kService, state::band::kUrgent,
                              state::band::kNormal, state::band::kIdle}) {
    StartBand(priority, draft);
  }
}

void starter::StartHeld(plan_draft& draft) {
  std::vector<state::task_id> ready;
  for (const auto& [id, room_hold] : deps_.holds.all()) {
    const auto* slot = deps_.index.Find(room_hold.vm);
    if (slot != nullptr && draft.CanStart(id) &&
        FitsWithin(slot->committed + room_hold.amount, slot->capacity)) {
      ready.push_back(id);
    }
  }
  for (const auto& id : ready) {
    const auto* job = draft.state().FindJob(id.job);
    const auto room_hold = *deps_.holds.Find(id);
    auto* slot = deps_.index.Find(room_hold.vm);
    deps_.holds.Erase(id, deps_.index);
    if (job == nullptr || !StartOn(*slot, *job, id.index, draft)) {
      deps_.holds.Put(id, room_hold, deps_.index);
    }
  }
}

void starter::StartProbes(plan_draft& draft) {
  for (const auto& name : deps_.health.DueProbes(draft, deps_.index)) {
    auto* slot = deps_.index.Find(name);
    for (const auto& waiting : deps_.order.pending_jobs()) {
      const auto priority = waiting.job->spec.priority;
      if ((priority == state::band::kNormal ||
           priority == state::band::kIdle) &&
          StartOn(*slot, *waiting.job, *waiting.tasks->begin(), draft)) {
        deps_.health.RecordProbe(name, draft);
        break;
      }
    }
  }
}

bool starter::StartOn(vm_slot& slot,
                      const state::job& job,
                      uint32_t index,
                      plan_draft& draft) {
  auto request = MakeRequest(job, index);
  const bool reserved = std::exchange(slot.reserved, false);
  const bool startable =
      std::exchange(slot.startable, slot.startable || slot.probeable);
  obstacle why = obstacle::kNone;
  const bool allowed =
      !job.cancelled && job.parked_reason.empty() &&
      draft.CanStart({job.spec.name, index}) &&
      FitsWithin(slot.committed + job.spec.per_task, slot.capacity) &&
      deps_.pacer.Allows(draft.now()) &&
      deps_.places.MeetsConstraints(request, slot, draft.now(), why) &&
      deps_.quotas.Allows(job.spec.tenant, job.spec.per_task);
  slot.reserved = reserved;
  slot.startable = startable;
  if (allowed) {
    Grant(slot, job, index, draft);
  }
  return allowed;
}

void starter::StartBand(state::band priority, plan_draft& draft) {
  std::unordered_map<const state::job*, std::set<uint32_t>::const_iterator>
      next_tasks;
  while (deps_.pacer.Allows(draft.now())) {
    const auto* offered = deps_.order.Next(priority, deps_.quotas);
    if (offered == nullptr) {
      return;
    }
    auto& position =
        next_tasks.emplace(offered->job, offered->tasks->begin()).first->second;
    if (position == offered->tasks->end()) {
      deps_.order.RemoveOffered(priority);
      continue;
    }
    const uint32_t index = *position++;
    switch (TryStart(*offered, index, draft)) {
      case outcome::kStarted:
        deps_.order.UpdateShare(priority, deps_.quotas);
        break;
      case outcome::kSkipTask:
        break;
      case outcome::kSkipJob:
        deps_.order.RemoveOffered(priority);
        break;
    }
  }
}

starter::outcome starter::TryStart(const pending_job& offered,
                                   uint32_t index,
                                   plan_draft& draft) {
  const auto& job = *offered.job;
  // A search that failed without limits specific to one job also fails with
  // them.
  if (failed_searches_[offered.equivalence_class] != obstacle::kNone) {
    draft.Explain(job.spec.name,
                  ToString(failed_searches_[offered.equivalence_class]));
    return outcome::kSkipJob;
  }
  const state::task_id id{job.spec.name, index};
  if (!draft.CanStart(id) || deps_.holds.Find(id) != nullptr) {
    return outcome::kSkipTask;
  }
  if (!QuotaAllows(job, draft)) {
    return outcome::kSkipJob;
  }
  const auto request = MakeRequest(job, index);
  const bool unconstrained = request.spread == nullptr &&
                             request.failed_on == nullptr &&
                             job.spec.max_per_vm == 0;
  const auto choice = deps_.places.Choose(request, draft.now());
  if (choice.slot != nullptr) {
    Grant(*choice.slot, job, index, draft);
    return outcome::kStarted;
  }
  if (job.spec.priority != state::band::kIdle &&
      deps_.evictions.MakeRoom(request, id, false, draft)) {
    draft.Explain(job.spec.name, "waiting_for_evictions");
    return outcome::kSkipTask;
  }
  if (choice.why == obstacle::kNoRoom) {
    tasks_without_room_.push_back({&job, index});
  }
  if (unconstrained) {
    failed_searches_[offered.equivalence_class] = choice.why;
  }
  draft.Explain(job.spec.name, ToString(choice.why));
  return request.failed_on != nullptr ? outcome::kSkipTask : outcome::kSkipJob;
}

bool starter::QuotaAllows(const state::job& job, plan_draft& draft) {
  if (!deps_.quotas.IsDeclared(job.spec.tenant)) {
    draft.Explain(job.spec.name, "unknown_tenant");
    return false;
  }
  if (!deps_.quotas.Allows(job.spec.tenant, job.spec.per_task)) {
    draft.Explain(job.spec.name, "quota");
    return false;
  }
  return true;
}

placement_request starter::MakeRequest(const state::job& job, uint32_t index) {
  const auto& spec = job.spec;
  placement_request request{
      .spec = &spec,
      .job_hash = std::hash<std::string>{}(spec.name),
      .klass = deps_.classes.Index(spec.klass),
      .failed_on = deps_.health.FailedOn({spec.name, index})};
  // If the task has failed on every VM, there is none left to prefer.
  if (request.failed_on != nullptr &&
      request.failed_on->size() >= deps_.index.slots().size()) {
    request.failed_on = nullptr;
  }
  request.expected = deps_.demand.ExpectedDemand(request.klass, spec.per_task,
                                                 deps_.index.largest());
  if (NeedsSpread(spec)) {
    request.spread = &SpreadOf(job);
  }
  return request;
}

void starter::Grant(vm_slot& slot,
                    const state::job& job,
                    uint32_t index,
                    plan_draft& draft) {
  const auto& spec = job.spec;
  resident added{.attempt = {{spec.name, index}, job.tasks[index].attempt + 1},
                 .job_hash = std::hash<std::string>{}(spec.name),
                 .klass = deps_.classes.Index(spec.klass),
                 .priority = spec.priority,
                 .declared = spec.per_task,
                 .work_done = job.tasks[index].work_done,
                 .checkpointed = job.tasks[index].work_done,
                 .first_seen = draft.now(),
                 .evictions = job.tasks[index].evictions};
  added.expected =
      deps_.demand.ExpectedDemand(added.klass, added.declared, slot.capacity);
  added.loss_share = deps_.demand.ExpectedLossShare(added.klass);
  if (NeedsSpread(spec)) {
    auto& spread = SpreadOf(job);
    ++spread.racks[slot.rack];
    ++spread.data_centres[slot.data_centre];
  }
  deps_.quotas.Add(spec.tenant, spec.per_task);
  deps_.pacer.RecordStart(slot.name, draft.now());
  draft.Grant(slot, {spec.name, index}, std::move(added));
}

job_spread& starter::SpreadOf(const state::job& job) {
  const auto [it, added] = spreads_.try_emplace(job.spec.name);
  if (!added) {
    return it->second;
  }
  for (const auto& task : job.tasks) {
    if (!state::HoldsVm(task.phase)) {
      continue;
    }
    if (const auto* slot = deps_.index.Find(task.vm.name); slot != nullptr) {
      ++it->second.racks[slot->rack];
      ++it->second.data_centres[slot->data_centre];
    }
  }
  return it->second;
}

}  // namespace chiveglade::sched
