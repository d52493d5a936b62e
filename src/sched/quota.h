// Quotas of workspaces.
#ifndef CHIVEGLADE_SCHED_QUOTA_H_
#define CHIVEGLADE_SCHED_QUOTA_H_

#include <map>
#include <string>
#include <unordered_map>

#include "chiveglade/config/manifest.h"
#include "chiveglade/core/resources.h"

namespace chiveglade::sched {

// Tracks what each workspace holds in the durable state plus what the current
// plan adds, and checks it against the manifest's quota.
class quota {
 public:
  void SetManifest(const config::manifest& manifest);
  // Resets what the plan adds. `usage` is what each workspace holds in the
  // durable state, and must outlive the plan.
  void BeginPlan(const std::map<std::string, resources>& usage);

  // Returns true if the manifest declares the workspace.
  bool IsDeclared(const std::string& workspace) const;
  // Returns true if `amount` more stays within the workspace's quota.
  bool Allows(const std::string& workspace, const resources& amount) const;
  void Add(const std::string& workspace, const resources& amount);
  // Returns the largest share of its quota that the workspace holds, over all
  // resources; 1 if it is not declared.
  double DominantShare(const std::string& workspace) const;

 private:
  resources Held(const std::string& workspace) const;

  std::unordered_map<std::string, resources> quotas_;
  const std::map<std::string, resources>* usage_ = nullptr;
  std::unordered_map<std::string, resources> added_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_QUOTA_H_
