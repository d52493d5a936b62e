#include "src/sched/interference_model.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::sched {
namespace {

// Limit on the confidence of a pair, so that the estimate can follow a change.
constexpr double kMaxSamples = 50;
// Least weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.15;
// Weight of the prior in the blended estimate, in samples.
constexpr double kPriorSamples = 3;
// Without measurements, confidence halves in this time.
constexpr double kConfidenceHalfLifeMs = 3'600'000;
// Larger measured slowdowns are clamped to this.
constexpr double kMaxSlowdown = 10;

}  // namespace

double interference_model::DecayedSamples(const pair_entry& pair,
                                          boot_time now) {
  const auto age = static_cast<double>((now - pair.updated).count());
  return pair.samples * std::exp2(-std::max(0.0, age) / kConfidenceHalfLifeMs);
}

void interference_model::Observe(class_index victim,
                                 std::span<const neighbour_count> neighbours,
                                 double slowdown,
                                 boot_time now) {
  double predicted = 0;
  double squares = 0;
  for (const auto& [klass, count] : neighbours) {
    predicted += count * Effect(victim, klass);
    squares += count * count;
  }
  // With less than a quarter of a neighbour (0.25 squared), the measurement
  // says nothing about its effect.
  if (squares < 0.0625) {
    return;
  }
  const double measured = std::clamp(slowdown, 1.0, kMaxSlowdown) - 1;
  const double error = measured - predicted;
  for (const auto& [klass, count] : neighbours) {
    if (count <= 0) {
      continue;
    }
    const double share = count * count / squares;
    auto& pair = PairFor(victim, klass);
    pair.samples = DecayedSamples(pair, now);
    pair.updated = now;
    const double blended = Effect(victim, klass);
    const double weight =
        std::max(kSampleWeight, 1 / (1 + pair.samples)) * share;
    pair.mean = std::max(0.0, pair.samples > 0 ? pair.mean : blended);
    pair.mean = std::max(0.0, pair.mean + weight * error / count);
    pair.samples = std::min(kMaxSamples, pair.samples + share);
    UpdateEffect(pair, now);
  }
}

void interference_model::UpdateEffect(pair_entry& pair, boot_time now) {
  const double samples = DecayedSamples(pair, now);
  pair.effect = (samples * pair.mean + kPriorSamples * kPrior) /
                (samples + kPriorSamples);
  pair.known = samples >= kKnownSamples;
}

void interference_model::DecayConfidence(boot_time now) {
  for (auto& row : rows_) {
    for (auto& pair : row) {
      UpdateEffect(pair, now);
    }
  }
}

interference_model::pair_entry& interference_model::PairFor(
    class_index victim,
    class_index neighbour) {
  if (victim >= rows_.size()) {
    rows_.resize(victim + 1U);
  }
  auto& row = rows_[victim];
  if (neighbour >= row.size()) {
    row.resize(neighbour + 1U);
  }
  return row[neighbour];
}

}  // namespace chiveglade::sched
