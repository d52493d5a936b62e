#include "src/sched/starter.h"

#include <functional>

namespace chiveglade::sched {
namespace {

// True if the spread over racks and data centres matters for the job.
bool NeedsSpread(const state::job_spec& spec) {
  return spec.tasks > 1 &&
         (spec.max_per_rack > 0 || spec.priority == state::band::kService);
}

}  // namespace

void starter::Begin() {
  spreads_.clear();
  failed_.assign(with_.order.shapes(), obstacle::kNone);
  without_room_.clear();
}

void starter::Run(plan_draft& draft) {
  StartHeld(draft);
  StartProbes(draft);
  for (const auto priority : {state::band::kService, state::band::kUrgent,
                              state::band::kNormal, state::band::kIdle}) {
    RunBand(priority, draft);
  }
}

void starter::StartHeld(plan_draft& draft) {
  std::vector<state::task_id> ready;
  for (const auto& [id, what] : with_.holds.all()) {
    const auto* slot = with_.index.Find(what.vm);
    if (slot != nullptr && draft.CanStart(id) &&
        FitsWithin(slot->committed + what.amount, slot->capacity)) {
      ready.push_back(id);
    }
  }
  for (const auto& id : ready) {
    const auto* job = draft.state().FindJob(id.job);
    const auto what = *with_.holds.Find(id);
    auto* slot = with_.index.Find(what.vm);
    with_.holds.Erase(id, with_.index);
    if (job == nullptr || !StartOn(*slot, *job, id.index, draft)) {
      with_.holds.Put(id, what, with_.index);
    }
  }
}

void starter::StartProbes(plan_draft& draft) {
  for (const auto& name : with_.health.DueProbes(draft, with_.index)) {
    auto* slot = with_.index.Find(name);
    for (const auto& waiting : with_.order.all()) {
      const auto priority = waiting.job->spec.priority;
      if ((priority == state::band::kNormal ||
           priority == state::band::kIdle) &&
          StartOn(*slot, *waiting.job, *waiting.tasks->begin(), draft)) {
        with_.health.Probed(name, draft);
        break;
      }
    }
  }
}

bool starter::StartOn(vm_slot& slot,
                      const state::job& job,
                      uint32_t index,
                      plan_draft& draft) {
  auto request = Request(job, index);
  const bool reserved = std::exchange(slot.reserved, false);
  const bool startable =
      std::exchange(slot.startable, slot.startable || slot.probeable);
  obstacle why = obstacle::kNone;
  const bool allowed =
      !job.cancelled && job.parked_reason.empty() &&
      draft.CanStart({job.spec.name, index}) &&
      FitsWithin(slot.committed + job.spec.per_task, slot.capacity) &&
      with_.pacer.Allows(draft.now()) &&
      with_.places.Permits(request, slot, draft.now(), why) &&
      with_.quotas.Allows(job.spec.tenant, job.spec.per_task);
  slot.reserved = reserved;
  slot.startable = startable;
  if (allowed) {
    Grant(slot, job, index, draft);
  }
  return allowed;
}

void starter::RunBand(state::band priority, plan_draft& draft) {
  std::unordered_map<const state::job*, std::set<uint32_t>::const_iterator> at;
  while (with_.pacer.Allows(draft.now())) {
    const auto* offered = with_.order.Next(priority, with_.quotas);
    if (offered == nullptr) {
      return;
    }
    auto& position =
        at.emplace(offered->job, offered->tasks->begin()).first->second;
    if (position == offered->tasks->end()) {
      with_.order.Drop(priority);
      continue;
    }
    const uint32_t index = *position++;
    switch (TryTask(*offered, index, draft)) {
      case outcome::kStarted:
        with_.order.Charge(priority, with_.quotas);
        break;
      case outcome::kSkipTask:
        break;
      case outcome::kSkipJob:
        with_.order.Drop(priority);
        break;
    }
  }
}

starter::outcome starter::TryTask(const pending_job& offered,
                                  uint32_t index,
                                  plan_draft& draft) {
  const auto& job = *offered.job;
  // A search that failed without limits of the job's own fails with them.
  if (failed_[offered.shape] != obstacle::kNone) {
    draft.Explain(job.spec.name, ToString(failed_[offered.shape]));
    return outcome::kSkipJob;
  }
  const state::task_id id{job.spec.name, index};
  if (!draft.CanStart(id) || with_.holds.Find(id) != nullptr) {
    return outcome::kSkipTask;
  }
  if (!QuotaAllows(job, draft)) {
    return outcome::kSkipJob;
  }
  const auto request = Request(job, index);
  const bool no_limits = request.spread == nullptr &&
                         request.failed_on == nullptr &&
                         job.spec.max_per_vm == 0;
  const auto choice = with_.places.Choose(request, draft.now());
  if (choice.slot != nullptr) {
    Grant(*choice.slot, job, index, draft);
    return outcome::kStarted;
  }
  if (job.spec.priority != state::band::kIdle &&
      with_.evictions.MakeRoom(request, id, false, draft)) {
    draft.Explain(job.spec.name, "waiting_for_evictions");
    return outcome::kSkipTask;
  }
  if (choice.why == obstacle::kNoRoom) {
    without_room_.push_back({&job, index});
  }
  if (no_limits) {
    failed_[offered.shape] = choice.why;
  }
  draft.Explain(job.spec.name, ToString(choice.why));
  return request.failed_on != nullptr ? outcome::kSkipTask : outcome::kSkipJob;
}

bool starter::QuotaAllows(const state::job& job, plan_draft& draft) {
  if (!with_.quotas.Knows(job.spec.tenant)) {
    draft.Explain(job.spec.name, "unknown_tenant");
    return false;
  }
  if (!with_.quotas.Allows(job.spec.tenant, job.spec.per_task)) {
    draft.Explain(job.spec.name, "quota");
    return false;
  }
  return true;
}

placement_request starter::Request(const state::job& job, uint32_t index) {
  const auto& spec = job.spec;
  placement_request request{
      .spec = &spec,
      .job_hash = std::hash<std::string>{}(spec.name),
      .klass = with_.classes.Index(spec.klass),
      .failed_on = with_.health.FailedOn({spec.name, index})};
  // With failures on every VM there is no other left to prefer.
  if (request.failed_on != nullptr &&
      request.failed_on->size() >= with_.index.slots().size()) {
    request.failed_on = nullptr;
  }
  request.expected = with_.demand.Expected(request.klass, spec.per_task,
                                           with_.index.largest());
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
                 .klass = with_.classes.Index(spec.klass),
                 .priority = spec.priority,
                 .declared = spec.per_task,
                 .work_done = job.tasks[index].work_done,
                 .checkpointed = job.tasks[index].work_done,
                 .first_seen = draft.now(),
                 .evictions = job.tasks[index].evictions};
  added.expected =
      with_.demand.Expected(added.klass, added.declared, slot.capacity);
  added.loss_share = with_.demand.ExpectedLoss(added.klass);
  if (NeedsSpread(spec)) {
    auto& spread = SpreadOf(job);
    ++spread.racks[slot.rack];
    ++spread.data_centres[slot.data_centre];
  }
  with_.quotas.Add(spec.tenant, spec.per_task);
  with_.pacer.Started(slot.name, draft.now());
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
    if (const auto* slot = with_.index.Find(task.vm.name); slot != nullptr) {
      ++it->second.racks[slot->rack];
      ++it->second.data_centres[slot->data_centre];
    }
  }
  return it->second;
}

}  // namespace chiveglade::sched
