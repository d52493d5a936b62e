#include "chiveglade/agent/agent_core.h"

#include <cassert>
#include <utility>

#include "ledger.h"

namespace chiveglade::agent {

namespace {

constexpr char kServicePrefix[] = "service:";
constexpr millis kDefaultStopGrace{3'000};
// Largest part of a run lease that the stop grace may take, so that a grace
// above the lease does not stop every attempt at once.
constexpr int kGraceShare = 3;

}  // namespace

result<std::unique_ptr<agent_core>> agent_core::Make(agent_options options,
                                                     clock_fn clock) {
  if (options.vm.empty() || options.address.empty()) {
    return reason{"bad_options", "the agent needs a VM name and an address"};
  }
  if (options.capacity.millicores <= 0 || options.capacity.memory_mib <= 0 ||
      options.capacity.accelerators < 0) {
    return reason{"bad_options", "the capacity of the VM must be positive"};
  }
  if (!clock) {
    return reason{"bad_options", "the agent needs a clock"};
  }
  return std::unique_ptr<agent_core>(
      new agent_core(std::move(options), std::move(clock)));
}

agent_core::agent_core(agent_options options, clock_fn clock)
    : options_(std::move(options)),
      clock_(std::move(clock)),
      started_at_(clock_()),
      ledger_(std::make_unique<ledger>()) {}

agent_core::~agent_core() = default;

state::heartbeat agent_core::MakeHeartbeat() {
  assert(announces());
  state::heartbeat out;
  out.vm = {options_.vm, boot_};
  out.data_centre = options_.data_centre;
  out.rack = options_.rack;
  out.address = options_.address;
  out.capacity = options_.capacity;
  out.sequence = ++sequence_;
  out.tick = clock_().time_since_epoch().count();
  out.manifest_version = manifest_version_;
  out.leaving = leaving_;
  if (options_.targets) {
    out.targets = options_.targets();
  }
  out.answered_epoch = epoch_;
  out.answered_tick = answered_tick_;
  wants_heartbeat_ = false;
  // Before the list is settled, absence from a report would prove nothing.
  out.partial = !ready_;
  if (ready_) {
    AddReports(out);
  }
  newest_heartbeat_ = out;
  return out;
}

void agent_core::AddReports(state::heartbeat& out) const {
  const boot_time now = clock_();
  for (const auto& [id, record] : ledger_->records()) {
    const bool known = record.phase == attempt_phase::kRunning ||
                       record.phase == attempt_phase::kStopping;
    // Once its order has expired, the scheduler takes an attempt that is not
    // reported for one that never ran.
    const bool unsettled =
        record.phase == attempt_phase::kStarting && now >= record.order_expires;
    if (known || unsettled) {
      out.attempts.push_back(record.report);
    } else if (record.phase == attempt_phase::kEnded && !record.acknowledged) {
      out.ends.push_back({record.end});
    }
  }
}

void agent_core::SetManifest(uint64_t version,
                             const config::manifest& manifest) {
  if (version < manifest_version_) {
    return;
  }
  manifest_version_ = version;
  stop_grace_.clear();
  for (const auto& klass : manifest.classes) {
    stop_grace_[klass.name] = klass.stop_grace;
  }
}

void agent_core::Leave() {
  wants_heartbeat_ = wants_heartbeat_ || !leaving_;
  leaving_ = true;
}

std::set<std::string> agent_core::running_services() const {
  constexpr size_t kPrefixSize = sizeof(kServicePrefix) - 1;
  std::set<std::string> names;
  for (const auto& [id, record] : ledger_->records()) {
    if (record.phase == attempt_phase::kRunning && !record.stop_wanted &&
        id.task.job.starts_with(kServicePrefix)) {
      names.insert(id.task.job.substr(kPrefixSize));
    }
  }
  return names;
}

resources agent_core::used() const {
  return ledger_->Used();
}

size_t agent_core::unacknowledged() const {
  size_t count = 0;
  for (const auto& [id, record] : ledger_->records()) {
    count += record.phase == attempt_phase::kEnded && !record.acknowledged;
  }
  return count;
}

bool agent_core::Drained(const attempt_record& record) const {
  const auto& job = record.attempt.task.job;
  return !options_.in_flight || !job.starts_with(kServicePrefix) ||
         options_.in_flight(job.substr(sizeof(kServicePrefix) - 1)) == 0;
}

millis agent_core::StopGrace(const state::job_spec& spec) const {
  const auto at = stop_grace_.find(spec.klass);
  const auto grace = at == stop_grace_.end() ? kDefaultStopGrace : at->second;
  return std::min(grace, spec.run_lease / kGraceShare);
}

void agent_core::End(attempt_record& record,
                     state::attempt_end how,
                     const std::string& detail) {
  assert(record.phase != attempt_phase::kEnded);
  record.phase = attempt_phase::kEnded;
  record.end = {record.attempt, how, "", millis(0), detail};
  record.order = {};
  record.live_at_worker = false;
  wants_heartbeat_ = true;
}

}  // namespace chiveglade::agent
