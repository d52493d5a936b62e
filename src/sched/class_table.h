// Maps names of workload classes to indices.
#ifndef CHIVEGLADE_SCHED_CLASS_TABLE_H_
#define CHIVEGLADE_SCHED_CLASS_TABLE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "chiveglade/config/manifest.h"

namespace chiveglade::sched {

using class_index = uint16_t;

// Assigns each class name an index that stays the same for the lifetime of the
// table, so that learned tables remain valid across manifests.
class class_table {
 public:
  // Adopts the properties of the manifest's classes. Classes that it no longer
  // declares get the defaults, those of a batch class.
  void SetManifest(const config::manifest& manifest);

  // Returns the index of a name, and adds the name if it is new.
  class_index Index(const std::string& name);

  // Returns the properties from the manifest, or defaults if it does not
  // declare the class.
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
