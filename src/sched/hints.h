// Saves and loads the learned tables as JSON.
#ifndef CHIVEGLADE_SCHED_HINTS_H_
#define CHIVEGLADE_SCHED_HINTS_H_

#include <string>

#include "src/sched/interference_guard.h"

namespace chiveglade::sched {

// The tables that survive a failover of the scheduler.
struct learned_tables {
  class_table& classes;
  demand_model& demand;
  interference_model& interference;
  interference_guard& guard;
};

// Returns the tables as JSON. Confidence is decayed to `now` before it is
// written, since boot clocks of two VMs cannot be compared.
std::string WriteHints(const learned_tables& tables, boot_time now);
// Restores all valid entries as if measured at `now`, and skips the others.
// Returns false if the text is not a document of this version.
bool ReadHints(const std::string& text,
               const learned_tables& tables,
               boot_time now);

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_HINTS_H_
