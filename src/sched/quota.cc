#include "src/sched/quota.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

double Share(int64_t held, int64_t limit) {
  if (limit <= 0) {
    return held > 0 ? 1 : 0;
  }
  return static_cast<double>(held) / static_cast<double>(limit);
}

}  // namespace

void quota::SetManifest(const config::manifest& manifest) {
  quotas_.clear();
  for (const auto& tenant : manifest.tenants) {
    quotas_.emplace(tenant.name, tenant.quota);
  }
}

void quota::Begin(const std::map<std::string, resources>& usage) {
  usage_ = &usage;
  added_.clear();
}

bool quota::Knows(const std::string& tenant) const {
  return quotas_.contains(tenant);
}

bool quota::Allows(const std::string& tenant, const resources& amount) const {
  const auto limit = quotas_.find(tenant);
  return limit != quotas_.end() &&
         FitsWithin(Held(tenant) + amount, limit->second);
}

void quota::Add(const std::string& tenant, const resources& amount) {
  added_[tenant] += amount;
}

double quota::DominantShare(const std::string& tenant) const {
  const auto limit = quotas_.find(tenant);
  if (limit == quotas_.end()) {
    return 1;
  }
  const resources held = Held(tenant);
  return std::max({Share(held.millicores, limit->second.millicores),
                   Share(held.memory_mib, limit->second.memory_mib),
                   Share(held.accelerators, limit->second.accelerators)});
}

resources quota::Held(const std::string& tenant) const {
  resources held;
  if (usage_ != nullptr) {
    if (const auto it = usage_->find(tenant); it != usage_->end()) {
      held = it->second;
    }
  }
  if (const auto it = added_.find(tenant); it != added_.end()) {
    held += it->second;
  }
  return held;
}

}  // namespace chiveglade::sched
