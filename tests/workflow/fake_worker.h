// A worker with leases, runs, ends and fences, under a simulated clock.
#ifndef CHIVEGLADE_TESTS_WORKFLOW_FAKE_WORKER_H_
#define CHIVEGLADE_TESTS_WORKFLOW_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/workflow/worker_port.h"

namespace chiveglade::workflow {

// Told of each start and end, by whose time a test checks what must hold.
struct worker_observer {
  std::function<void(const std::string& vm, const run_key& run)> started;
  std::function<void(const std::string& vm, const run_key& run, run_result how)>
      ended;
  // An end was acknowledged; `lapsed` if the lease ran out in between.
  std::function<void(const std::string& vm, const run_end& end, bool lapsed)>
      acknowledged;
};

class fake_worker {
 public:
  fake_worker(std::string vm, worker_observer observer);

  // Time passes; `duration` is how long a run takes, by its task's index.
  void Pass(millis time, const std::function<millis(const run_key&)>& duration);

  // Ends everything without a trace and starts a new life.
  void Crash(bool stays_down);
  void ComeBack();

  bool up() const { return up_; }
  int64_t born() const { return born_; }
  std::string instance() const { return vm_ + "-" + std::to_string(born_); }
  worker_heartbeat Beat();
  size_t running() const { return runs_.size(); }

  call_status Start(const start_call& call);
  call_status Stop(const stop_call& call);
  lease_reply Lease(const lease_call& call);

 private:
  // What comes before every order; kOk if it may be carried out.
  call_status Admit(const std::string& instance, uint64_t token);

  struct run_state {
    millis worked{0};
  };

  void End(const run_key& run, run_result how);
  bool Expects(const std::string& instance) const {
    return instance.empty() || instance == this->instance();
  }

  std::string vm_;
  worker_observer observer_;
  bool up_ = true;
  int64_t born_ = 1'000;
  int64_t clock_ms_ = 0;
  int64_t lease_until_ms_ = 0;
  uint64_t token_ = 0;
  uint64_t beats_ = 0;
  uint64_t ends_made_ = 0;
  std::map<run_key, run_state> runs_;
  std::map<task_key, uint32_t> highest_ended_;
  std::vector<run_end> ends_;
  uint64_t ends_before_lapse_ = 0;  // ends up to here saw the lease run out
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_TESTS_WORKFLOW_FAKE_WORKER_H_
