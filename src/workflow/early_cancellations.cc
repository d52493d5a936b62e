#include "chiveglade/workflow/early_cancellations.h"

#include "chiveglade/workflow/job_rows.h"

namespace chiveglade::workflow {

bool early_cancellation_limit::Take(boot_time now) {
  while (!taken_.empty() &&
         now - taken_.front() > kEarlyCancellationRetention) {
    taken_.pop_front();
  }
  if (taken_.size() >= limit_) {
    return false;
  }
  taken_.push_back(now);
  return true;
}

void early_cancellations::Add(const std::string& id,
                              uint64_t version,
                              boot_time now) {
  if (const auto at = known_.find(id);
      at != known_.end() && at->second.version >= version) {
    return;  // A scan reads again what is known.
  }
  Remove(id);
  known_.emplace(id, cancellation{version, now});
  by_age_.emplace(now, id);
}

void early_cancellations::Remove(const std::string& id) {
  if (const auto at = known_.find(id); at != known_.end()) {
    by_age_.erase({at->second.found_at, id});
    known_.erase(at);
  }
}

store::transaction early_cancellations::TakeExpired(boot_time now,
                                                    size_t max_rows) {
  store::transaction out;
  deleting_.clear();
  for (const auto& [found_at, id] : by_age_) {
    if (deleting_.size() >= max_rows ||
        now - found_at <= kEarlyCancellationRetention) {
      break;
    }
    if (deleting_.empty() || id.front() == deleting_.begin()->first.front()) {
      const uint64_t version = known_.at(id).version;
      deleting_.emplace(id, version);
      AppendForgetCancellation(id, version, out);
    }
  }
  return out;
}

void early_cancellations::OnDeleted() {
  for (const auto& [id, version] : deleting_) {
    if (const auto at = known_.find(id);
        at != known_.end() && at->second.version == version) {
      Remove(id);
    }
  }
  deleting_.clear();
}

void early_cancellations::OnNotDeleted(const std::string& conflicting_key) {
  for (const auto& [id, version] : deleting_) {
    if (conflicting_key == kJobPrefix + id ||
        conflicting_key == CancellationKey(id)) {
      // It has been deleted or replaced; a newer row is found anew.
      if (const auto at = known_.find(id);
          at != known_.end() && at->second.version == version) {
        Remove(id);
      }
      break;
    }
  }
  deleting_.clear();
}

}  // namespace chiveglade::workflow
