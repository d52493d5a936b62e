// State of VMs learned from heartbeats. Not durable: a new holder rebuilds it
// within a few heartbeats.
#ifndef CHIVEGLADE_AUTHORITY_VM_VIEWS_H_
#define CHIVEGLADE_AUTHORITY_VM_VIEWS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::authority {

// One incarnation of a VM.
struct vm_view {
  state::heartbeat latest;        // the one with the highest tick
  boot_time last_heartbeat_at{};  // when `latest` arrived
  int64_t first_tick = 0;         // of the first heartbeat in this view
  // Tick of the first heartbeat that was made after an answer of this epoch;
  // null before.
  std::optional<int64_t> first_tick_of_epoch;
  // Send time of the newest committed append on which an answer extended the
  // leases of this VM's attempts.
  boot_time lease_base{};
  // Tick since which an attempt placed here has been missing from heartbeats.
  std::map<state::attempt_id, int64_t> missing_since;
};

class vm_views {
 public:
  // Records a heartbeat. Returns false if a newer one of this incarnation was
  // recorded before, or if kMaxViews is reached. `epoch` is the current one.
  bool RecordHeartbeat(const state::heartbeat& message,
                       uint64_t epoch,
                       boot_time now);

  // Returns null if no heartbeat of this incarnation is recorded.
  vm_view* Find(const state::vm_id& id);
  const vm_view* Find(const state::vm_id& id) const;

  // Removes the views of all other incarnations of this VM, so that each must
  // prove anew that it is newer.
  void RemoveOtherIncarnations(const state::vm_id& kept);
  void Remove(const state::vm_id& id);
  void Clear();

  // Returns and clears the set of incarnations with new heartbeats.
  std::set<state::vm_id> TakeUpdated();
  void MarkUpdated(const state::vm_id& id) { updated_.insert(id); }

  // Removes views whose last heartbeat is older than `limit`, except those for
  // which `keep` returns true: a view's `lease_base` bounds how long its VM's
  // attempts may run.
  void RemoveOlder(boot_time limit,
                   const std::function<bool(const state::vm_id&)>& keep);

  // Bounds memory against peers that keep announcing new incarnations.
  static constexpr size_t kMaxViews = 20'000;

 private:
  std::map<state::vm_id, vm_view> views_;
  std::set<state::vm_id> updated_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_VM_VIEWS_H_
