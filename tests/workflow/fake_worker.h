// A simulated worker with leases, fencing and a list of ended runs.
#ifndef CHIVEGLADE_TESTS_WORKFLOW_FAKE_WORKER_H_
#define CHIVEGLADE_TESTS_WORKFLOW_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/workflow/worker_port.h"

namespace chiveglade::workflow {

// Callbacks by which a test checks its invariants.
struct worker_observer {
  std::function<void(const std::string& vm, const run_key& run)> started;
  std::function<void(const std::string& vm, const run_key& run, run_result how)>
      ended;
  // An end was acknowledged. `lapsed` if the lease expired between the two.
  std::function<void(const std::string& vm, const run_end& end, bool lapsed)>
      acknowledged;
};

// How a run goes unless it is stopped or its lease expires.
struct run_plan {
  millis duration{0};
  run_result how = run_result::kDone;
  bool makes_progress = true;   // its percentage changes
  bool long_running = false;    // at full percentage from its start
  int32_t load = -1;            // see run_status
  bool saves_progress = false;  // its checkpoint names the run and its progress
};

class fake_worker {
 public:
  fake_worker(std::string vm, worker_observer observer);

  // Advances the clock.
  void Advance(millis time,
               const std::function<run_plan(const run_key&)>& plan);

  // Drops all runs and state and begins a new incarnation, under the same
  // instance name if `keeps_instance`.
  void Crash(bool stays_down, bool keeps_instance = false);
  void BringUp();
  // Ends the run if it is here, as a gang's runs end with each other.
  void Interrupt(const run_key& run);

  // Refuses all calls, but runs on.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  // Lists at most this many ends at a time.
  void SetMaxListedEnds(size_t limit) { max_listed_ends_ = limit; }
  void SetRack(const std::string& rack) { rack_ = rack; }
  // Each run has a checkpoint of this length from its start.
  void SetCheckpointBytes(size_t bytes) { checkpoint_.assign(bytes, 'c'); }

  bool up() const { return up_; }
  bool refusing() const { return refusing_; }
  resources capacity() const { return {4'000, 8'000, 0}; }
  int64_t incarnation() const { return incarnation_; }
  std::string instance() const {
    return vm_ + "-" + std::to_string(instance_number_);
  }
  worker_heartbeat MakeHeartbeat();
  size_t running() const { return runs_.size(); }
  std::vector<run_key> runs() const;
  // The throttle in force.
  uint32_t PaceOf(const run_key& run) const { return runs_.at(run).pace; }

  call_status Start(const start_call& call);
  call_status Stop(const stop_call& call);
  call_status Pace(const pace_call& call);
  lease_reply Lease(const lease_call& call);

 private:
  // Checks common to all calls but Lease(); kOk if the call may proceed.
  call_status Admit(const std::string& instance, uint64_t fencing_token);

  // A longer lease than the longest is shortened to it.
  void ExtendLease(int64_t until_ms);

  struct run_state {
    millis elapsed{0};
    run_plan plan;
    uint32_t pace = 100;
  };

  std::string CheckpointOf(const run_key& run, const run_state& state) const;

  void End(const run_key& run, run_result how);
  bool Expects(const std::string& instance) const {
    return instance.empty() || instance == this->instance();
  }

  std::string vm_;
  worker_observer observer_;
  bool up_ = true;
  bool refusing_ = false;
  int64_t incarnation_ = 1'000;
  int64_t instance_number_ = 0;
  size_t max_listed_ends_ = 500;
  std::string rack_;
  std::string checkpoint_;
  int64_t clock_ms_ = 0;
  int64_t lease_until_ms_ = 0;
  uint64_t highest_fencing_token_ = 0;
  uint64_t heartbeats_sent_ = 0;
  uint64_t ends_made_ = 0;
  std::map<run_key, run_state> runs_;
  std::map<task_key, uint32_t> highest_ended_;
  std::vector<run_end> ends_;
  uint64_t ends_before_lapse_ = 0;  // the lease has expired since these ends
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_TESTS_WORKFLOW_FAKE_WORKER_H_
