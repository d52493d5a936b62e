#include "chiveglade/workflow/pacer.h"

#include <algorithm>
#include <cmath>

#include "chiveglade/workflow/headroom.h"

namespace chiveglade::workflow {

namespace {

constexpr double kFullPercent = 100;
// A best-effort run that contributes no more than this share of the total
// impact on a task is not throttled for it.
constexpr double kNegligibleImpactShare = 0.1;
// If all best-effort runs together take less than this of a task's headroom,
// they do not explain why its latency is too high.
constexpr double kMinExplainingImpact = 0.15;

}  // namespace

double pacer::FactorFor(const interference_sample::serving_task& task,
                        bool unexplained,
                        double run_impact,
                        double total_impact) const {
  if (run_impact <= kNegligibleImpactShare * total_impact) {
    return options_.max_step_factor;
  }
  const double needed = HeadroomAt(options_.setpoint);
  if (task.ratio > options_.throttle_above) {
    if (unexplained) {
      return 1;
    }
    return std::max(options_.min_step_factor,
                    1 - (needed - HeadroomAt(task.ratio)) / total_impact);
  }
  // The slack is shared by the best-effort runs that affect this task. The
  // smoothed measurement must have fallen too, since the estimate derived from
  // it is rough.
  const double highest = std::max(task.ratio, task.measured);
  return 1 + std::max(0.0, HeadroomAt(highest) - needed) / total_impact;
}

void pacer::Update(
    const std::map<run_key, interference_sample::serving_task>& serving,
    const std::vector<best_effort_run>& best_effort_runs,
    boot_time now) {
  admitted_since_sample_.clear();
  interference_sample sample{serving, {}};
  for (const auto& best_effort : best_effort_runs) {
    sample.best_effort_tasks.push_back({best_effort.image, best_effort.cores});
  }
  model_.Learn(last_sample_, sample);
  last_sample_ = sample;

  std::map<run_key, boot_time> over_target_since;
  bool pause = false;
  for (const auto& [run, task] : serving) {
    if (task.measured > 1) {
      const auto at = over_target_since_.find(run);
      const auto since = at == over_target_since_.end() ? now : at->second;
      over_target_since[run] = since;
      pause = pause || now - since >= options_.pause_after;
    }
  }
  over_target_since_ = std::move(over_target_since);

  std::map<run_key, uint32_t> unexplained;
  std::map<run_key, double> factors;
  for (const auto& [run, task] : serving) {
    double total_impact = 0;
    for (const auto& best_effort : best_effort_runs) {
      total_impact +=
          model_.Weight(best_effort.image, task.image) * best_effort.cores;
    }
    bool load_suspected = false;
    if (task.ratio > options_.throttle_above &&
        total_impact < kMinExplainingImpact) {
      const auto at = unexplained_samples_.find(run);
      const uint32_t samples =
          at == unexplained_samples_.end() ? 1 : at->second + 1;
      unexplained[run] = samples;
      load_suspected = samples <= options_.max_unexplained_samples;
    }
    for (const auto& best_effort : best_effort_runs) {
      const double run_impact =
          model_.Weight(best_effort.image, task.image) * best_effort.cores;
      auto& factor =
          factors.try_emplace(best_effort.run, options_.max_step_factor)
              .first->second;
      factor = std::min(factor, FactorFor(task, load_suspected, run_impact,
                                          std::max(total_impact, 1e-6)));
    }
  }
  unexplained_samples_ = std::move(unexplained);

  std::map<run_key, uint32_t> next;
  for (const auto& best_effort : best_effort_runs) {
    const double before = PercentOf(best_effort.run);
    const auto at = factors.find(best_effort.run);
    const double factor =
        at == factors.end() ? options_.max_step_factor : at->second;
    double percent = before * factor;
    if (factor > 1) {
      percent += options_.max_step_points * std::min(1.0, factor - 1);
    }
    next[best_effort.run] =
        pause ? 0
              : static_cast<uint32_t>(std::clamp(
                    std::round(percent),
                    static_cast<double>(options_.min_percent), kFullPercent));
  }
  percents_ = std::move(next);
}

uint32_t pacer::Admit(const best_effort_run& best_effort) {
  double share = 1;
  for (const auto& [run, task] : last_sample_.serving) {
    const double added_impact =
        model_.Weight(best_effort.image, task.image) * best_effort.wanted_cores;
    double slack = HeadroomAt(std::max(task.ratio, task.measured)) -
                   HeadroomAt(options_.setpoint);
    for (const auto& other : admitted_since_sample_) {
      slack -= model_.Weight(other.image, task.image) * other.cores;
    }
    if (added_impact > std::max(0.0, slack)) {
      share = std::min(share, std::max(0.0, slack) / added_impact);
    }
  }
  admitted_since_sample_.push_back(
      {best_effort.image, best_effort.wanted_cores * share});
  // The model may overestimate the impact, so a best-effort run starts with at
  // least this share; the first samples correct it.
  constexpr double kMinStartShare = 0.1;
  const auto percent = static_cast<uint32_t>(
      std::round(kFullPercent * std::max(kMinStartShare, share)));
  percents_[best_effort.run] = percent;
  return percent;
}

uint32_t pacer::PercentOf(const run_key& run) const {
  const auto at = percents_.find(run);
  return at == percents_.end() ? static_cast<uint32_t>(kFullPercent)
                               : at->second;
}

uint32_t pacer::lowest_percent() const {
  auto out = static_cast<uint32_t>(kFullPercent);
  for (const auto& [run, percent] : percents_) {
    out = std::min(out, percent);
  }
  return out;
}

}  // namespace chiveglade::workflow
