#include "src/sched/class_table.h"

namespace chiveglade::sched {

void class_table::SetManifest(const config::manifest& manifest) {
  for (auto& known : classes_) {
    known = config::workload_class{.name = known.name};
  }
  for (const auto& declared : manifest.classes) {
    classes_[Index(declared.name)] = declared;
  }
}

class_index class_table::Index(const std::string& name) {
  const auto [it, added] =
      by_name_.emplace(name, static_cast<class_index>(classes_.size()));
  if (added) {
    classes_.push_back(config::workload_class{.name = name});
  }
  return it->second;
}

}  // namespace chiveglade::sched
