#include "tests/workflow/fake_worker.h"

#include <algorithm>

#include "chiveglade/workflow/supervisor.h"

namespace chiveglade::workflow {

fake_worker::fake_worker(std::string vm, worker_observer observer)
    : vm_(std::move(vm)), observer_(std::move(observer)) {}

void fake_worker::Advance(millis time,
                          const std::function<run_plan(const run_key&)>& plan) {
  if (!up_) {
    return;
  }
  clock_ms_ += time.count();
  if (clock_ms_ > lease_until_ms_) {
    ends_before_lapse_ = ends_made_;
  }
  std::vector<std::pair<run_key, run_result>> over;
  for (auto& [run, state] : runs_) {
    state.elapsed += time;
    const auto planned = plan(run);
    state.plan = planned;
    if (clock_ms_ > lease_until_ms_) {
      over.emplace_back(run, run_result::kLapsed);
    } else if (state.elapsed >= planned.duration) {
      over.emplace_back(run, planned.how);
    }
  }
  for (const auto& [run, how] : over) {
    End(run, how);
  }
}

void fake_worker::End(const run_key& run, run_result how) {
  const std::string checkpoint = CheckpointOf(run, runs_.at(run));
  runs_.erase(run);
  auto& highest = highest_ended_[run.task];
  highest = std::max(highest, run.run);
  ends_.push_back({++ends_made_, run, how, checkpoint});
  observer_.ended(vm_, run, how);
}

void fake_worker::Crash(bool stays_down, bool keeps_instance) {
  for (const auto& [run, state] : runs_) {
    observer_.ended(vm_, run, run_result::kLapsed);
  }
  runs_.clear();
  highest_ended_.clear();
  ends_.clear();
  ends_made_ = 0;
  ends_before_lapse_ = 0;
  highest_fencing_token_ = 0;
  clock_ms_ = 0;
  lease_until_ms_ = 0;
  heartbeats_sent_ = 0;
  ++incarnation_;
  instance_number_ += keeps_instance ? 0 : 1;
  up_ = !stays_down;
  refusing_ = false;
}

void fake_worker::BringUp() {
  up_ = true;
  refusing_ = false;
}

void fake_worker::Interrupt(const run_key& run) {
  if (up_ && runs_.contains(run)) {
    End(run, run_result::kGangBroken);
  }
}

std::string fake_worker::CheckpointOf(const run_key& run,
                                      const run_state& state) const {
  // A run has saved something for the first time after this.
  constexpr millis kFirstSave{500};
  if (!state.plan.saves_progress) {
    return checkpoint_;
  }
  return state.elapsed < kFirstSave
             ? ""
             : std::to_string(run.run) + "-" + std::to_string(run.task.index);
}

std::vector<run_key> fake_worker::runs() const {
  std::vector<run_key> out;
  for (const auto& [run, state] : runs_) {
    out.push_back(run);
  }
  return out;
}

worker_heartbeat fake_worker::MakeHeartbeat() {
  worker_heartbeat out;
  out.instance = instance();
  out.incarnation = incarnation_;
  out.sequence = ++heartbeats_sent_;
  out.service = "service";
  out.data_centre = "dc";
  out.rack = rack_;
  out.capacity = capacity();
  return out;
}

call_status fake_worker::Admit(const std::string& instance,
                               uint64_t fencing_token) {
  if (!up_ || refusing_) {
    return call_status::kNotListening;
  }
  if (!Expects(instance)) {
    return call_status::kWrongInstance;
  }
  if (fencing_token < highest_fencing_token_) {
    return call_status::kFenced;
  }
  highest_fencing_token_ = fencing_token;
  return call_status::kOk;
}

void fake_worker::ExtendLease(int64_t until_ms) {
  lease_until_ms_ =
      std::max(lease_until_ms_,
               std::min(until_ms,
                        clock_ms_ + supervisor_options{}.worker_lease.count()));
}

call_status fake_worker::Start(const start_call& call) {
  if (const auto admitted = Admit(call.instance, call.fencing_token);
      admitted != call_status::kOk) {
    return admitted;
  }
  if (runs_.contains(call.run)) {
    return call_status::kOk;
  }
  if (call.lease_until_ms <= clock_ms_) {
    return call_status::kLeasePast;
  }
  ExtendLease(call.lease_until_ms);
  if (const auto at = highest_ended_.find(call.run.task);
      at != highest_ended_.end() && call.run.run <= at->second) {
    return call_status::kSuperseded;
  }
  runs_[call.run] = {};
  observer_.started(vm_, call.run);
  return call_status::kOk;
}

call_status fake_worker::Stop(const stop_call& call) {
  if (const auto admitted = Admit(call.instance, call.fencing_token);
      admitted != call_status::kOk) {
    return admitted;
  }
  if (runs_.contains(call.run)) {
    End(call.run, run_result::kStopped);
  } else {
    auto& highest = highest_ended_[call.run.task];
    highest = std::max(highest, call.run.run);
  }
  return call_status::kOk;
}

call_status fake_worker::Pace(const pace_call& call) {
  if (const auto admitted = Admit(call.instance, call.fencing_token);
      admitted != call_status::kOk) {
    return admitted;
  }
  if (const auto at = runs_.find(call.run); at != runs_.end()) {
    at->second.pace = call.percent;
  }
  return call_status::kOk;
}

lease_reply fake_worker::Lease(const lease_call& call) {
  lease_reply out;
  if (!up_ || refusing_) {
    out.status = call_status::kNotListening;
    return out;
  }
  if (!Expects(call.instance)) {
    out.status = call_status::kWrongInstance;
    return out;
  }
  if (call.fencing_token < highest_fencing_token_) {
    out.status = call_status::kFenced;
    return out;
  }
  highest_fencing_token_ = call.fencing_token;
  if (call.lease_until_ms != 0 && call.lease_until_ms <= clock_ms_) {
    out.status = call_status::kLeasePast;
    return out;
  }
  ExtendLease(call.lease_until_ms);
  std::erase_if(ends_, [&](const run_end& end) {
    if (end.number > call.acknowledged) {
      return false;
    }
    observer_.acknowledged(vm_, end, end.number <= ends_before_lapse_);
    return true;
  });
  out.status = call_status::kOk;
  out.clock_ms = clock_ms_;
  out.incarnation = incarnation_;
  for (const auto& [run, state] : runs_) {
    run_status status;
    status.run = run;
    status.checkpoint = CheckpointOf(run, state);
    status.percent = state.plan.long_running ? 100
                     : state.plan.makes_progress
                         ? static_cast<uint32_t>(state.elapsed.count() % 100)
                         : 0;
    status.load = state.plan.load;
    out.runs.push_back(status);
  }
  const size_t listed = std::min(ends_.size(), max_listed_ends_);
  out.ends.assign(ends_.begin(),
                  ends_.begin() + static_cast<std::ptrdiff_t>(listed));
  out.complete = listed < max_listed_ends_;
  return out;
}

}  // namespace chiveglade::workflow
