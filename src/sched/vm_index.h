// What the planner knows about each VM, kept up to date between plans.
#ifndef CHIVEGLADE_SCHED_VM_INDEX_H_
#define CHIVEGLADE_SCHED_VM_INDEX_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "chiveglade/sched/planner.h"
#include "src/sched/class_table.h"
#include "src/sched/demand_model.h"
#include "src/sched/interference_model.h"

namespace chiveglade::sched {

// An attempt that holds a VM.
struct resident {
  state::attempt_id attempt{};
  size_t job_hash = 0;
  class_index klass = 0;
  state::band priority = state::band::kNormal;
  resources declared{};
  resources expected{};    // corrected by the demand model
  millis work_done{0};     // newest measurement
  millis checkpointed{0};  // work in the newest checkpoint
  boot_time first_seen{};
  uint32_t evictions = 0;  // of the task
  double loss_share = 1;   // of the work since the checkpoint, if stopped
  bool stopping = false;   // asked to stop, also by the current plan
};

// A VM with its residents. Amounts include what the current plan adds.
struct vm_slot {
  std::string name;
  uint64_t incarnation = 0;
  uint16_t data_centre = 0;
  uint32_t rack = 0;
  resources capacity{};
  resources committed{};  // sum of declarations
  resources expected{};   // sum of corrected demands
  resources held{};       // kept free for tasks whose victims are stopping
  std::vector<resident> residents{};
  // Residents per class, averaged over the measurement lag.
  std::vector<neighbour_count> class_averages{};
  boot_time class_averages_at{};
  bool startable = false;
  bool drained = false;
  bool probeable = false;  // quarantined and otherwise in service
  bool reserved = false;   // by backfill: only idle work may start
  bool dirty = true;       // all residents must be read again
  bool room_stale = true;  // the packed room must be computed again
};

// The part of a slot that a search looks at first, packed for speed.
struct vm_room {
  resources free{};  // by declaration and by corrected demand
  uint16_t data_centre = 0;
  bool startable = false;
  // Most that evictions could leave free for the bands service, urgent and
  // normal, by declaration.
  resources reclaimable[3]{};
};

struct data_centre_slot {
  std::string name;
  data_centre_phase phase = data_centre_phase::kInService;
  resources capacity{};
  resources committed{};
  double ramp = 1;  // share of the capacity that may be committed
};

class vm_index {
 public:
  explicit vm_index(const planner_options& options) : options_(options) {}

  // Takes over what changed in the state. On VMs whose commitment changed,
  // attempts that came are read and those that left are dropped. All are read
  // again on VMs with planned stops, which may not have been committed, and on
  // a few others in turn, since demand and phases change without a commitment.
  void Sync(const state::cluster_state& state,
            const cluster_view& view,
            class_table& classes,
            const demand_model& demand);

  std::vector<vm_slot>& slots() { return slots_; }
  const std::vector<vm_slot>& slots() const { return slots_; }
  const std::vector<vm_room>& rooms() const { return rooms_; }
  std::vector<data_centre_slot>& data_centres() { return data_centres_; }
  const std::vector<data_centre_slot>& data_centres() const {
    return data_centres_;
  }
  // The slot of a VM by name; null if there is none. Valid until Sync.
  vm_slot* Find(const std::string& name);
  const vm_slot* Find(const std::string& name) const;
  size_t Position(const vm_slot& slot) const { return &slot - slots_.data(); }
  // Number of a data centre; -1 if it has no VM.
  int DataCentre(const std::string& name) const;
  // Largest amount of each resource on any VM.
  const resources& largest() const { return largest_; }
  // Grows whenever a VM joins or changes.
  uint64_t generation() const { return generation_; }

  // Adds an attempt that the current plan grants.
  void Grant(vm_slot& slot, resident added);
  void Hold(vm_slot& slot, const resources& amount);
  // Recomputes the packed room of a slot.
  void Refresh(const vm_slot& slot);
  // True if a returning data centre may take that much more.
  bool RampAllows(uint16_t data_centre, const resources& amount) const;

 private:
  void SyncDataCentres(const cluster_view& view);
  void SyncSlots(const state::cluster_state& state);
  void SyncSlot(vm_slot& slot,
                const state::vm& vm,
                const state::cluster_state& state,
                class_table& classes,
                const demand_model& demand,
                boot_time now);
  uint16_t FindOrAddDataCentre(const std::string& name);

  const planner_options& options_;
  std::vector<vm_slot> slots_;  // by name
  std::vector<vm_room> rooms_;
  std::vector<data_centre_slot> data_centres_;
  std::unordered_map<std::string, uint16_t> data_centre_numbers_;
  std::unordered_map<std::string, uint32_t> rack_numbers_;
  std::unordered_map<std::string, size_t> by_name_;
  resources largest_;
  uint64_t generation_ = 0;
  size_t reread_group_ = 0;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_VM_INDEX_H_
