// Tenants' quotas.
#ifndef CHIVEGLADE_SCHED_QUOTA_H_
#define CHIVEGLADE_SCHED_QUOTA_H_

#include <map>
#include <string>
#include <unordered_map>

#include "chiveglade/config/manifest.h"
#include "chiveglade/core/resources.h"

namespace chiveglade::sched {

// Keeps what each tenant holds in the durable state plus what the current plan
// adds, and compares it with the manifest's quota.
class quota {
 public:
  void SetManifest(const config::manifest& manifest);
  // Starts a plan: `usage` is what the durable state says and must outlive it.
  void BeginPlan(const std::map<std::string, resources>& usage);

  // True if the tenant is declared.
  bool IsDeclared(const std::string& workspace) const;
  // True if the tenant may hold `amount` more.
  bool Allows(const std::string& workspace, const resources& amount) const;
  void Add(const std::string& workspace, const resources& amount);
  // Largest share of its quota that the tenant holds, over all resources.
  double DominantShare(const std::string& workspace) const;

 private:
  resources Held(const std::string& workspace) const;

  std::unordered_map<std::string, resources> quotas_;
  const std::map<std::string, resources>* usage_ = nullptr;
  std::unordered_map<std::string, resources> added_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_QUOTA_H_
