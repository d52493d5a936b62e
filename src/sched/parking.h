// Parks jobs that fit no VM.
#ifndef CHIVEGLADE_SCHED_PARKING_H_
#define CHIVEGLADE_SCHED_PARKING_H_

#include <string>
#include <vector>

#include "src/sched/fair_order.h"
#include "src/sched/plan_draft.h"

namespace chiveglade::sched {

// A job whose tasks are larger than every known VM in its data centres, in
// service or not, is parked with the missing resource as the reason, and
// released when a VM joins that is large enough. Jobs parked for other reasons
// are not touched.
class parking {
 public:
  // Prefix of the reasons for parking that this class sets.
  static constexpr const char* kPrefix = "no VM fits: ";

  explicit parking(const planner_options& options) : options_(options) {}

  void Run(const vm_index& index, const fair_order& order, plan_draft& draft);

 private:
  struct vm_shape {
    std::string data_centre;
    resources capacity;
    friend bool operator==(const vm_shape&, const vm_shape&) = default;
  };
  void CollectVmShapes(const vm_index& index);
  bool Fits(const state::job_spec& spec) const;
  std::string Reason(const state::job_spec& spec) const;
  void ReleaseFitting(plan_draft& draft) const;

  const planner_options& options_;
  std::vector<vm_shape> vm_shapes_;  // distinct shapes of all known VMs
  uint64_t generation_ = 0;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_PARKING_H_
