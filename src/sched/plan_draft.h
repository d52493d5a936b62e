// A plan under construction.
#ifndef CHIVEGLADE_SCHED_PLAN_DRAFT_H_
#define CHIVEGLADE_SCHED_PLAN_DRAFT_H_

#include <set>
#include <string>
#include <vector>

#include "chiveglade/sched/planner.h"
#include "src/sched/vm_index.h"

namespace chiveglade::sched {

// Collects events and tracks the tasks that they affect, so that one plan never
// grants or stops a task twice.
class plan_draft {
 public:
  plan_draft(const state::cluster_state& state,
             const cluster_view& view,
             vm_index& index);

  const state::cluster_state& state() const { return state_; }
  const cluster_view& view() const { return view_; }
  boot_time now() const { return view_.now; }

  // Plans to stop a resident. Returns false and plans nothing if the attempt is
  // not starting or running, or is stopping already.
  bool Stop(vm_slot& slot, resident& target, const std::string& why);
  // Plans a start. The task must be pending, and the VM must have room.
  void Grant(vm_slot& slot, const state::task_id& task, resident added);
  void Add(state::event change) { result_.events.push_back(std::move(change)); }
  void Throttle(const state::attempt_id& attempt, uint32_t percent);
  void Explain(const std::string& job, const std::string& why);

  // Returns true if the task is pending and this plan does not start it yet.
  bool CanStart(const state::task_id& task) const;
  size_t starts() const { return granted_.size(); }

  plan Take() { return std::move(result_); }

 private:
  const state::cluster_state& state_;
  const cluster_view& view_;
  vm_index& index_;
  plan result_;
  std::set<state::task_id> granted_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PLAN_DRAFT_H_
