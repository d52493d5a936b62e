// Learned slowdowns of latency-critical classes by their neighbours.
#ifndef CHIVEGLADE_SCHED_INTERFERENCE_MODEL_H_
#define CHIVEGLADE_SCHED_INTERFERENCE_MODEL_H_

#include <span>
#include <vector>

#include "chiveglade/core/clock.h"
#include "src/sched/class_table.h"

namespace chiveglade::sched {

// How many neighbours of a class a task had. Fractions occur because of
// throttling and because the counts are averaged over the measurement lag.
struct neighbour_count {
  class_index klass = 0;
  double count = 0;
};

// For each ordered pair (latency-critical class, other class) the slowdown that
// one neighbour of the second adds to the first, as a share of the run time
// alone. Starts from a prior; the weight of measurements grows with their
// number and halves with age.
class interference_model {
 public:
  // Slowdown assumed for a pair without measurements: somewhat harmful. Three
  // unknown neighbours reach a limit of 120%.
  static constexpr double kPrior = 0.07;
  // Samples after which a pair counts as known.
  static constexpr double kKnownSamples = 5;

  // Notes a measured slowdown (1 is undisturbed) of an attempt of `victim`.
  // The part that the neighbours' effects don't explain is shared among them
  // in proportion to their counts.
  void Observe(class_index victim,
               std::span<const neighbour_count> neighbours,
               double slowdown,
               boot_time now);

  // Lets confidence decay to `now`. Called once a plan, so that the lookups
  // below, of which a plan makes tens of thousands, compute nothing.
  void DecayConfidence(boot_time now);

  // Added slowdown per neighbour, a blend of prior and measurements.
  double Effect(class_index victim, class_index neighbour) const {
    const auto* pair = Find(victim, neighbour);
    return pair == nullptr ? kPrior : pair->effect;
  }
  // True if there are enough recent measurements of the pair.
  bool Known(class_index victim, class_index neighbour) const {
    const auto* pair = Find(victim, neighbour);
    return pair != nullptr && pair->known;
  }

  struct pair_entry {
    double mean = kPrior;
    double samples = 0;
    boot_time updated;
    // As of the last Age or Observe.
    double effect = kPrior;
    bool known = false;
  };
  // Samples of a pair after ageing.
  static double DecayedSamples(const pair_entry& pair, boot_time now);
  // Rows by victim; missing entries were never measured.
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
