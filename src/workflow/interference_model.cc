#include "chiveglade/workflow/interference_model.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::workflow {

namespace {

// Share of the error that one sample corrects: two samples a second for each
// VM, and disturbance that changes within seconds.
constexpr double kLearningRate = 0.3;
// The same where a task suffers more than predicted: harm counts at once.
constexpr double kHarmLearningRate = 0.7;
// Keeps small changes of the fillers from explaining everything.
constexpr double kRegularisation = 0.5;
// Changes beyond this say no more than that the pair is harmful.
constexpr double kLargestChange = 3;
constexpr double kLargestWeight = 5;
constexpr double kSmallestWeight = 0.01;
// Changes of the fillers below this, in cores, are noise.
constexpr double kSmallestChange = 0.2;
// Time constant of the smoothing: figures are for the last half second.
constexpr double kSmoothingSeconds = 0.5;
// The filter amplifies noise; an estimate stays within this of the measured.
constexpr double kLowestShare = 0.3;
constexpr double kHighestShare = 2.5;

std::map<std::string, double> ChangeOf(const interference_sample& before,
                                       const interference_sample& after) {
  std::map<std::string, double> out;
  for (const auto& filler : before.best_effort_tasks) {
    out[filler.image] -= filler.cores;
  }
  for (const auto& filler : after.best_effort_tasks) {
    out[filler.image] += filler.cores;
  }
  return out;
}

}  // namespace

double latency_filter::Update(double measured_ms, boot_time now) {
  double out = measured_ms;
  const double seconds = std::chrono::duration<double>(now - at_).count();
  if (has_last_ && seconds > 0) {
    const double kept = std::exp(-seconds / kSmoothingSeconds);
    out = std::clamp((measured_ms - kept * last_) / (1 - kept),
                     kLowestShare * measured_ms, kHighestShare * measured_ms);
  }
  has_last_ = true;
  last_ = measured_ms;
  at_ = now;
  return out;
}

void interference_model::Learn(const interference_sample& before,
                               const interference_sample& after) {
  const auto changes = ChangeOf(before, after);
  double norm = kRegularisation;
  double moved = 0;
  for (const auto& [image, cores] : changes) {
    norm += cores * cores;
    moved += std::abs(cores);
  }
  if (moved < kSmallestChange) {
    return;
  }
  for (const auto& [run, task] : after.serving) {
    const auto earlier = before.serving.find(run);
    if (earlier == before.serving.end()) {
      continue;
    }
    double error = std::clamp(task.ratio - earlier->second.ratio,
                              -kLargestChange, kLargestChange);
    for (const auto& [image, cores] : changes) {
      error -= Weight(image, task.image) * cores;
    }
    // Tasks of one image on a VM see the same; together they are one sample.
    const std::string& image_of_task = task.image;
    const auto same = static_cast<double>(std::count_if(
        after.serving.begin(), after.serving.end(),
        [&](const auto& item) { return item.second.image == image_of_task; }));
    const double rate = error > 0 ? kHarmLearningRate : kLearningRate;
    const double step = rate * error / norm / same;
    for (const auto& [image, cores] : changes) {
      auto& weight =
          weights_[task.image].try_emplace(image, kUnknownWeight).first->second;
      weight =
          std::clamp(weight + step * cores, kSmallestWeight, kLargestWeight);
    }
  }
}

double interference_model::Weight(const std::string& filler,
                                  const std::string& serving) const {
  const auto of_serving = weights_.find(serving);
  if (of_serving == weights_.end()) {
    return kUnknownWeight;
  }
  const auto at = of_serving->second.find(filler);
  return at == of_serving->second.end() ? kUnknownWeight : at->second;
}

std::vector<pair_weight> interference_model::WeightsFor(
    const std::vector<std::string>& serving) const {
  std::vector<pair_weight> out;
  for (const auto& [image, weights] : weights_) {
    if (std::find(serving.begin(), serving.end(), image) == serving.end()) {
      continue;
    }
    for (const auto& [filler, weight] : weights) {
      out.push_back({filler, image, weight});
    }
  }
  return out;
}

void interference_model::Set(const pair_weight& in) {
  weights_[in.serving_image][in.best_effort_image] = in.weight;
}

}  // namespace chiveglade::workflow
