// One agent, its worker and a scheduler on an unreliable network, in steps.
#ifndef CHIVEGLADE_TESTS_AGENT_AGENT_WORLD_H_
#define CHIVEGLADE_TESTS_AGENT_AGENT_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/agent/agent_core.h"
#include "chiveglade/agent/worker_codec.h"
#include "chiveglade/core/random.h"
#include "fake_worker.h"

namespace chiveglade::testing {

// What the scheduler holds of one task; at most one attempt at a time.
struct scheduled_task {
  uint32_t number = 0;
  bool held = false;  // the attempt may be executing
  int64_t tick = 0;   // of its start order
  uint64_t incarnation = 0;
  boot_time lease{};  // until then no other attempt is granted
  bool stop = false;
};

// Messages and calls may be lost, delayed, repeated or overtaken, until Settle
// ends the faults.
class agent_world {
 public:
  explicit agent_world(uint64_t seed);

  void Pass(millis time);
  // Passes time, ticks the agent and delivers most of what is in flight.
  void Round(millis time);
  void TickAgent();
  void SendHeartbeat();
  void DeliverCall();    // one call in flight reaches the worker or is lost
  void DeliverAnswer();  // one answer reaches the agent, perhaps twice
  void RestartAgent();
  void RestartWorker();
  void GrantTask();
  void StopTask();
  void FinishTask();
  // Ends the faults and runs until nothing changes any more.
  void Settle();

  // Everything that went wrong so far; empty if nothing did.
  std::vector<std::string> Problems() const;
  boot_time now() const { return now_; }
  agent::agent_core& core() { return *core_; }
  fake_worker& worker() { return worker_; }
  std::map<std::string, scheduled_task>& tasks() { return tasks_; }
  uint64_t ends_taken() const { return ends_taken_; }

 private:
  struct call_in_flight {
    agent::worker_call call;
    uint64_t process = 0;  // agent process that made it
    bool told = false;     // the agent already has an outcome
    // The answer of a list call that is on its way back.
    std::optional<agent::worker_listing> listing;
  };
  struct answer_in_flight {
    state::heartbeat asked;
    state::heartbeat_answer answer;
  };

  uint64_t Draw(uint64_t below) { return random_() % below; }
  void Execute(call_in_flight& what, bool lose_answer);
  void TakeHeartbeat(const state::heartbeat& beat);
  void ConcludeNotRun(const state::heartbeat& beat);
  void TakeEnd(const state::attempt_ended& end);
  void TakeIncarnation(uint64_t incarnation);
  void CheckRunning();
  state::job_spec Spec(const std::string& name) const;

  random_engine random_;
  boot_time now_{millis(1'000'000)};
  fake_worker worker_;
  std::unique_ptr<agent::agent_core> core_;
  uint64_t process_ = 1;
  uint64_t incarnation_ = 0;  // as announced to the scheduler
  int64_t newest_tick_ = 0;
  uint64_t ends_taken_ = 0;
  std::deque<call_in_flight> calls_;
  std::deque<answer_in_flight> answers_;
  std::map<std::string, scheduled_task> tasks_;
  std::vector<std::string> problems_;
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_AGENT_AGENT_WORLD_H_
