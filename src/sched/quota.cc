#include "src/sched/quota.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

double ShareOf(int64_t held, int64_t limit) {
  if (limit <= 0) {
    return held > 0 ? 1 : 0;
  }
  return static_cast<double>(held) / static_cast<double>(limit);
}

}  // namespace

void quota::SetManifest(const config::manifest& manifest) {
  quotas_.clear();
  for (const auto& workspace : manifest.tenants) {
    quotas_.emplace(workspace.name, workspace.quota);
  }
}

void quota::BeginPlan(const std::map<std::string, resources>& usage) {
  usage_ = &usage;
  added_.clear();
}

bool quota::IsDeclared(const std::string& workspace) const {
  return quotas_.contains(workspace);
}

bool quota::Allows(const std::string& workspace,
                   const resources& amount) const {
  const auto limit = quotas_.find(workspace);
  return limit != quotas_.end() &&
         FitsWithin(Held(workspace) + amount, limit->second);
}

void quota::Add(const std::string& workspace, const resources& amount) {
  added_[workspace] += amount;
}

double quota::DominantShare(const std::string& workspace) const {
  const auto limit = quotas_.find(workspace);
  if (limit == quotas_.end()) {
    return 1;
  }
  const resources held = Held(workspace);
  return std::max({ShareOf(held.millicores, limit->second.millicores),
                   ShareOf(held.memory_mib, limit->second.memory_mib),
                   ShareOf(held.accelerators, limit->second.accelerators)});
}

resources quota::Held(const std::string& workspace) const {
  resources held;
  if (usage_ != nullptr) {
    if (const auto it = usage_->find(workspace); it != usage_->end()) {
      held = it->second;
    }
  }
  if (const auto it = added_.find(workspace); it != added_.end()) {
    held += it->second;
  }
  return held;
}

}  // namespace chiveglade::sched
