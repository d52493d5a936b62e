// Chooses a VM for one task.
#ifndef CHIVEGLADE_SCHED_PLACEMENT_H_
#define CHIVEGLADE_SCHED_PLACEMENT_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "src/sched/interference_model.h"
#include "src/sched/start_pacer.h"
#include "src/sched/vm_index.h"

namespace chiveglade::sched {

// Number of tasks of one job by rack and by data centre.
struct job_spread {
  std::unordered_map<uint32_t, uint32_t> racks;
  std::unordered_map<uint16_t, uint32_t> data_centres;
};

// A task to be placed.
struct placement_request {
  const state::job_spec* spec = nullptr;
  size_t job_hash = 0;
  class_index klass = 0;
  resources expected{};  // corrected demand, capped at the largest VM
  const job_spread* spread = nullptr;  // null if only the limit per VM applies
  // VMs to avoid; null if there are none.
  const std::vector<std::string>* failed_on = nullptr;
};

// Why a task found no VM. A search over several VMs reports the smallest value
// that it met.
enum class obstacle : uint8_t {
  kNone,
  kNoRoom,
  kSpreadLimit,
  kInterference,
  kStartLimit,
  kNoVmInService,  // no VM in service in the allowed data centres
};

// Returns the name that operators see.
const char* ToString(obstacle what);

struct placement_choice {
  vm_slot* slot = nullptr;
  obstacle why = obstacle::kNoVmInService;
};

class placement {
 public:
  placement(const planner_options& options,
            vm_index& index,
            const class_table& classes,
            const interference_model& model,
            start_pacer& pacer,
            const random_fn& random);

  // Returns the VM with the best score of up to `placement_candidates` VMs that
  // can take the task now. Visits the VMs in a random order.
  placement_choice Choose(const placement_request& request, boot_time now);

  // Returns true if the VM meets all constraints other than room, so that the
  // task could start there now or after evictions: in service, allowed data
  // centre, no earlier failure, reservation, spread, start limit and ramp.
  // Otherwise sets `why`.
  bool MeetsConstraints(const placement_request& request,
                        const vm_slot& slot,
                        boot_time now,
                        obstacle& why) const;
  // Returns true if every latency-critical resident is predicted to stay within
  // its slowdown limit, and an unknown pair of classes may be tried on the VM.
  // With `urgent`, a predicted slowdown above the limit is accepted, since the
  // interference guard throttles if it occurs.
  bool KeepsSlowdownLimits(const placement_request& request,
                           const vm_slot& slot,
                           bool urgent = false) const;
  // Returns the sum of the predicted slowdowns that the task causes to
  // latency-critical residents and suffers from all residents. Zero if the
  // interference rule learns no pairs.
  double AddedSlowdown(const placement_request& request,
                       const vm_slot& slot) const;
  // Returns the slowdown that one neighbour adds to a task of class `victim`;
  // zero unless that class is latency-critical.
  double InducedSlowdown(class_index victim, class_index neighbour) const;
  // Returns the corrected demand of the task, at most the capacity of the VM.
  static resources RequiredRoom(const placement_request& request,
                                const vm_slot& slot);
  // Return a random step, coprime to the number of VMs so that it visits each
  // once, and a random first position.
  size_t Stride() const;
  size_t RandomStart() const;

 private:
  bool UsesPairModel() const;
  static bool HasRoom(const placement_request& request,
                      const vm_slot& slot,
                      const vm_room& room);
  bool AllowedDataCentre(const state::job_spec& spec, uint16_t number) const;
  bool MayTryUnknownPair(class_index victim, const vm_slot& slot) const;
  double Score(const placement_request& request, const vm_slot& slot) const;
  double SpreadPenalty(const placement_request& request,
                       const vm_slot& slot) const;
  placement_choice FirstFit(const placement_request& request, boot_time now);

  const planner_options& options_;
  vm_index& index_;
  const class_table& classes_;
  const interference_model& model_;
  start_pacer& pacer_;
  const random_fn& random_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLACEMENT_H_
