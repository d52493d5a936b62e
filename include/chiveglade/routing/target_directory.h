// Tracks the targets of each service and selects one for a request.
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

// Criteria for the selection of targets.
struct directory_options {
  std::string data_centre;  // of this entry; targets in it are preferred
  millis heartbeat_interval{1'000};
  uint32_t missed_heartbeats = 3;  // after these, a target is not chosen
  uint32_t failures_to_eject = 5;  // consecutive
  millis initial_ejection{5'000};  // doubles each time
  millis max_ejection{60'000};
  friend bool operator==(const directory_options&,
                         const directory_options&) = default;
};

// The state of one target, for status pages and tests.
struct target_status {
  std::string vm;
  std::string data_centre;
  std::string address;
  uint32_t load = 0;  // reported by the agent: in use and queued
  uint32_t open = 0;  // open requests of this entry
  bool in_service = false;
  bool ejected = false;
  friend bool operator==(const target_status&, const target_status&) = default;
};

// Built from heartbeats alone, so a restarted entry rebuilds it from them.
// Thread-safe. Lock order, outermost first: the entry of a VM in `vms_`, a list
// in `services_`, `vm_records_mutex_`, the mutex of one target. Choose holds
// only a read lock on the list of one service while it copies a pointer;
// everything else that it reads is atomic.
class target_directory {
 public:
  // Fails with "bad_options" if a period or a limit is zero.
  static result<std::shared_ptr<target_directory>> Make(
      directory_options options,
      clock_fn clock);

  // Applies one heartbeat. Ignores a heartbeat that is older than one already
  // applied from the same VM, or that is from the VM's previous incarnation.
  void OnHeartbeat(const state::heartbeat& in);

  // Replaces the sets of data centres and VMs that operators have taken out of
  // service. Their targets are not chosen.
  void SetOutOfService(std::set<std::string> data_centres,
                       std::set<std::string> vms);

  // Removes the VMs whose heartbeats have timed out, to free their memory.
  // Choose ignores such VMs even before they are removed. Call this once a
  // second.
  void Expire();

  // Chooses the less loaded of two random targets that are in service and not
  // on a VM named in `exclude`. Fails with "no_target".
  result<open_request> Choose(const std::string& service,
                              const std::vector<std::string>& exclude,
                              const random_fn& random) const;

  // Returns all targets of a service, ordered by VM name.
  std::vector<target_status> Status(const std::string& service) const;

  // Returns the agent addresses of all known VMs, so that connections to other
  // addresses can be closed.
  std::set<std::string> Addresses() const;

 private:
  struct service_list {
    std::vector<target_ptr> local;   // in this entry's data centre
    std::vector<target_ptr> remote;  // in all other data centres
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
  // The caller of the following functions holds the write lock on the VM's
  // entry in `vms_`.
  void ReplaceRecord(const state::heartbeat& in, vm_entry& entry);
  // Keeps the target objects, and so the health, of services that the VM still
  // reports.
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
