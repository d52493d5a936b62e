#include "chiveglade/workflow/interference_model.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::workflow {

namespace {

// Share of the prediction error that one sample corrects. Each VM gives two
// samples a second, and interference changes within seconds.
constexpr double kLearningRate = 0.3;
// Learning rate where the latency rose more than predicted, so that harmful
// pairs are recognised quickly.
constexpr double kHarmLearningRate = 0.7;
// Regularisation of the normalised step, in squared cores. Keeps small changes
// of the best-effort load from causing large updates.
constexpr double kRegularisation = 0.5;
// Changes of the ratio are clamped to this. Beyond it they only show that the
// pair is harmful.
constexpr double kMaxRatioChange = 3;
constexpr double kMaxWeight = 5;
constexpr double kMinWeight = 0.01;
// Changes of the best-effort load below this, in cores, are noise.
constexpr double kMinCoreChange = 0.2;
// Time constant of the smoothing. Measurements cover the last half second.
constexpr double kSmoothingSeconds = 0.5;
// The filter amplifies noise, so its estimate is clamped to between these
// multiples of the measured value.
constexpr double kMinFilteredShare = 0.3;
constexpr double kMaxFilteredShare = 2.5;

// Returns the change of the cores used by best-effort tasks, by image.
std::map<std::string, double> CoreChanges(const interference_sample& before,
                                          const interference_sample& after) {
  std::map<std::string, double> out;
  for (const auto& best_effort : before.best_effort_tasks) {
    out[best_effort.image] -= best_effort.cores;
  }
  for (const auto& best_effort : after.best_effort_tasks) {
    out[best_effort.image] += best_effort.cores;
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
                     kMinFilteredShare * measured_ms,
                     kMaxFilteredShare * measured_ms);
  }
  has_last_ = true;
  last_ = measured_ms;
  at_ = now;
  return out;
}

void interference_model::Learn(const interference_sample& before,
                               const interference_sample& after) {
  const auto changes = CoreChanges(before, after);
  double norm = kRegularisation;
  double total_change = 0;
  for (const auto& [image, cores] : changes) {
    norm += cores * cores;
    total_change += std::abs(cores);
  }
  if (total_change < kMinCoreChange) {
    return;
  }
  for (const auto& [run, task] : after.serving) {
    const auto earlier = before.serving.find(run);
    if (earlier == before.serving.end()) {
      continue;
    }
    double error = std::clamp(task.ratio - earlier->second.ratio,
                              -kMaxRatioChange, kMaxRatioChange);
    for (const auto& [image, cores] : changes) {
      error -= Weight(image, task.image) * cores;
    }
    // Tasks of one image on a VM observe the same change, so together they have
    // the weight of one sample.
    const std::string& image_of_task = task.image;
    const auto same = static_cast<double>(std::count_if(
        after.serving.begin(), after.serving.end(),
        [&](const auto& item) { return item.second.image == image_of_task; }));
    const double rate = error > 0 ? kHarmLearningRate : kLearningRate;
    const double step = rate * error / norm / same;
    for (const auto& [image, cores] : changes) {
      auto& weight =
          weights_[task.image].try_emplace(image, kInitialWeight).first->second;
      weight = std::clamp(weight + step * cores, kMinWeight, kMaxWeight);
    }
  }
}

double interference_model::Weight(const std::string& best_effort,
                                  const std::string& serving) const {
  const auto of_serving = weights_.find(serving);
  if (of_serving == weights_.end()) {
    return kInitialWeight;
  }
  const auto at = of_serving->second.find(best_effort);
  return at == of_serving->second.end() ? kInitialWeight : at->second;
}

std::vector<pair_weight> interference_model::WeightsFor(
    const std::vector<std::string>& serving) const {
  std::vector<pair_weight> out;
  for (const auto& [image, weights] : weights_) {
    if (std::find(serving.begin(), serving.end(), image) == serving.end()) {
      continue;
    }
    for (const auto& [best_effort, weight] : weights) {
      out.push_back({best_effort, image, weight});
    }
  }
  return out;
}

void interference_model::Set(const pair_weight& in) {
  weights_[in.serving_image][in.best_effort_image] = in.weight;
}

}  // namespace chiveglade::workflow
