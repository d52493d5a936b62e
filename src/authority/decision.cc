#include "decision.h"

#include <algorithm>
#include <vector>

namespace chiveglade::authority {

namespace {

// Returns the attempts that the state has on a VM.
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
    ++rejected_events;
  }
  return applied;
}

void decision::EndAttempt(const state::attempt_id& attempt,
                          state::attempt_end how,
                          const std::string& detail) {
  if (how == state::attempt_end::kLost) {
    vms_with_lost_attempts.insert(state_.FindTask(attempt.task)->vm.name);
  }
  (void)Add(state::attempt_ended{attempt, how, "", millis(0), detail});
}

void decision::EndAttemptsOn(const state::vm_id& id, const std::string& why) {
  for (const auto& attempt : AttemptsOn(state_, *state_.FindVm(id.name))) {
    EndAttempt(attempt, state::attempt_end::kLost, why);
  }
}

void decision::ApplyHeartbeats(const std::set<state::vm_id>& updated) {
  for (const auto& id : updated) {
    if (vm_view* view = in_.views.Find(id)) {
      ApplyView(id, *view);
    }
  }
}

void decision::ApplyView(const state::vm_id& id, vm_view& view) {
  if (state_.IsPast(id)) {
    return;
  }
  const state::vm* host = state_.FindVm(id.name);
  if ((!host || host->id != id) && !JoinVm(id, view)) {
    return;
  }
  if (!view.latest.partial) {
    ApplyReports(*state_.FindVm(id.name), view);
  }
}

// Incarnation numbers are not ordered, and a message of an older incarnation
// may arrive late. A heartbeat proves that its sender is alive, and hence newer
// than the joined incarnation, if it was made after an answer of this epoch to
// a message that was itself received while that incarnation was joined.
bool decision::IsProvenNewer(const vm_view& view) const {
  return view.latest.answered_epoch == in_.epoch &&
         view.latest.answered_tick >= view.first_tick;
}

bool decision::JoinVm(const state::vm_id& id, const vm_view& view) {
  if (joined_vms_.contains(id.name)) {
    return false;
  }
  if (const state::vm* host = state_.FindVm(id.name)) {
    // A partial heartbeat omits ends, so it does not show which attempts of the
    // older incarnation have ended.
    if (!IsProvenNewer(view) || (view.latest.partial && !host->tasks.empty())) {
      return false;
    }
    ApplyEnds(host->id, view.latest);
    EndAttemptsOn(host->id, "the VM was replaced or restarted");
  }
  joined_vms_.insert(id.name);
  return Add(state::vm_joined{id, view.latest.data_centre, view.latest.rack,
                              view.latest.capacity})
      .has_value();
}

void decision::ApplyEnds(const state::vm_id& host,
                         const state::heartbeat& message) {
  for (const auto& report : message.ends) {
    const state::task* at = state_.FindTask(report.end.attempt.task);
    if (at && at->attempt == report.end.attempt.number && at->vm == host) {
      (void)Add(report.end);
    }
  }
}

void decision::ApplyReports(const state::vm& host, vm_view& view) {
  std::set<state::attempt_id> shown;
  for (const auto& report : view.latest.ends) {
    shown.insert(report.end.attempt);
  }
  ApplyEnds(host.id, view.latest);
  for (const auto& report : view.latest.attempts) {
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
      CheckMissing(attempt, view);
    }
  }
}

void decision::CheckMissing(const state::attempt_id& attempt, vm_view& view) {
  if (!view.first_tick_of_epoch || view.latest.answered_epoch != in_.epoch) {
    return;
  }
  const int64_t tick = view.latest.tick;
  if (state_.FindTask(attempt.task)->phase == state::task_phase::kStarting) {
    // A previous scheduler's start order carries a tick no later than the first
    // heartbeat made after an answer of this epoch.
    const auto order = in_.start_ticks.find(attempt);
    const int64_t start = order == in_.start_ticks.end()
                              ? *view.first_tick_of_epoch
                              : order->second;
    if (tick >= start + (state::kStartValidity + kStartReportMargin).count()) {
      EndAttempt(attempt, state::attempt_end::kNotRun,
                 "the start order expired");
    }
    return;
  }
  const auto since = view.missing_since.emplace(attempt, tick).first->second;
  if (tick >= since + kMissingAttemptTimeout.count()) {
    EndAttempt(attempt, state::attempt_end::kLost,
               "the VM no longer reports the attempt");
    view.missing_since.erase(attempt);
  }
}

bool decision::IsSilent(const state::vm_id& id) const {
  const vm_view* view = in_.views.Find(id);
  return !view || in_.now >= view->last_heartbeat_at + in_.heartbeat_timeout;
}

void decision::ExpireLeases() {
  std::vector<state::attempt_id> expired;
  for (const auto& [name, host] : state_.vms()) {
    // A VM that still sends heartbeats reports ended attempts itself.
    if (host.tasks.empty() || !IsSilent(host.id)) {
      continue;
    }
    const vm_view* view = in_.views.Find(host.id);
    const boot_time base = view ? std::max(view->lease_base, in_.holding_since)
                                : in_.holding_since;
    for (const auto& attempt : AttemptsOn(state_, host)) {
      const auto& spec = state_.FindJob(attempt.task.job)->spec;
      if (in_.now > base + WithClockMargin(spec.run_lease)) {
        expired.push_back(attempt);
      }
    }
  }
  for (const auto& attempt : expired) {
    EndAttempt(attempt, state::attempt_end::kLost, "the run lease expired");
  }
}

bool decision::MayGrant(const state::attempt_granted& grant) {
  const state::vm* host = state_.FindVm(grant.vm.name);
  return host && host->id == grant.vm && !IsSilent(grant.vm) &&
         in_.control.data_centres_known() &&
         !in_.control.IsOutOfService(host->data_centre) &&
         !state_.drained().contains(grant.vm.name);
}

void decision::ApplyPlan(const sched::plan& plan) {
  for (const auto& change : plan.events) {
    const auto* grant = std::get_if<state::attempt_granted>(&change);
    if (grant && !MayGrant(*grant)) {
      ++rejected_events;
      continue;
    }
    if (!Add(change) || !grant) {
      continue;
    }
    const auto& data_centre = state_.FindVm(grant->vm.name)->data_centre;
    order_ticks[grant->attempt] = in_.views.Find(grant->vm)->latest.tick;
    if (start_data_centres_.insert(data_centre).second) {
      batch.conditions.push_back(
          {kDataCentrePrefix + data_centre, in_.control.Version(data_centre)});
    }
  }
}

}  // namespace chiveglade::authority
