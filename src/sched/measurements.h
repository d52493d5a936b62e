// Feeds the reports of agents to the models and the interference guard.
#ifndef CHIVEGLADE_SCHED_MEASUREMENTS_H_
#define CHIVEGLADE_SCHED_MEASUREMENTS_H_

#include <map>
#include <optional>
#include <string>

#include "src/sched/interference_guard.h"

namespace chiveglade::sched {

// Buffers the newest report of each VM until the next plan, since the state
// given to the plan tells the classes of the attempts.
class measurements {
 public:
  measurements(const planner_options& options,
               const class_table& classes,
               demand_model& demand,
               interference_model& model,
               interference_guard& guard)
      : options_(options),
        classes_(classes),
        demand_(demand),
        model_(model),
        guard_(guard) {}

  void Observe(const state::heartbeat& report, boot_time now);
  // Updates the models with the reports since the last call, and runs the
  // interference guard on each.
  void ProcessReports(vm_index& index, plan_draft& draft);

 private:
  struct received_report {
    state::heartbeat report;
    boot_time received;
  };
  void ProcessReport(vm_slot& slot,
                     const received_report& entry,
                     plan_draft& draft);
  void UpdateClassAverages(vm_slot& slot, boot_time now) const;
  void Learn(const vm_slot& slot,
             const resident& victim,
             double slowdown,
             boot_time now);

  const planner_options& options_;
  const class_table& classes_;
  demand_model& demand_;
  interference_model& model_;
  interference_guard& guard_;
  std::map<std::string, received_report> pending_reports_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_MEASUREMENTS_H_
