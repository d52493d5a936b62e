// A worker in memory that follows the control interface to the letter.
#ifndef CHIVEGLADE_TESTS_AGENT_FAKE_WORKER_H_
#define CHIVEGLADE_TESTS_AGENT_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/agent/worker_call.h"
#include "chiveglade/agent/worker_task.h"

namespace chiveglade::testing {

// What happened to one attempt, kept over restarts of the worker.
struct attempt_history {
  uint64_t boot = 0;
  boot_time started{};
  boot_time ended = boot_time::max();
  agent::worker_state how = agent::worker_state::kRunning;
  std::string checkpoint;
};

// Single-threaded; time is passed in. It enforces leases and call expiry but
// neither capacity nor attempt numbers, so that mistakes of an agent show.
class fake_worker {
 public:
  explicit fake_worker(resources capacity) : capacity_(capacity) {}

  agent::worker_call_outcome Handle(const agent::worker_call& call,
                                    boot_time now);
  std::vector<agent::worker_task> List(boot_time now);

  // Ends tasks whose lease or stop time has passed by `now`.
  void Advance(boot_time now);
  void Finish(const state::attempt_id& attempt, bool failed, boot_time now);
  void Restart(boot_time now);

  uint64_t boot() const { return boot_; }
  std::vector<state::attempt_id> live() const;
  const std::map<state::attempt_id, attempt_history>& history() const {
    return history_;
  }
  // Rules broken by the calls so far; empty if none.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct entry {
    agent::worker_task task;
    boot_time stop_at = boot_time::max();
  };

  agent::worker_call_outcome Start(const agent::worker_call& call,
                                   boot_time now);
  void EndTask(entry& what, agent::worker_state how, boot_time at);
  void CheckStart(const agent::worker_call& call, boot_time now);

  resources capacity_;
  uint64_t boot_ = 1;
  std::map<state::attempt_id, entry> tasks_;
  std::map<state::attempt_id, attempt_history> history_;
  std::vector<std::string> violations_;
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_AGENT_FAKE_WORKER_H_
