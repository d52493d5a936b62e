// Protects latency-critical tasks by throttling and evicting their neighbours.
#ifndef CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_
#define CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/sched/interference_model.h"
#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

// The measured slowdown of a latency-critical attempt, relative to its limit.
struct slowdown_reading {
  double share = 0;     // slowdown / limit
  double headroom = 0;  // limit - slowdown, as shares of the run time
};

// Runs one control loop per VM. After three consecutive reports above the
// limit, it throttles the neighbours with the largest learned effects to 50%,
// then to 25%, as many at a time as it takes to offset the excess. If all are
// at 25% and the limit is still exceeded 10 s after the last step, it evicts
// the neighbour with the largest effect, provided that the gain outweighs the
// lost work. After 10 s below 90% of the limit it releases throttles in steps,
// as many at a time as the headroom allows. If throttling is needed again
// within a minute of a release, the wait before the next release doubles.
class interference_guard {
 public:
  interference_guard(const planner_options& options,
                     const class_table& classes,
                     const interference_model& model)
      : options_(options), classes_(classes), model_(model) {}

  // Handles a new report of the VM. `worst` is the reading with the largest
  // share of its limit; empty if no slowdown was measured.
  void OnReport(vm_slot& slot,
                std::optional<slowdown_reading> worst,
                plan_draft& draft);

  // Drops the state of VMs that have left the index. Called once per plan.
  void DropAbsentVms(const vm_index& index);

  // Returns true if there is a throttle for any attempt on the VM.
  bool HasThrottles(const std::string& vm) const;
  // Returns the share of its processors that an attempt may use; 1 if it is not
  // throttled.
  double CpuShare(const std::string& vm,
                  const state::attempt_id& attempt) const;

  struct throttle {
    uint32_t percent = 100;
    boot_time changed_at;
    boot_time sent_at;
    boot_time throttled_since;  // when the attempt was first throttled
  };
  // Returns all throttles by VM, for saving.
  std::map<std::string, std::map<state::attempt_id, throttle>> Throttles()
      const;
  // Restores a throttle that the previous scheduler set.
  void RestoreThrottle(const std::string& vm,
                       const state::attempt_id& attempt,
                       uint32_t percent,
                       boot_time now);

 private:
  struct vm_control {
    uint32_t reports_over_limit = 0;  // consecutive reports above the limit
    // Since when the slowdown is below kReleaseThreshold, or since the last
    // release; empty while it is not below.
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
  // Returns the neighbour whose effect at its current throttle is largest,
  // among those that can be throttled further and are not in `skip`; null if
  // there is none.
  const resident* MostHarmful(const vm_slot& slot,
                              const vm_control& control,
                              const std::set<state::attempt_id>& skip) const;
  // Returns the throttled neighbour with the smallest effect at full speed that
  // is not in `skip`; null if there is none.
  const resident* LeastHarmful(const vm_slot& slot,
                               const vm_control& control,
                               const std::set<state::attempt_id>& skip) const;
  // Returns the work gained by evicting a neighbour, in milliseconds: the
  // slowdown that it causes at its current throttle, and the work that it loses
  // itself by being throttled.
  double EvictionGain(const vm_slot& slot,
                      const vm_control& control,
                      const resident& neighbour) const;
  // Evicts the neighbour with the largest net gain among those throttled for at
  // least kMaxThrottledTime, if the gain outweighs the lost work.
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
  // Returns the sum of the learned slowdowns that a neighbour at full speed
  // adds to the VM's latency-critical residents.
  double InducedSlowdown(const vm_slot& slot, const resident& neighbour) const;
  bool IsThrottleable(const resident& neighbour) const;
  bool IsClusterWideSlowdown() const;

  const planner_options& options_;
  const class_table& classes_;
  const interference_model& model_;
  std::map<std::string, vm_control> vm_controls_;
  uint64_t generation_ = 0;     // of the index at the last DropAbsentVms
  size_t vms_above_limit_ = 0;  // VMs whose last report was above the limit
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_INTERFERENCE_GUARD_H_
