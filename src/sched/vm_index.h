// Index of the VMs and their residents, updated incrementally between plans.
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

// An attempt that holds room on a VM.
struct resident {
  state::attempt_id attempt{};
  size_t job_hash = 0;
  class_index klass = 0;
  state::band priority = state::band::kNormal;
  resources declared{};
  resources expected{};    // demand corrected by the demand model
  millis work_done{0};     // as last reported
  millis checkpointed{0};  // work in the newest checkpoint
  boot_time first_seen{};
  uint32_t evictions = 0;  // earlier evictions of the task
  double loss_share = 1;   // expected loss by a stop, as a share of the work
                           // since the checkpoint
  bool stopping = false;   // also if stopped by the current plan
};

// A VM with its residents. Amounts include the grants of the current plan.
struct vm_slot {
  std::string name;
  uint64_t incarnation = 0;
  uint16_t data_centre = 0;
  uint32_t rack = 0;
  resources capacity{};
  resources committed{};  // sum of declared demands
  resources expected{};   // sum of corrected demands
  resources held{};       // kept free for tasks whose victims are stopping
  std::vector<resident> residents{};
  // Residents per class, averaged over the measurement lag.
  std::vector<neighbour_count> class_averages{};
  boot_time class_averages_at{};
  bool startable = false;
  bool drained = false;
  bool probeable = false;  // in service, but quarantined
  bool reserved = false;   // by backfill; only idle work may start
  bool dirty = true;       // all residents must be read again from the state
  bool room_stale = true;  // the vm_room must be recomputed
};

// The fields of a slot that a search reads first, packed for locality.
struct vm_room {
  resources free{};  // minimum over declared and corrected demand
  uint16_t data_centre = 0;
  bool startable = false;
  // Room by declared demand if all lower bands were evicted, for the bands
  // service, urgent and normal.
  resources reclaimable[3]{};
};

struct data_centre_slot {
  std::string name;
  data_centre_phase phase = data_centre_phase::kInService;
  resources capacity{};
  resources committed{};
  double ramp = 1;  // share of the capacity that may be committed now
};

class vm_index {
 public:
  explicit vm_index(const planner_options& options) : options_(options) {}

  // Updates the index to the state. On VMs whose committed amount changed,
  // reads new attempts and drops those that left. Reads all attempts again on
  // VMs with planned stops, since these may not have been committed, and on a
  // rotating group of other VMs, since corrected demands and phases of tasks
  // change without a change of the committed amount.
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
  // Returns the slot of a VM; null if there is none. Valid until the next Sync.
  vm_slot* Find(const std::string& name);
  const vm_slot* Find(const std::string& name) const;
  size_t Position(const vm_slot& slot) const { return &slot - slots_.data(); }
  // Returns the number of a data centre; -1 if none of its VMs was ever
  // indexed.
  int DataCentre(const std::string& name) const;
  // The largest capacity of any VM, for each resource separately.
  const resources& largest() const { return largest_; }
  // Increases whenever a VM joins, leaves or changes.
  uint64_t generation() const { return generation_; }

  // Adds an attempt granted by the current plan.
  void Grant(vm_slot& slot, resident added);
  void Hold(vm_slot& slot, const resources& amount);
  // Recomputes the vm_room of a slot.
  void Refresh(const vm_slot& slot);
  // Returns true if committing `amount` more is within the ramp of the data
  // centre.
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
  std::vector<vm_slot> slots_;  // sorted by name
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
