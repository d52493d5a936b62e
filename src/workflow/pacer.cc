#include "chiveglade/workflow/pacer.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::workflow {

namespace {

constexpr double kFull = 100;
// A filler to which less than this share of the disturbance is due is left
// alone.
constexpr double kSmallShare = 0.1;
// Fillers that raise a task's ratio by less than this do not explain why it is
// over its target.
constexpr double kExplains = 0.15;

}  // namespace

double pacer::FactorFor(const interference_sample::serving_task& task,
                        bool unexplained,
                        double mine,
                        double all) const {
  if (mine <= kSmallShare * all) {
    return options_.most_increase;
  }
  if (task.ratio > options_.high) {
    if (unexplained) {
      return 1;
    }
    return std::max(options_.most_reduction,
                    1 - (task.ratio - options_.aim) / all);
  }
  // Room is shared by those that disturb this task. The measurement must have
  // come down too, since the estimate of what it points to is rough.
  const double highest = std::max(task.ratio, task.measured);
  return 1 + std::max(0.0, options_.aim - highest) / all;
}

void pacer::Update(
    const std::map<run_key, interference_sample::serving_task>& serving,
    const std::vector<paced_run>& fillers,
    boot_time now) {
  admitted_.clear();
  interference_sample sample{serving, {}};
  for (const auto& filler : fillers) {
    sample.best_effort_tasks.push_back({filler.image, filler.cores});
  }
  model_.Learn(last_, sample);
  last_ = sample;

  std::map<run_key, boot_time> over_since;
  bool pause = false;
  for (const auto& [run, task] : serving) {
    if (task.measured > 1) {
      const auto at = over_since_.find(run);
      const auto since = at == over_since_.end() ? now : at->second;
      over_since[run] = since;
      pause = pause || now - since >= options_.pause_after;
    }
  }
  over_since_ = std::move(over_since);

  std::map<run_key, uint32_t> unexplained;
  std::map<run_key, double> factors;
  for (const auto& [run, task] : serving) {
    double all = 0;
    for (const auto& filler : fillers) {
      all += model_.Weight(filler.image, task.image) * filler.cores;
    }
    bool wait = false;
    if (task.ratio > options_.high && all < kExplains) {
      const auto at = unexplained_.find(run);
      const uint32_t samples = at == unexplained_.end() ? 1 : at->second + 1;
      unexplained[run] = samples;
      wait = samples <= options_.unexplained_samples;
    }
    for (const auto& filler : fillers) {
      const double mine =
          model_.Weight(filler.image, task.image) * filler.cores;
      auto& factor =
          factors.try_emplace(filler.run, options_.most_increase).first->second;
      factor =
          std::min(factor, FactorFor(task, wait, mine, std::max(all, 1e-6)));
    }
  }
  unexplained_ = std::move(unexplained);

  std::map<run_key, uint32_t> next;
  for (const auto& filler : fillers) {
    const double before = PercentOf(filler.run);
    const auto at = factors.find(filler.run);
    const double factor =
        at == factors.end() ? options_.most_increase : at->second;
    double percent = before * factor;
    if (factor > 1) {
      percent += options_.step_up * std::min(1.0, factor - 1);
    }
    next[filler.run] =
        pause ? 0
              : static_cast<uint32_t>(std::clamp(
                    std::round(percent),
                    static_cast<double>(options_.min_percent), kFull));
  }
  percents_ = std::move(next);
}

uint32_t pacer::Admit(const paced_run& filler) {
  double share = 1;
  for (const auto& [run, task] : last_.serving) {
    const double adds =
        model_.Weight(filler.image, task.image) * filler.wanted_cores;
    double room = options_.aim - std::max(task.ratio, task.measured);
    for (const auto& other : admitted_) {
      room -= model_.Weight(other.image, task.image) * other.cores;
    }
    if (adds > std::max(0.0, room)) {
      share = std::min(share, std::max(0.0, room) / adds);
    }
  }
  admitted_.push_back({filler.image, filler.wanted_cores * share});
  // The model may be wrong: the first measurements show.
  constexpr double kLowestStart = 0.1;
  const auto percent =
      static_cast<uint32_t>(std::round(kFull * std::max(kLowestStart, share)));
  percents_[filler.run] = percent;
  return percent;
}

uint32_t pacer::PercentOf(const run_key& run) const {
  const auto at = percents_.find(run);
  return at == percents_.end() ? static_cast<uint32_t>(kFull) : at->second;
}

uint32_t pacer::lowest() const {
  auto out = static_cast<uint32_t>(kFull);
  for (const auto& [run, percent] : percents_) {
    out = std::min(out, percent);
  }
  return out;
}

}  // namespace chiveglade::workflow
