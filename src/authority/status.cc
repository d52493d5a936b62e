// JSON descriptions of the scheduler's state for operators.
#include <nlohmann/json.hpp>

#include "chiveglade/authority/scheduler.h"
#include "chiveglade/state/phase_name.h"
#include "control_rows.h"
#include "vm_views.h"

namespace chiveglade::authority {

namespace {

using nlohmann::json;

// Most waiting jobs listed with their reasons.
constexpr size_t kMaxWaitingListed = 1'000;

json ToJson(const resources& in) {
  return {{"millicores", in.millicores},
          {"memory_mib", in.memory_mib},
          {"accelerators", in.accelerators}};
}

json ToJson(const scheduler_counters& in) {
  return {{"appends", in.appends},
          {"events", in.events},
          {"rejected_events", in.rejected_events},
          {"stale_batches", in.stale_batches},
          {"refused_appends", in.refused_appends},
          {"takeovers", in.takeovers},
          {"losses", in.losses},
          {"snapshots", in.snapshots},
          {"heartbeats", in.heartbeats},
          {"stale_heartbeats", in.stale_heartbeats}};
}

json Tasks(const state::cluster_state& in) {
  json out = json::object();
  for (const auto& [name, owner] : in.jobs()) {
    for (const auto& at : owner.tasks) {
      auto& count = out[state::PhaseName(at.phase)];
      count = count.is_null() ? 1 : count.get<int64_t>() + 1;
    }
  }
  return out;
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string scheduler::StatusJson() const {
  json out = {{"entry", options_.name},
              {"holds", holds_role()},
              {"epoch", epoch()},
              {"scheduler", scheduler_address()},
              {"manifest_version", manifest_version_},
              {"counters", ToJson(counters_)}};
  if (!holds_role()) {
    return Dump(out);
  }
  const auto& head = journal_->head();
  out["journal"] = {
      {"sequence", head.sequence},
      {"snapshot", head.snapshot},
      {"oldest", head.oldest},
      {"in_flight", journal_->busy()},
      {"unknown_outcomes", journal_->unknown_outcomes()},
      {"append_age_ms", (clock_() - journal_->last_append_sent_at()).count()}};
  out["jobs"] = committed_.jobs().size();
  out["tasks"] = Tasks(committed_);
  out["vms"] = committed_.vms().size();
  out["drained"] = committed_.drained();
  out["quarantined"] = committed_.quarantined();
  json centres = json::object();
  for (const auto& [name, at] : control_rows_->data_centres()) {
    centres[name] = {{"state", at.row.out ? "out" : "in"},
                     {"since", at.row.since},
                     {"by", at.row.by},
                     {"reason", at.row.why},
                     {"version", at.version}};
  }
  out["data_centres"] = std::move(centres);
  json waiting = json::object();
  for (const auto& [job, why] : why_pending_) {
    if (waiting.size() >= kMaxWaitingListed) {
      break;
    }
    waiting[job] = why;
  }
  out["waiting"] = std::move(waiting);
  return Dump(out);
}

std::string scheduler::JobJson(const std::string& name) const {
  const state::job* owner = committed_.FindJob(name);
  if (!owner) {
    return {};
  }
  json tasks = json::array();
  for (const auto& at : owner->tasks) {
    tasks.push_back({{"phase", state::PhaseName(at.phase)},
                     {"attempt", at.attempt},
                     {"vm", at.vm.name},
                     {"failures", at.failures},
                     {"evictions", at.evictions},
                     {"checkpoint", at.checkpoint},
                     {"work_done_ms", at.work_done.count()}});
  }
  const auto why = why_pending_.find(name);
  return Dump({{"job", name},
               {"tenant", owner->spec.tenant},
               {"cancelled", owner->cancelled},
               {"parked", owner->parked_reason},
               {"waiting", why == why_pending_.end() ? "" : why->second},
               {"tasks", std::move(tasks)}});
}

std::string scheduler::VmJson(const std::string& name) const {
  const state::vm* host = committed_.FindVm(name);
  if (!host) {
    return {};
  }
  json tasks = json::array();
  for (const auto& id : host->tasks) {
    tasks.push_back(id.job + "/" + std::to_string(id.index));
  }
  json out = {{"vm", name},
              {"incarnation", host->id.incarnation},
              {"data_centre", host->data_centre},
              {"rack", host->rack},
              {"drained", committed_.drained().contains(name)},
              {"quarantined", committed_.quarantined().contains(name)},
              {"capacity", ToJson(host->capacity)},
              {"committed", ToJson(host->committed)},
              {"tasks", std::move(tasks)}};
  if (const vm_view* view = vm_views_->Find(host->id)) {
    out["heard_ms_ago"] = (clock_() - view->last_heartbeat_at).count();
  }
  return Dump(out);
}

}  // namespace chiveglade::authority
