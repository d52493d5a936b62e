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
  bool HasThrottles(const std::string& vm) const;
  // Share of its processors that an attempt has, 1 if not throttled.
  double CpuShare(const std::string& vm,
                  const state::attempt_id& attempt) const;

  struct throttle {
    uint32_t percent = 100;
    boot_time changed_at;
    boot_time sent_at;
    boot_time throttled_since;  // when it was first throttled
  };
  // Throttled attempts by VM, for saving.
  std::map<std::string, std::map<state::attempt_id, throttle>> Throttles()
      const;
  // Adopts a throttle that a predecessor set.
  void RestoreThrottle(const std::string& vm,
                       const state::attempt_id& attempt,
                       uint32_t percent,
                       boot_time now);

 private:
  struct vm_control {
    uint32_t reports_over_limit = 0;  // reports in a row above the limit
    std::optional<boot_time> low_since;
    std::optional<boot_time> last_increase;
    std::optional<boot_time> last_release;
    millis release_backoff{0};
    bool above_limit = false;
    std::map<state::attempt_id, throttle> throttles;
  };
  static uint32_t PercentOf(const vm_control& control,
                            const state::attempt_id& attempt);
  static void DropEndedAttempts(const vm_slot& slot, vm_control& control);
  void IncreaseThrottles(vm_slot& slot,
                         vm_control& control,
                         double excess,
                         plan_draft& draft);
  // The neighbour whose throttling helps most; null if none is left.
  const resident* MostHarmful(const vm_slot& slot,
                              const vm_control& control,
                              const std::set<state::attempt_id>& skip) const;
  const resident* LeastHarmful(const vm_slot& slot,
                               const vm_control& control,
                               const std::set<state::attempt_id>& skip) const;
  // Work gained by moving a neighbour: what it slows others by, and what it
  // loses itself by being throttled.
  double EvictionGain(const vm_slot& slot,
                      const vm_control& control,
                      const resident& neighbour) const;
  // Evicts a neighbour that has needed throttling for long, if the gain
  // outweighs the work lost.
  void EvictLongThrottled(vm_slot& slot,
                          vm_control& control,
                          plan_draft& draft);
  void Evict(vm_slot& slot, vm_control& control, plan_draft& draft);
  void ReleaseThrottles(vm_slot& slot,
                        vm_control& control,
                        double headroom,
                        plan_draft& draft);
  void ResendThrottles(vm_control& control, plan_draft& draft);
  void SetThrottle(vm_control& control,
                   const state::attempt_id& attempt,
                   uint32_t percent,
                   plan_draft& draft);
  // Sum of the learned slowdowns that a neighbour adds to the VM's
  // latency-critical residents at full speed.
  double InducedSlowdown(const vm_slot& slot, const resident& neighbour) const;
  bool IsThrottleable(const resident& neighbour) const;
  bool IsClusterWideSlowdown() const;

  const planner_options& options_;
  const class_table& classes_;
  const interference_model& model_;
  std::map<std::string, vm_control> vm_controls_;
  uint64_t generation_ = 0;     // of the index, at the last Trim
  size_t vms_above_limit_ = 0;  // watches with a slowdown above the limit
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_
