// Workload classes by number.
#ifndef CHIVEGLADE_SCHED_CLASS_TABLE_H_
#define CHIVEGLADE_SCHED_CLASS_TABLE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "chiveglade/config/manifest.h"

namespace chiveglade::sched {

using class_index = uint16_t;

// Gives each class name a small number that never changes while the table
// lives, so that learned tables outlast a new manifest.
class class_table {
 public:
  // Adopts the properties of the manifest's classes. Classes that are no
  // longer declared become ordinary batch classes.
  void SetManifest(const config::manifest& manifest);

  // The number of a name; a name not seen before gets a new one.
  class_index Index(const std::string& name);

  // Properties of a class: the manifest's, or defaults.
  const config::workload_class& at(class_index index) const {
    return classes_[index];
  }
  size_t size() const { return classes_.size(); }

 private:
  std::vector<config::workload_class> classes_;
  std::unordered_map<std::string, class_index> by_name_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_CLASS_TABLE_H_
