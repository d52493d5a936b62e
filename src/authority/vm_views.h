// What heartbeats have told about VMs. Rebuilt within a few heartbeats.
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
  state::heartbeat newest;  // the one with the highest tick
  boot_time heard{};        // when `newest` arrived
  int64_t first_tick = 0;   // of the first heartbeat since the view began
  // Tick of the first heartbeat that was made after an answer of this epoch.
  std::optional<int64_t> first_trusted_tick;
  // Newest committed append that an answer with grants vouched for.
  boot_time grant_base{};
  // Since which tick an attempt held here has been missing from heartbeats.
  std::map<state::attempt_id, int64_t> missing_since;
};

class vm_views {
 public:
  // Notes a heartbeat; false if a newer one of this incarnation came before.
  // `epoch` is the present one.
  bool Take(const state::heartbeat& message, uint64_t epoch, boot_time now);

  // Null if nothing was heard from this incarnation.
  vm_view* Find(const state::vm_id& id);
  const vm_view* Find(const state::vm_id& id) const;

  // Begins the views of all incarnations of this name but `kept` anew, so that
  // their proofs of being newer have to be given again.
  void ForgetOthers(const state::vm_id& kept);
  void Forget(const state::vm_id& id);
  void Clear();

  // Incarnations heard from since the last call.
  std::set<state::vm_id> TakeDirty();
  void MarkDirty(const state::vm_id& id) { dirty_.insert(id); }

  // Drops views not heard from since `limit`, but for those that `keep` wants.
  // A view holds the time until which its VM's attempts may run.
  void DropOlder(boot_time limit,
                 const std::function<bool(const state::vm_id&)>& keep);

  // Most views kept, against peers that announce ever new incarnations.
  static constexpr size_t kMaxViews = 20'000;

 private:
  std::map<state::vm_id, vm_view> views_;
  std::set<state::vm_id> dirty_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_VM_VIEWS_H_
