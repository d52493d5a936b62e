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

// How many tasks of one job hold each rack and data centre.
struct job_spread {
  std::unordered_map<uint32_t, uint32_t> racks;
  std::unordered_map<uint16_t, uint32_t> data_centres;
};

// A task to be placed.
struct placement_request {
  const state::job_spec* spec = nullptr;
  size_t job_hash = 0;
  class_index klass = 0;
  resources expected{};                // corrected demand on the largest VM
  const job_spread* spread = nullptr;  // null: no limits beyond one VM
  const std::vector<std::string>* failed_on = nullptr;  // VMs to avoid
};

// Why a task found no VM. Ordered by how near it came to one.
enum class obstacle : uint8_t {
  kNone,
  kNoRoom,
  kSpreadLimit,
  kInterference,
  kStartLimit,
  kNoVmInService,  // no VM in service in the allowed data centres
};

// Name of an obstacle for operators.
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

  // The best of up to `options.placement_candidates` VMs that can take the task
  // now, looked for from a random position.
  placement_choice Choose(const placement_request& request, boot_time now);

  // True if the job may use the VM at all, now or after evictions: data
  // centre, spread, pace and ramp. `why` says what forbids it.
  bool MeetsConstraints(const placement_request& request,
                        const vm_slot& slot,
                        boot_time now,
                        obstacle& why) const;
  // True if no latency-critical task on the VM would be slowed too much, and
  // untried pairs are not tried where they may not be. With `urgent`, a known
  // slowdown is tolerated: the guard throttles it if it is real.
  bool KeepsSlowdownLimits(const placement_request& request,
                           const vm_slot& slot,
                           bool urgent = false) const;
  // Predicted slowdown that the task adds to latency-critical residents and
  // suffers itself, summed. Zero if nothing is learned about pairs.
  double AddedSlowdown(const placement_request& request,
                       const vm_slot& slot) const;
  // Slowdown that one neighbour adds to a task; zero unless the task's class is
  // latency-critical.
  double InducedSlowdown(class_index victim, class_index neighbour) const;
  // What the task needs on the VM by corrected demand, at most all of it.
  static resources RequiredRoom(const placement_request& request,
                                const vm_slot& slot);
  // A step that visits every VM once, and a random first position.
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
