// Quarantines VMs on which all attempts fail.
#ifndef CHIVEGLADE_SCHED_VM_HEALTH_H_
#define CHIVEGLADE_SCHED_VM_HEALTH_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chiveglade/sched/planner_options.h"
#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

// A VM is suspect if the last kWindowAttempts attempts that finished or failed
// on it all failed, belonged to at least kMinFailedJobs jobs, and each of these
// jobs has finished a task on another VM. A job that fails everywhere thus does
// not count against a VM.
class vm_health {
 public:
  static constexpr size_t kWindowAttempts = 5;
  static constexpr size_t kMinFailedJobs = 3;

  explicit vm_health(const planner_options& options) : options_(options) {}

  // Records the end of an attempt. Ignores all ends but kFinished and kFailed,
  // since the others say nothing about the VM.
  void ObserveEnd(const state::attempt_ended& end, const std::string& vm);

  // Quarantines suspect VMs, up to the limit, and releases those whose probe
  // has finished successfully.
  void Run(plan_draft& draft, vm_index& index);
  // Returns the names of quarantined VMs whose next probe is due.
  std::vector<std::string> DueProbes(const plan_draft& draft,
                                     vm_index& index) const;
  // Records that a probe starts now on the VM.
  void RecordProbe(const std::string& vm, plan_draft& draft);

  // Returns the VMs on which a task has failed; null if there are none.
  const std::vector<std::string>* FailedOn(const state::task_id& task) const;

 private:
  struct history {
    // (job, failed), newest last.
    std::deque<std::pair<std::string, bool>> ends;
  };
  struct probe_state {
    boot_time next_at;
    bool passed = false;
  };
  bool IsSuspect(const std::string& vm, const history& vm_history) const;
  bool SucceedsElsewhere(const std::string& job, const std::string& vm) const;
  millis ProbeDelay(uint32_t probes) const;
  void RecordSuccess(const std::string& job, const std::string& vm);

  const planner_options& options_;
  std::map<std::string, history> histories_;
  std::set<std::string> vms_to_check_;  // VMs that may have become suspect
  std::map<std::string, probe_state> probes_;
  // Up to two VMs on which a job has finished a task. The job whose first
  // success is oldest is dropped first.
  std::unordered_map<std::string, std::vector<std::string>> successes_;
  std::deque<std::string> success_order_;
  std::map<state::task_id, std::vector<std::string>> failed_on_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_VM_HEALTH_H_
