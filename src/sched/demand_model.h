// Corrects declared sizes and run times by what was measured.
#ifndef CHIVEGLADE_SCHED_DEMAND_MODEL_H_
#define CHIVEGLADE_SCHED_DEMAND_MODEL_H_

#include <array>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "src/sched/class_table.h"

namespace chiveglade::sched {

// Streaming histogram of measured/declared ratios with logarithmic buckets.
class ratio_histogram {
 public:
  void Add(double ratio);
  // The 90th percentile, or 1 while there are too few samples.
  double Percentile90() const { return percentile90_; }

  // For saving and loading.
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
// use. A ratio rather than an amount, since jobs of one class differ in size.
class demand_model {
 public:
  // Notes one report. Resources declared as zero are not learned.
  void ObserveUsage(class_index klass,
                    const resources& declared,
                    const resources& used);
  // Notes the run time of a finished task.
  void ObserveRunTime(class_index klass, millis declared, millis measured);

  // What to reserve for a task: never less than declared, and never more than
  // `capacity` unless the declaration is. Accelerators are taken as declared.
  resources ExpectedDemand(class_index klass,
                           const resources& declared,
                           const resources& capacity) const;
  // The corrected run time; zero if none was declared.
  millis ExpectedRunTime(class_index klass, millis declared) const;

  // Notes how much of the work since its checkpoint a stopped attempt lost.
  void ObserveLossShare(class_index klass, double share);
  // Share of the work since the checkpoint that a stop is expected to lose.
  double ExpectedLossShare(class_index klass) const;

  struct entry {
    ratio_histogram core_ratios;
    ratio_histogram memory_ratios;
    double run_ratio = 1;
    uint32_t run_samples = 0;
    double loss_share = 0.25;  // a quarter until stops have been seen
  };
  const std::vector<entry>& entries() const { return entries_; }
  entry& EntryFor(class_index klass);

 private:
  std::vector<entry> entries_;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_SCHED_DEMAND_MODEL_H_
