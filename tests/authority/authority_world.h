// Schedulers, VMs and operators on one memory_store and one manual clock.
#ifndef CHIVEGLADE_TESTS_AUTHORITY_AUTHORITY_WORLD_H_
#define CHIVEGLADE_TESTS_AUTHORITY_AUTHORITY_WORLD_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "chiveglade/authority/scheduler.h"
#include "tests/support/memory_store.h"

namespace chiveglade::testing {

// Places every pending task on the first eligible VM with enough free capacity,
// and stops the tasks in a data centre that is out of service.
sched::plan FirstFit(const state::cluster_state& at,
                     const sched::cluster_view& view);

// State from which the heartbeats of one VM are made.
struct test_vm {
  state::vm_id id;
  std::string data_centre = "dc1";
  double clock_rate = 1.0;  // rate of the VM's clock relative to the test's
  int64_t tick_offset = 0;
  uint64_t sequence = 0;
  uint64_t answered_epoch = 0;
  int64_t answered_tick = 0;
  std::set<state::attempt_id> running = {};
  std::map<state::attempt_id, state::attempt_ended> ends = {};
};

class authority_world {
 public:
  // Adds an entry with the present `options`.
  authority::scheduler& AddEntry(const std::string& name);
  // Ends the entry's process without release.
  void Kill(const std::string& name) { entries_.erase(name); }
  authority::scheduler& entry(const std::string& name) {
    return *entries_.at(name);
  }
  // Returns the running entry that holds the role, or null.
  authority::scheduler* holder();

  // Advances the clock in steps of 50 ms and calls Tick of every running entry
  // at each step.
  void AdvanceBy(millis time);
  // Advances until an entry holds the role; returns false after 10 s.
  bool AdvanceUntilRoleHeld();

  void Pause(const std::string& name) { paused_.insert(name); }
  void Resume(const std::string& name) { paused_.erase(name); }

  // Sends one heartbeat to the entry and executes its answer: starts run at
  // once, stopped and unknown attempts end at once.
  state::heartbeat_answer SendHeartbeat(test_vm& vm, authority::scheduler& to);
  state::heartbeat MakeHeartbeat(test_vm& vm) const;
  void ExecuteAnswer(test_vm& vm,
                     const state::heartbeat& sent,
                     const state::heartbeat_answer& answer);

  // Adds one job to the manifest and sets it as the next version.
  void Declare(const std::string& job, uint32_t tasks = 1);

  boot_time now{millis(1'000'000)};
  memory_store store;
  authority::scheduler_options options;
  config::manifest manifest;
  uint64_t manifest_version = 0;

 private:
  std::map<std::string, std::unique_ptr<authority::scheduler>> entries_;
  std::set<std::string> paused_;
  random_engine random_{20261204};
};

// One entry that holds the role and one joined VM that runs task a/0.
struct running_world : authority_world {
  running_world();
  // Sends the VM's heartbeats to the holder every second, the first after 0.5
  // s.
  void SendHeartbeatsFor(millis time);
  // Returns task a/0 from the holder's committed state, or a default one.
  state::task Task();

  test_vm vm{.id = {"v1", 7}};
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_AUTHORITY_AUTHORITY_WORLD_H_
