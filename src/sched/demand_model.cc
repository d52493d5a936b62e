#include "src/sched/demand_model.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::sched {
namespace {

// Number of buckets per doubling of the ratio, and the ratio of bucket 0.
constexpr double kBucketsPerDoubling = 8;
constexpr double kMinRatio = 0.25;
// Percentiles of fewer samples are mostly noise, and are not used.
constexpr double kMinSamples = 20;
// All counts are halved when their sum reaches this, so that old reports lose
// weight.
constexpr double kMaxSamples = 4'000;
// Number of samples between updates of the percentile.
constexpr uint32_t kUpdateIntervalSamples = 8;
// Weights of a new sample in the exponentially weighted moving averages.
constexpr double kRunTimeWeight = 0.1;
// Small, so that the average covers many stops: failed checkpoints are rare.
constexpr double kLossShareWeight = 0.03;

int64_t Corrected(int64_t declared, double ratio, int64_t capacity) {
  const auto wanted =
      static_cast<int64_t>(std::ceil(static_cast<double>(declared) * ratio));
  return std::max(declared, std::min(wanted, capacity));
}

}  // namespace

void ratio_histogram::Add(double ratio) {
  const double position = std::ceil(
      std::log2(std::max(ratio, 1e-6) / kMinRatio) * kBucketsPerDoubling);
  const auto bucket = static_cast<size_t>(
      std::clamp(position, 0.0, static_cast<double>(buckets_.size() - 1)));
  buckets_[bucket] += 1;
  total_ += 1;
  if (total_ >= kMaxSamples) {
    for (auto& count : buckets_) {
      count /= 2;
    }
    total_ /= 2;
  }
  if (samples_until_update_-- == 0) {
    Update();
  }
}

void ratio_histogram::Update() {
  samples_until_update_ = kUpdateIntervalSamples - 1;
  percentile90_ = 1;
  if (total_ < kMinSamples) {
    return;
  }
  double seen = 0;
  for (size_t i = 0; i < buckets_.size(); ++i) {
    seen += buckets_[i];
    if (seen >= 0.9 * total_) {
      percentile90_ =
          kMinRatio * std::exp2(static_cast<double>(i) / kBucketsPerDoubling);
      return;
    }
  }
}

void ratio_histogram::set_buckets(const std::array<float, 48>& buckets) {
  buckets_ = buckets;
  total_ = 0;
  for (const auto count : buckets_) {
    total_ += count;
  }
  Update();
}

demand_model::entry& demand_model::EntryFor(class_index klass) {
  if (klass >= entries_.size()) {
    entries_.resize(klass + 1U);
  }
  return entries_[klass];
}

void demand_model::ObserveUsage(class_index klass,
                                const resources& declared,
                                const resources& used) {
  auto& known = EntryFor(klass);
  if (declared.millicores > 0) {
    known.core_ratios.Add(static_cast<double>(used.millicores) /
                          static_cast<double>(declared.millicores));
  }
  if (declared.memory_mib > 0) {
    known.memory_ratios.Add(static_cast<double>(used.memory_mib) /
                            static_cast<double>(declared.memory_mib));
  }
}

void demand_model::ObserveRunTime(class_index klass,
                                  millis declared,
                                  millis measured) {
  if (declared.count() <= 0) {
    return;
  }
  auto& known = EntryFor(klass);
  const double ratio = static_cast<double>(measured.count()) /
                       static_cast<double>(declared.count());
  const double weight =
      std::max(kRunTimeWeight, 1.0 / static_cast<double>(++known.run_samples));
  known.run_ratio +=
      weight * (std::clamp(ratio, 0.01, 100.0) - known.run_ratio);
}

resources demand_model::ExpectedDemand(class_index klass,
                                       const resources& declared,
                                       const resources& capacity) const {
  if (klass >= entries_.size()) {
    return declared;
  }
  const auto& known = entries_[klass];
  return {Corrected(declared.millicores, known.core_ratios.Percentile90(),
                    capacity.millicores),
          Corrected(declared.memory_mib, known.memory_ratios.Percentile90(),
                    capacity.memory_mib),
          declared.accelerators};
}

void demand_model::ObserveLossShare(class_index klass, double share) {
  auto& known = EntryFor(klass);
  known.loss_share +=
      kLossShareWeight * (std::clamp(share, 0.0, 1.0) - known.loss_share);
}

double demand_model::ExpectedLossShare(class_index klass) const {
  return klass < entries_.size() ? entries_[klass].loss_share
                                 : entry{}.loss_share;
}

millis demand_model::ExpectedRunTime(class_index klass, millis declared) const {
  if (klass >= entries_.size()) {
    return declared;
  }
  return millis(static_cast<millis::rep>(static_cast<double>(declared.count()) *
                                         entries_[klass].run_ratio));
}

}  // namespace chiveglade::sched
