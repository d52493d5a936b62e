// The parts of a round that execute operators' commands and apply the manifest.
#include <algorithm>

#include "decision.h"

namespace chiveglade::authority {

namespace {

constexpr char kServicePrefix[] = "service:";

reason Rejected(const std::string& detail) {
  return {"rejected", detail};
}

}  // namespace

void decision::ExecuteCommands() {
  for (const auto& row : in_.control.commands()) {
    ExecuteRow(row);
  }
}

void decision::ExecuteRow(const store::row& row) {
  const std::string id = row.key.substr(sizeof(kCommandPrefix) - 1);
  if (state_.commands().contains(id)) {
    // A delayed copy of the write recreated the row after it was executed.
    batch.executed_commands.push_back(row.key);
    return;
  }
  const auto order = ReadCommand(id, row.value);
  if (!order && order.last_reason().code == "newer_format") {
    return;  // Left for a scheduler that reads the newer format.
  }
  const auto outcome =
      order ? Execute(*order) : result<done>(order.last_reason());
  (void)Add(state::command_done{
      id, outcome.has_value(),
      outcome ? std::string() : outcome.last_reason().detail});
  batch.executed_commands.push_back(row.key);
}

result<done> decision::Execute(const command& order) {
  switch (order.kind) {
    case command_kind::kJobSubmit:
      return Submit(order);
    case command_kind::kJobCancel:
      return Cancel(order);
    case command_kind::kWorkerDrain:
      return Add(state::vm_drained{order.subject, true});
    case command_kind::kWorkerUndrain:
      return Add(state::vm_drained{order.subject, false});
    case command_kind::kWorkerGone:
      return RemoveGoneVm(order);
  }
  return Rejected("unknown command");
}

result<done> decision::Submit(const command& order) {
  if (order.job.priority == state::band::kService ||
      order.job.name.starts_with(kServicePrefix)) {
    return Rejected("services are declared in the manifest");
  }
  return Add(state::job_submitted{order.job});
}

result<done> decision::Cancel(const command& order) {
  if (order.subject.starts_with(kServicePrefix)) {
    return Rejected("services are removed through the manifest");
  }
  if (!state_.FindJob(order.subject) && state_.NameTaken(order.subject)) {
    return Rejected("job " + order.subject + " has ended");
  }
  return Add(state::job_cancelled{order.subject});
}

result<done> decision::RemoveGoneVm(const command& order) {
  const state::vm* host = state_.FindVm(order.subject);
  if (!host) {
    return Rejected("there is no VM " + order.subject);
  }
  if (order.incarnation != 0 && order.incarnation != host->id.incarnation) {
    return Rejected("VM " + order.subject + " has another incarnation now");
  }
  const state::vm_id id = host->id;
  EndAttemptsOn(id, "an operator declared the VM gone");
  return Add(state::vm_left{id});
}

void decision::SyncService(const config::manifest& manifest,
                           const config::service_spec& service) {
  const auto spec = config::ServiceJob(manifest, service);
  const state::job* at = state_.FindJob(spec.name);
  if (!at) {
    (void)Add(state::job_submitted{spec});
  } else if (at->spec.tasks != spec.tasks) {
    (void)Add(state::job_resized{spec.name, spec.tasks});
  }
}

bool decision::SyncManifest(const config::manifest& manifest) {
  for (const auto& service : manifest.services) {
    SyncService(manifest, service);
  }
  std::vector<std::string> removed;
  for (auto at = state_.jobs().lower_bound(kServicePrefix);
       at != state_.jobs().end() && at->first.starts_with(kServicePrefix);
       ++at) {
    const auto name = at->first.substr(sizeof(kServicePrefix) - 1);
    if (at->second.spec.tasks != 0 && !FindService(manifest, name)) {
      removed.push_back(at->first);
    }
  }
  // The job stays with zero tasks, so that attempt numbers continue if the
  // service is declared again.
  for (const auto& name : removed) {
    (void)Add(state::job_resized{name, 0});
  }
  for (const auto& job : manifest.jobs) {
    if (state_.NameTaken(job.name)) {
      continue;
    }
    if (batch.events.size() >= kMaxEventsPerAppend) {
      return false;
    }
    (void)Add(state::job_submitted{job});
  }
  return true;
}

}  // namespace chiveglade::authority
