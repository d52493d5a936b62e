#include "src/sched/fair_order.h"

#include <algorithm>
#include <tuple>

namespace chiveglade::sched {

namespace {

// The numbering restarts above this many equivalence classes, to bound memory.
// Numbers are valid within one plan and cached only for known jobs.
constexpr size_t kMaxEquivalenceClasses = 10'000;

}  // namespace

uint32_t fair_order::EquivalenceClassOf(const state::job_spec& spec) {
  std::string key = spec.klass;
  key += '/';
  key += std::to_string(static_cast<int>(spec.priority));
  for (const auto amount : {spec.per_task.millicores, spec.per_task.memory_mib,
                            spec.per_task.accelerators}) {
    key += '/';
    key += std::to_string(amount);
  }
  for (const auto& name : spec.data_centres) {
    key += '/';
    key += name;
  }
  return equivalence_classes_
      .emplace(std::move(key),
               static_cast<uint32_t>(equivalence_classes_.size()))
      .first->second;
}

void fair_order::BeginPlan(const state::cluster_state& state, boot_time now) {
  pending_jobs_.clear();
  if (equivalence_classes_.size() > kMaxEquivalenceClasses) {
    equivalence_classes_.clear();
    for (auto& known : known_) {
      const auto* job = state.FindJob(known.name);
      known.equivalence_class =
          job == nullptr ? 0 : EquivalenceClassOf(job->spec);
    }
  }
  std::vector<known_job> still_pending;
  still_pending.reserve(state.pending().size());
  auto known = known_.begin();
  for (const auto& [name, tasks] : state.pending()) {
    const auto* job = state.FindJob(name);
    if (job == nullptr || tasks.empty()) {
      continue;
    }
    while (known != known_.end() && known->name < name) {
      ++known;
    }
    if (known != known_.end() && known->name == name) {
      still_pending.push_back(std::move(*known));
    } else {
      still_pending.push_back({name, now, EquivalenceClassOf(job->spec)});
    }
    pending_jobs_.push_back({job, &tasks, still_pending.back().pending_since,
                             still_pending.back().equivalence_class});
  }
  known_ = std::move(still_pending);
  for (auto& band : bands_) {
    band = {};
  }
  std::unordered_map<std::string, size_t> positions[4];
  for (const auto& waiting : pending_jobs_) {
    const auto band = static_cast<size_t>(waiting.job->spec.priority);
    auto& workspaces = bands_[band].workspaces;
    const auto [it, added] =
        positions[band].emplace(waiting.job->spec.tenant, workspaces.size());
    if (added) {
      workspaces.push_back({waiting.job->spec.tenant, {}});
    }
    workspaces[it->second].jobs.push_back(&waiting);
  }
  for (auto& band : bands_) {
    for (auto& queue : band.workspaces) {
      std::sort(queue.jobs.begin(), queue.jobs.end(),
                [](const auto* a, const auto* b) {
                  return std::tie(a->pending_since, a->job->spec.name) >
                         std::tie(b->pending_since, b->job->spec.name);
                });
    }
  }
}

const pending_job* fair_order::Next(state::band priority, const quota& quotas) {
  auto& band = bands_[static_cast<size_t>(priority)];
  if (!band.ordered) {
    band.ordered = true;
    for (size_t i = 0; i < band.workspaces.size(); ++i) {
      band.order.emplace(quotas.DominantShare(band.workspaces[i].workspace), i);
    }
  }
  if (band.order.empty()) {
    return nullptr;
  }
  band.offered = *band.order.begin();
  return band.workspaces[band.offered.second].jobs.back();
}

void fair_order::UpdateShare(state::band priority, const quota& quotas) {
  auto& band = bands_[static_cast<size_t>(priority)];
  if (band.order.erase(band.offered) > 0) {
    const auto number = band.offered.second;
    band.offered = {quotas.DominantShare(band.workspaces[number].workspace),
                    number};
    band.order.insert(band.offered);
  }
}

void fair_order::RemoveOffered(state::band priority) {
  auto& band = bands_[static_cast<size_t>(priority)];
  auto& jobs = band.workspaces[band.offered.second].jobs;
  jobs.pop_back();
  if (jobs.empty()) {
    band.order.erase(band.offered);
  }
}

boot_time fair_order::PendingSince(const std::string& job) const {
  const auto it =
      std::lower_bound(known_.begin(), known_.end(), job,
                       [](const known_job& known, const auto& name) {
                         return known.name < name;
                       });
  return it == known_.end() || it->name != job ? boot_time{}
                                               : it->pending_since;
}

}  // namespace chiveglade::sched
