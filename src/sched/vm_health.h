// Sets aside VMs that fail everything they start.
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

// A VM is suspect if the last kWindow attempts that it finished all failed, if
// they were of at least kJobs jobs, and if each of these jobs has finished a
// task on another VM. A job that fails everywhere is thus no sign against a VM.
class vm_health {
 public:
  static constexpr size_t kWindowAttempts = 5;
  static constexpr size_t kMinFailedJobs = 3;

  explicit vm_health(const planner_options& options) : options_(options) {}

  // Notes an end. Only kFinished and kFailed say something about the VM.
  void ObserveEnd(const state::attempt_ended& end, const std::string& vm);

  // Plans quarantines, up to the limit, and releases after a good probe.
  void Run(plan_draft& draft, vm_index& index);
  // Names of quarantined VMs whose next probe is due.
  std::vector<std::string> DueProbes(const plan_draft& draft,
                                     vm_index& index) const;
  // Plans the record of a probe that starts now on the VM.
  void RecordProbe(const std::string& vm, plan_draft& draft);

  // VMs on which a task has failed; null if there are none.
  const std::vector<std::string>* FailedOn(const state::task_id& task) const;

 private:
  struct history {
    std::deque<std::pair<std::string, bool>> ends;  // job, failed; newest last
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
  std::set<std::string> vms_to_check_;  // VMs with a new failure
  std::map<std::string, probe_state> probes_;
  // Up to two VMs on which a job has finished a task. Oldest jobs go first.
  std::unordered_map<std::string, std::vector<std::string>> successes_;
  std::deque<std::string> success_order_;
  std::map<state::task_id, std::vector<std::string>> failed_on_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_VM_HEALTH_H_
