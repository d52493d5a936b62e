// Learns how much neighbours slow latency-critical classes down.
#ifndef CHIVEGLADE_SCHED_INTERFERENCE_MODEL_H_
#define CHIVEGLADE_SCHED_INTERFERENCE_MODEL_H_

#include <span>
#include <vector>

#include "chiveglade/core/clock.h"
#include "src/sched/class_table.h"

namespace chiveglade::sched {

// Number of neighbours of a class that a task had. Fractional, since throttled
// neighbours count in part and counts are averaged over the measurement lag.
struct neighbour_count {
  class_index klass = 0;
  double count = 0;
};

// Estimates, for each ordered pair (latency-critical class, neighbour class),
// the slowdown that one neighbour adds, as a share of the undisturbed run time.
// The estimate blends a prior with the measurements, whose weight grows with
// their number and decays exponentially with age.
class interference_model {
 public:
  // Slowdown assumed for a pair without measurements. Three unknown neighbours
  // exceed a slowdown limit of 120%.
  static constexpr double kPrior = 0.07;
  // Decayed samples from which on a pair counts as known.
  static constexpr double kKnownSamples = 5;

  // Records a measured slowdown (1 is undisturbed) of an attempt of class
  // `victim`. Attributes the error of the prediction to the neighbours,
  // weighted by the squares of their counts.
  void Observe(class_index victim,
               std::span<const neighbour_count> neighbours,
               double slowdown,
               boot_time now);

  // Decays the confidence of all pairs to `now`. Called once per plan, so that
  // the tens of thousands of lookups below in a plan need no computation.
  void DecayConfidence(boot_time now);

  // Returns the estimated slowdown that one neighbour adds.
  double Effect(class_index victim, class_index neighbour) const {
    const auto* pair = Find(victim, neighbour);
    return pair == nullptr ? kPrior : pair->effect;
  }
  // Returns true if the pair has enough recent measurements.
  bool Known(class_index victim, class_index neighbour) const {
    const auto* pair = Find(victim, neighbour);
    return pair != nullptr && pair->known;
  }

  struct pair_entry {
    double mean = kPrior;
    double samples = 0;
    boot_time updated;
    // As of the last DecayConfidence or Observe.
    double effect = kPrior;
    bool known = false;
  };
  // Returns the samples of a pair, decayed to `now`.
  static double DecayedSamples(const pair_entry& pair, boot_time now);
  // Pairs by victim, then by neighbour. Missing entries were never measured.
  const std::vector<std::vector<pair_entry>>& rows() const { return rows_; }
  pair_entry& PairFor(class_index victim, class_index neighbour);

 private:
  const pair_entry* Find(class_index victim, class_index neighbour) const {
    return victim < rows_.size() && neighbour < rows_[victim].size()
               ? &rows_[victim][neighbour]
               : nullptr;
  }
  static void UpdateEffect(pair_entry& pair, boot_time now);

  std::vector<std::vector<pair_entry>> rows_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_INTERFERENCE_MODEL_H_
