// Corrects declared resources and run times by measurements.
#ifndef CHIVEGLADE_SCHED_DEMAND_MODEL_H_
#define CHIVEGLADE_SCHED_DEMAND_MODEL_H_

#include <array>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "src/sched/class_table.h"

namespace chiveglade::sched {

// Streaming histogram of the ratio of measured to declared use, with
// logarithmic buckets.
class ratio_histogram {
 public:
  void Add(double ratio);
  // Returns the 90th percentile, or 1 while there are too few samples.
  double Percentile90() const { return percentile90_; }

  // Counts by bucket, for saving and loading.
  const std::array<float, 48>& buckets() const { return buckets_; }
  void set_buckets(const std::array<float, 48>& buckets);

 private:
  void Update();

  std::array<float, 48> buckets_{};
  double total_ = 0;
  double percentile90_ = 1;
  uint32_t samples_until_update_ = 0;
};

// Learns, per class, the 90th percentile of the ratio of measured to declared
// use, the ratio of run times and the work lost by stops. It learns ratios
// because jobs of one class differ in size.
class demand_model {
 public:
  // Records one usage report. Ignores resources that are declared as zero.
  void ObserveUsage(class_index klass,
                    const resources& declared,
                    const resources& used);
  // Records the run time of a finished task. Ignored if no run time is
  // declared.
  void ObserveRunTime(class_index klass, millis declared, millis measured);

  // Returns the demand to plan for: at least what is declared, and at most
  // `capacity` unless more is declared. Accelerators are never corrected.
  resources ExpectedDemand(class_index klass,
                           const resources& declared,
                           const resources& capacity) const;
  // Returns the corrected run time; zero if none is declared.
  millis ExpectedRunTime(class_index klass, millis declared) const;

  // Records the share of the work since its last checkpoint that a stopped
  // attempt lost.
  void ObserveLossShare(class_index klass, double share);
  // Returns the share of the work since the last checkpoint that a stop is
  // expected to lose.
  double ExpectedLossShare(class_index klass) const;

  struct entry {
    ratio_histogram core_ratios;
    ratio_histogram memory_ratios;
    double run_ratio = 1;
    uint32_t run_samples = 0;
    double loss_share =
        0.25;  // starts at a quarter, before any stop is observed
  };
  const std::vector<entry>& entries() const { return entries_; }
  entry& EntryFor(class_index klass);

 private:
  std::vector<entry> entries_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_DEMAND_MODEL_H_
