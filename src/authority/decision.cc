#include "decision.h"

#include <algorithm>
#include <vector>

namespace chiveglade::authority {

namespace {

// The live attempts on a VM.
std::vector<state::attempt_id> AttemptsOn(const state::cluster_state& state,
                                          const state::vm& host) {
  std::vector<state::attempt_id> out;
  out.reserve(host.tasks.size());
  for (const auto& id : host.tasks) {
    out.push_back({id, state.FindTask(id)->attempt});
  }
  return out;
}

}  // namespace

result<done> decision::Add(const state::event& change) {
  auto applied = state_.Apply(change);
  if (applied) {
    batch.events.push_back(change);
  } else {
    ++rejected;
  }
  return applied;
}

void decision::End(const state::attempt_id& attempt,
                   state::attempt_end how,
                   const std::string& detail) {
  if (how == state::attempt_end::kLost) {
    lost_on.insert(state_.FindTask(attempt.task)->vm.name);
  }
  (void)Add(state::attempt_ended{attempt, how, "", millis(0), detail});
}

void decision::EndAllOn(const state::vm_id& id, const std::string& why) {
  for (const auto& attempt : AttemptsOn(state_, *state_.FindVm(id.name))) {
    End(attempt, state::attempt_end::kLost, why);
  }
}

void decision::TakeHeartbeats(const std::set<state::vm_id>& dirty) {
  for (const auto& id : dirty) {
    if (vm_view* view = in_.views.Find(id)) {
      TakeView(id, *view);
    }
  }
}

void decision::TakeView(const state::vm_id& id, vm_view& view) {
  if (state_.IsPast(id)) {
    return;
  }
  const state::vm* host = state_.FindVm(id.name);
  if ((!host || host->id != id) && !Join(id, view)) {
    return;
  }
  if (!view.newest.partial) {
    TakeReports(*state_.FindVm(id.name), view);
  }
}

// Incarnations are not ordered, so a message of an older one may arrive last.
// One that was made after an answer to a message received while the present
// incarnation was already known comes from a VM that is alive, and is newer.
bool decision::ProvenNewer(const vm_view& view) const {
  return view.newest.answered_epoch == in_.epoch &&
         view.newest.answered_tick >= view.first_tick;
}

bool decision::Join(const state::vm_id& id, const vm_view& view) {
  if (joined_.contains(id.name)) {
    return false;
  }
  if (const state::vm* host = state_.FindVm(id.name)) {
    // A partial message leaves out ends, so it cannot tell which attempts of
    // the older incarnation had ended before.
    if (!ProvenNewer(view) || (view.newest.partial && !host->tasks.empty())) {
      return false;
    }
    TakeEnds(host->id, view.newest);
    EndAllOn(host->id, "the VM was replaced or restarted");
  }
  joined_.insert(id.name);
  return Add(state::vm_joined{id, view.newest.data_centre, view.newest.rack,
                              view.newest.capacity})
      .has_value();
}

void decision::TakeEnds(const state::vm_id& host,
                        const state::heartbeat& message) {
  for (const auto& report : message.ends) {
    const state::task* at = state_.FindTask(report.end.attempt.task);
    if (at && at->attempt == report.end.attempt.number && at->vm == host) {
      (void)Add(report.end);
    }
  }
}

void decision::TakeReports(const state::vm& host, vm_view& view) {
  std::set<state::attempt_id> shown;
  for (const auto& report : view.newest.ends) {
    shown.insert(report.end.attempt);
  }
  TakeEnds(host.id, view.newest);
  for (const auto& report : view.newest.attempts) {
    shown.insert(report.attempt);
    const state::task* at = state_.FindTask(report.attempt.task);
    if (at && at->attempt == report.attempt.number && at->vm == host.id &&
        at->phase == state::task_phase::kStarting) {
      (void)Add(state::attempt_running{report.attempt});
    }
  }
  for (const auto& attempt : AttemptsOn(state_, host)) {
    if (shown.contains(attempt)) {
      view.missing_since.erase(attempt);
    } else {
      TakeMissing(attempt, view);
    }
  }
}

void decision::TakeMissing(const state::attempt_id& attempt, vm_view& view) {
  if (!view.first_trusted_tick || view.newest.answered_epoch != in_.epoch) {
    return;
  }
  const int64_t tick = view.newest.tick;
  if (state_.FindTask(attempt.task)->phase == state::task_phase::kStarting) {
    // An order of a former scheduler carries no tick after its last append,
    // and so none after the first heartbeat that answers this epoch.
    const auto order = in_.start_ticks.find(attempt);
    const int64_t start = order == in_.start_ticks.end()
                              ? *view.first_trusted_tick
                              : order->second;
    if (tick >= start + (state::kStartValidity + kStartMargin).count()) {
      End(attempt, state::attempt_end::kNotRun, "the start order expired");
    }
    return;
  }
  const auto since = view.missing_since.emplace(attempt, tick).first->second;
  if (tick >= since + kMissingLimit.count()) {
    End(attempt, state::attempt_end::kLost, "the VM does not have it any more");
    view.missing_since.erase(attempt);
  }
}

bool decision::Silent(const state::vm_id& id) const {
  const vm_view* view = in_.views.Find(id);
  return !view || in_.now >= view->heard + in_.silent_after;
}

void decision::ExpireLeases() {
  std::vector<state::attempt_id> expired;
  for (const auto& [name, host] : state_.vms()) {
    // A VM that is heard from tells by itself what has ended.
    if (host.tasks.empty() || !Silent(host.id)) {
      continue;
    }
    const vm_view* view = in_.views.Find(host.id);
    const boot_time base = view ? std::max(view->grant_base, in_.holding_since)
                                : in_.holding_since;
    for (const auto& attempt : AttemptsOn(state_, host)) {
      const auto& spec = state_.FindJob(attempt.task.job)->spec;
      if (in_.now > base + WithClockMargin(spec.run_lease)) {
        expired.push_back(attempt);
      }
    }
  }
  for (const auto& attempt : expired) {
    End(attempt, state::attempt_end::kLost, "the run lease expired");
  }
}

bool decision::MayGrant(const state::attempt_granted& grant) {
  const state::vm* host = state_.FindVm(grant.vm.name);
  return host && host->id == grant.vm && !Silent(grant.vm) &&
         in_.control.data_centres_known() &&
         !in_.control.Out(host->data_centre) &&
         !state_.drained().contains(grant.vm.name);
}

void decision::TakePlan(const sched::plan& plan) {
  for (const auto& change : plan.events) {
    const auto* grant = std::get_if<state::attempt_granted>(&change);
    if (grant && !MayGrant(*grant)) {
      ++rejected;
      continue;
    }
    if (!Add(change) || !grant) {
      continue;
    }
    const auto& data_centre = state_.FindVm(grant->vm.name)->data_centre;
    ticks[grant->attempt] = in_.views.Find(grant->vm)->newest.tick;
    if (data_centres_.insert(data_centre).second) {
      batch.conditions.push_back(
          {kDataCentrePrefix + data_centre, in_.control.Version(data_centre)});
    }
  }
}

}  // namespace chiveglade::authority
