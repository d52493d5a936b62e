#include "chiveglade/workflow/latency_margin.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::workflow {

namespace {

// Change of the limit by one sample above the target. Each VM gives about two
// samples a second for each of its serving tasks, so an image that is harmed on
// one VM in ten loses its margin within a few seconds.
constexpr double kStepDown = 0.02;
constexpr double kStepUp = kStepDown * latency_margin::kTolerableShare /
                           (1 - latency_margin::kTolerableShare);
// Images that are remembered. Beyond it, new ones get kInitialRatio.
constexpr size_t kMaxImages = 1'000;

}  // namespace

std::optional<double> latency_margin::Learn(const std::string& image,
                                            double ratio) {
  if (limits_.size() >= kMaxImages && !limits_.contains(image)) {
    return std::nullopt;
  }
  auto& limit = limits_[image];
  limit.ratio = std::clamp(limit.ratio + (ratio > 1 ? -kStepDown : kStepUp),
                           kMinRatio, kMaxRatio);
  if (std::abs(limit.ratio - limit.reported) < kReportedChange) {
    return std::nullopt;
  }
  limit.reported = limit.ratio;
  return limit.ratio;
}

double latency_margin::MaxRatio(const std::string& image) const {
  const auto at = limits_.find(image);
  return at == limits_.end() ? kInitialRatio : at->second.ratio;
}

double latency_margin::MeanRatio() const {
  double sum = 0;
  for (const auto& [image, limit] : limits_) {
    sum += limit.ratio;
  }
  return limits_.empty() ? kInitialRatio
                         : sum / static_cast<double>(limits_.size());
}

}  // namespace chiveglade::workflow
