// Which targets serve a service, and which one to send a request to.
#ifndef CHIVEGLADE_ROUTING_TARGET_DIRECTORY_H_
#define CHIVEGLADE_ROUTING_TARGET_DIRECTORY_H_

#include <tbb/concurrent_hash_map.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/routing/target.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::routing {

// How the directory judges targets.
struct directory_options {
  std::string data_centre;  // of this entry; its targets are preferred
  millis heartbeat_interval{1'000};
  uint32_t missed_heartbeats = 3;  // periods of silence that drop a target
  uint32_t failures_to_eject = 5;  // in a row
  millis initial_ejection{5'000};  // doubles each time
  millis max_ejection{60'000};
  friend bool operator==(const directory_options&,
                         const directory_options&) = default;
};

// What an entry knows of one target, for status pages and tests.
struct target_status {
  std::string vm;
  std::string data_centre;
  std::string address;
  uint32_t load = 0;  // reported, in use and queued
  uint32_t open = 0;  // requests of this entry
  bool in_service = false;
  bool ejected = false;
  friend bool operator==(const target_status&, const target_status&) = default;
};

// Built from heartbeats alone, and rebuilt by them after a restart.
// Thread-safe. Lock order, outermost first: the record of a VM in `vms_`, a
// list in `services_`, `members_mutex_`, the mutex of one target. Choose takes
// only a read lock on the list of one service, for as long as it takes to copy
// a pointer; everything else that it reads is atomic.
class target_directory {
 public:
  // Fails with "bad_options" if a period or a limit is zero.
  static result<std::shared_ptr<target_directory>> Make(
      directory_options options,
      clock_fn clock);

  // Takes in one heartbeat. A heartbeat that is older than one already taken in
  // from the same VM, or from an earlier incarnation of it, changes nothing.
  void OnHeartbeat(const state::heartbeat& in);

  // Replaces the data centres and VMs that operators have taken out of
  // service; their targets are not chosen.
  void SetOutOfService(std::set<std::string> data_centres,
                       std::set<std::string> vms);

  // Drops the VMs that have been silent for too long. Choose ignores them
  // already before that; this frees their memory. Call it once a second.
  void Expire();

  // Chooses the better of two random targets in service, not on a VM named in
  // `exclude`. Fails with "no_target".
  result<open_request> Choose(const std::string& service,
                              const std::vector<std::string>& exclude,
                              const random_fn& random) const;

  // Every target of a service, by VM name.
  std::vector<target_status> Status(const std::string& service) const;

  // The peer addresses of all VMs known, for closing unused connections.
  std::set<std::string> Addresses() const;

 private:
  struct service_list {
    std::vector<target_ptr> local;   // in this entry's data centre
    std::vector<target_ptr> remote;  // in all others
    std::shared_ptr<service_health> health;
  };
  using service_list_ptr = std::shared_ptr<const service_list>;
  struct vm_entry {
    std::shared_ptr<vm_record> record;
    std::vector<target_ptr> targets;
    uint64_t incarnation = 0;
    uint64_t previous_incarnation = 0;
    int64_t tick = 0;
  };
  struct out_of_service {
    std::set<std::string> data_centres;
    std::set<std::string> vms;
  };
  using vm_map = tbb::concurrent_hash_map<std::string, vm_entry>;
  using service_map = tbb::concurrent_hash_map<std::string, service_list_ptr>;

  target_directory(directory_options options, clock_fn clock);

  millis silence_timeout() const;
  service_list_ptr FindService(const std::string& service) const;
  bool IsLocal(const target& at) const;
  std::shared_ptr<service_health> GetOrCreateHealth(const std::string& service);
  // These need the write lock of the VM's record.
  void ReplaceRecord(const state::heartbeat& in, vm_entry& entry);
  // Keeps the targets, with their health, of services that are still there.
  void ReplaceTargets(const state::heartbeat& in, vm_entry& entry);
  void RemoveTargets(vm_entry& entry);
  void AddToService(const target_ptr& added);
  void RemoveFromService(const target_ptr& removed);

  const directory_options options_;
  const clock_fn clock_;
  vm_map vms_;
  service_map services_;
  mutable std::mutex vm_records_mutex_;
  std::map<std::string, std::shared_ptr<vm_record>> vm_records_;
  out_of_service out_of_service_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_TARGET_DIRECTORY_H_
