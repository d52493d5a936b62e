// Schedulers, VMs and operators over one memory_store, under one manual clock.
#ifndef CHIVEGLADE_TESTS_AUTHORITY_AUTHORITY_WORLD_H_
#define CHIVEGLADE_TESTS_AUTHORITY_AUTHORITY_WORLD_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "chiveglade/authority/scheduler.h"
#include "tests/support/memory_store.h"

namespace chiveglade::testing {

// Places every pending task on the first VM with room that may take it, and
// stops what runs in a data centre that is out.
sched::plan FirstFit(const state::cluster_state& at,
                     const sched::cluster_view& view);

// The reports of one VM, made by hand.
struct test_vm {
  state::vm_id id;
  std::string data_centre = "dc1";
  double clock_rate = 1.0;  // of the VM's clock against the test's
  int64_t tick_offset = 0;
  uint64_t sequence = 0;
  uint64_t answered_epoch = 0;
  int64_t answered_tick = 0;
  std::set<state::attempt_id> running = {};
  std::map<state::attempt_id, state::attempt_ended> ends = {};
};

class authority_world {
 public:
  // Adds an entry; its options may be changed before.
  authority::scheduler& AddEntry(const std::string& name);
  // The process dies: its memory is gone.
  void Kill(const std::string& name) { entries_.erase(name); }
  authority::scheduler& entry(const std::string& name) {
    return *entries_.at(name);
  }
  // The entry that holds the role, or null.
  authority::scheduler* holder();

  // Lets time pass in steps of 50 ms, with a tick of every running entry.
  void Pass(millis time);
  // Until some entry holds the role; false after 10 s.
  bool PassUntilHeld();

  void Pause(const std::string& name) { paused_.insert(name); }
  void Resume(const std::string& name) { paused_.erase(name); }

  // One heartbeat to the entry, whose answer the VM carries out: starts run at
  // once, stops and unknown attempts end at once.
  state::heartbeat_answer Beat(test_vm& vm, authority::scheduler& to);
  state::heartbeat Message(test_vm& vm) const;
  void Obey(test_vm& vm,
            const state::heartbeat& asked,
            const state::heartbeat_answer& answer);

  // Declares one job with the manifest as the next version.
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

// One entry that holds the role, and a VM that has joined and runs task a/0.
struct running_world : authority_world {
  running_world();
  // Heartbeats of the VM to the holder each second, the first after 0.5 s.
  void BeatFor(millis time);
  // The task as the holder has it, or a default one.
  state::task Task();

  test_vm vm{.id = {"v1", 7}};
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_AUTHORITY_AUTHORITY_WORLD_H_
