#include "src/sched/fair_order.h"

#include <algorithm>
#include <tuple>

namespace chiveglade::sched {

void fair_order::Begin(const state::cluster_state& state, boot_time now) {
  all_.clear();
  std::unordered_map<std::string, boot_time> still_pending;
  still_pending.reserve(state.pending().size());
  for (const auto& [name, tasks] : state.pending()) {
    const auto* job = state.FindJob(name);
    if (job == nullptr || tasks.empty()) {
      continue;
    }
    const auto known = since_.find(name);
    const boot_time since = known == since_.end() ? now : known->second;
    still_pending.emplace(name, since);
    all_.push_back({job, &tasks, since});
  }
  since_ = std::move(still_pending);
  for (auto& band : bands_) {
    band = {};
  }
  std::unordered_map<std::string, size_t> positions[4];
  for (const auto& waiting : all_) {
    const auto band = static_cast<size_t>(waiting.job->spec.priority);
    auto& tenants = bands_[band].tenants;
    const auto [it, added] =
        positions[band].emplace(waiting.job->spec.tenant, tenants.size());
    if (added) {
      tenants.push_back({waiting.job->spec.tenant, {}});
    }
    tenants[it->second].jobs.push_back(&waiting);
  }
  for (auto& band : bands_) {
    for (auto& queue : band.tenants) {
      std::sort(queue.jobs.begin(), queue.jobs.end(),
                [](const auto* a, const auto* b) {
                  return std::tie(a->since, a->job->spec.name) >
                         std::tie(b->since, b->job->spec.name);
                });
    }
  }
}

const pending_job* fair_order::Next(state::band priority, const quota& shares) {
  auto& band = bands_[static_cast<size_t>(priority)];
  if (!band.ordered) {
    band.ordered = true;
    for (size_t i = 0; i < band.tenants.size(); ++i) {
      band.order.emplace(shares.DominantShare(band.tenants[i].tenant), i);
    }
  }
  if (band.order.empty()) {
    return nullptr;
  }
  band.offered = *band.order.begin();
  return band.tenants[band.offered.second].jobs.back();
}

void fair_order::Charge(state::band priority, const quota& shares) {
  auto& band = bands_[static_cast<size_t>(priority)];
  if (band.order.erase(band.offered) > 0) {
    const auto number = band.offered.second;
    band.offered = {shares.DominantShare(band.tenants[number].tenant), number};
    band.order.insert(band.offered);
  }
}

void fair_order::Drop(state::band priority) {
  auto& band = bands_[static_cast<size_t>(priority)];
  auto& jobs = band.tenants[band.offered.second].jobs;
  jobs.pop_back();
  if (jobs.empty()) {
    band.order.erase(band.offered);
  }
}

boot_time fair_order::Since(const std::string& job) const {
  const auto it = since_.find(job);
  return it == since_.end() ? boot_time{} : it->second;
}

}  // namespace chiveglade::sched
