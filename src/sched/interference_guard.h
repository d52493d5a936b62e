// Throttles and evicts neighbours of slowed latency-critical tasks.
#ifndef CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_
#define CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/sched/interference_model.h"
#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

// The measured slowdown of a latency-critical attempt against its limit.
struct slowdown_reading {
  double share = 0;     // of the limit: 1 is at the limit
  double headroom = 0;  // limit minus slowdown, as a share of the run time
};

// One control loop per VM. Three reports in a row above a limit throttle the
// neighbours with the greatest learned effects to 50%, then 25%, as many at a
// time as their effects need to make up the excess. If that has not
// helped after 10 s and the gain outweighs the work lost, it is evicted. After
// 10 s below 90% of the limit, throttles are lifted in steps, as many at a time
// as the headroom allows; a lift that is
// followed by a new throttle doubles the wait for the next one.
class interference_guard {
 public:
  interference_guard(const planner_options& options,
                     const class_table& classes,
                     const interference_model& model)
      : options_(options), classes_(classes), model_(model) {}

  // Acts on a new report of the VM. `worst` is the reading of the resident that
  // is nearest its limit or furthest above it; none: not measured.
  void OnReport(vm_slot& slot,
                std::optional<slowdown_reading> worst,
                plan_draft& draft);

  // Forgets VMs that are gone. Called once a plan.
  void Trim(const vm_index& index);

  // True if any attempt on the VM is throttled.
  bool Throttles(const std::string& vm) const;
  // Share of its processors that an attempt has, 1 if not throttled.
  double Speed(const std::string& vm, const state::attempt_id& attempt) const;

  struct throttle {
    uint32_t percent = 100;
    boot_time changed;
    boot_time sent;
    boot_time since;  // when it was first throttled
  };
  // Throttled attempts by VM, for saving.
  std::map<std::string, std::map<state::attempt_id, throttle>> Throttles()
      const;
  // Adopts a throttle that a predecessor set.
  void Adopt(const std::string& vm,
             const state::attempt_id& attempt,
             uint32_t percent,
             boot_time now);

 private:
  struct watch {
    uint32_t over = 0;  // reports in a row above the limit
    std::optional<boot_time> calm_since;
    std::optional<boot_time> last_step;
    std::optional<boot_time> last_lift;
    millis lift_wait{0};
    bool above = false;
    std::map<state::attempt_id, throttle> throttles;
  };
  static uint32_t PercentOf(const watch& seen,
                            const state::attempt_id& attempt);
  static void DropEnded(const vm_slot& slot, watch& seen);
  void Tighten(vm_slot& slot, watch& seen, double excess, plan_draft& draft);
  // The neighbour whose throttling helps most; null if none is left.
  const resident* Strongest(const vm_slot& slot,
                            const watch& seen,
                            const std::set<state::attempt_id>& skip) const;
  const resident* Mildest(const vm_slot& slot,
                          const watch& seen,
                          const std::set<state::attempt_id>& skip) const;
  // Work gained by moving a neighbour: what it slows others by, and what it
  // loses itself by being throttled.
  double Gain(const vm_slot& slot,
              const watch& seen,
              const resident& neighbour) const;
  // Evicts a neighbour that has needed throttling for long, if the gain
  // outweighs the work lost.
  void EvictStuck(vm_slot& slot, watch& seen, plan_draft& draft);
  void Evict(vm_slot& slot, watch& seen, plan_draft& draft);
  void Lift(vm_slot& slot, watch& seen, double headroom, plan_draft& draft);
  void Repeat(watch& seen, plan_draft& draft);
  void Set(watch& seen,
           const state::attempt_id& attempt,
           uint32_t percent,
           plan_draft& draft);
  // Sum of the learned slowdowns that a neighbour adds to the VM's
  // latency-critical residents at full speed.
  double Harm(const vm_slot& slot, const resident& neighbour) const;
  bool Adjustable(const resident& neighbour) const;
  bool WaveOfNoise() const;

  const planner_options& options_;
  const class_table& classes_;
  const interference_model& model_;
  std::map<std::string, watch> watches_;
  uint64_t generation_ = 0;  // of the index, at the last Trim
  size_t above_ = 0;         // watches with a slowdown above the limit
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_
