// The scheduler's durable state: what the journal and its snapshots hold.
#ifndef CHIVEGLADE_STATE_CLUSTER_STATE_H_
#define CHIVEGLADE_STATE_CLUSTER_STATE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "chiveglade/core/result.h"
#include "chiveglade/state/event.h"
#include "chiveglade/state/job.h"

namespace chiveglade::state {

// A VM known to the scheduler, with what is committed on it.
struct vm {
  vm_id id;
  std::string data_centre;
  std::string rack;
  resources capacity;
  resources committed;      // sum over the attempts that hold it
  std::set<task_id> tasks;  // those attempts' tasks

  friend bool operator==(const vm&, const vm&) = default;
};

// Value type. Apply checks every invariant before it changes anything, so a
// state can never hold a VM committed beyond its capacity, a task with two
// live attempts, or an attempt on a VM that is not there. Not thread-safe.
class cluster_state {
 public:
  // Applies one event, or changes nothing and says which rule it would break.
  result<done> Apply(const event& change);

  // Jobs by name, without retired ones.
  const std::map<std::string, job>& jobs() const { return jobs_; }
  // VMs by name.
  const std::map<std::string, vm>& vms() const { return vms_; }
  // Names that an operator has drained, also those of VMs not there now.
  const std::set<std::string>& drained() const { return drained_; }
  // Names set aside for failing what they start, with their probe count.
  const std::map<std::string, uint32_t>& quarantined() const {
    return quarantined_;
  }
  // Pending tasks by job name, for jobs that are neither parked nor cancelled.
  const std::map<std::string, std::set<uint32_t>>& pending() const {
    return pending_;
  }
  // What each tenant's live attempts hold, by tenant.
  const std::map<std::string, resources>& usage() const { return usage_; }
  // Outcomes of absorbed commands, the newest kCommandsKept of them.
  const std::map<std::string, command_done>& commands() const {
    return commands_;
  }

  const job* FindJob(const std::string& name) const;
  const task* FindTask(const task_id& id) const;
  const vm* FindVm(const std::string& name) const;
  // True if the name was ever submitted, also after the job was retired.
  bool NameTaken(const std::string& job_name) const;

  // True if this incarnation was replaced or its VM was declared gone. Its
  // delayed messages must not be taken for those of a new VM.
  bool IsPast(const vm_id& id) const { return past_vms_.contains(id); }

  // Number of command outcomes kept for askers that come back.
  static constexpr size_t kCommandsKept = 10'000;
  // Number of retired job names kept: about two weeks at 6,200 jobs a day.
  static constexpr size_t kRetiredNamesKept = 100'000;
  // Number of past incarnations kept: three months at 210 replacements a day.
  static constexpr size_t kPastVmsKept = 20'000;

  friend bool operator==(const cluster_state&, const cluster_state&) = default;

 private:
  friend class snapshot_codec;
  friend class snapshot_builder;

  result<done> On(const job_submitted& change);
  result<done> On(const job_cancelled& change);
  result<done> On(const job_parked& change);
  result<done> On(const job_resized& change);
  result<done> On(const job_retired& change);
  result<done> On(const attempt_granted& change);
  result<done> On(const attempt_running& change);
  result<done> On(const attempt_stopping& change);
  result<done> On(const attempt_ended& change);
  result<done> On(const vm_joined& change);
  result<done> On(const vm_left& change);
  result<done> On(const vm_drained& change);
  result<done> On(const vm_quarantined& change);
  result<done> On(const command_done& change);

  job* MutableJob(const std::string& name);
  // The task if `id` is its newest attempt and holds a VM, or null.
  task* LiveTask(const attempt_id& id);
  // Adds to or removes from pending(), by the task's phase and its job's.
  void IndexTask(const task_id& id, const job& owner);
  void IndexJob(const std::string& name, const job& owner);
  void Hold(const attempt_id& id, const job& owner, vm& on);
  void ReleaseHold(const task_id& id, const job& owner, const vm_id& on);
  void RememberPast(const vm_id& id);

  std::map<std::string, job> jobs_;
  std::map<std::string, vm> vms_;
  std::set<std::string> drained_;
  std::map<std::string, uint32_t> quarantined_;
  std::map<std::string, std::set<uint32_t>> pending_;
  std::map<std::string, resources> usage_;
  std::map<std::string, command_done> commands_;
  std::deque<std::string> command_order_;  // oldest first
  std::set<std::string> retired_;
  std::deque<std::string> retired_order_;  // oldest first
  std::set<vm_id> past_vms_;
  std::deque<vm_id> past_vms_order_;  // oldest first
};

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_CLUSTER_STATE_H_
