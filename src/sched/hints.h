// The learned tables as JSON.
#ifndef CHIVEGLADE_SCHED_HINTS_H_
#define CHIVEGLADE_SCHED_HINTS_H_

#include <string>

#include "src/sched/interference_guard.h"

namespace chiveglade::sched {

// The tables that a successor should not have to learn again.
struct learned_tables {
  class_table& classes;
  demand_model& demand;
  interference_model& interference;
  interference_guard& guard;
};

// Ages are counted to `now`, since clocks of two VMs cannot be compared.
std::string WriteHints(const learned_tables& tables, boot_time now);
// Adopts what can be read, as measured at `now`. Returns false if the text is
// not a document of this version.
bool ReadHints(const std::string& text,
               const learned_tables& tables,
               boot_time now);

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_HINTS_H_
