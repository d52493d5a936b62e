// Throttles and evicts neighbours of slowed latency-critical tasks.
#ifndef CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_
#define CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_

#include <map>
#include <optional>
#include <string>

#include "src/sched/interference_model.h"
#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

// One control loop per VM. Three reports in a row above a limit throttle the
// neighbour with the greatest learned effect to 50%, then 25%. If that has not
// helped after 10 s and the gain outweighs the work lost, it is evicted. After
// 10 s below 90% of the limit, throttles are lifted in steps; a lift that is
// followed by a new throttle doubles the wait for the next one.
class interference_guard {
 public:
  interference_guard(const planner_options& options,
                     const class_table& classes,
                     const interference_model& model)
      : options_(options), classes_(classes), model_(model) {}

  // Acts on a new report of the VM. `worst` is the largest measured slowdown of
  // a latency-critical resident as a share of its limit; none: not measured.
  void OnReport(vm_slot& slot, std::optional<double> worst, plan_draft& draft);

  // Forgets VMs that are gone. Called once a plan.
  void Trim(const vm_index& index);

  // Share of its processors that an attempt has, 1 if not throttled.
  double Speed(const std::string& vm, const state::attempt_id& attempt) const;

  struct throttle {
    uint32_t percent = 100;
    boot_time changed;
    boot_time sent;
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
  static void DropEnded(const vm_slot& slot, watch& seen);
  void Tighten(vm_slot& slot, watch& seen, plan_draft& draft);
  void Evict(vm_slot& slot, watch& seen, plan_draft& draft);
  void Lift(vm_slot& slot, watch& seen, plan_draft& draft);
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
