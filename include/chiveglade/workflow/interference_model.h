// How much tasks that fill up a VM disturb the tasks that serve there.
//
// Answers fillers whose effect depends on the pair of images and is only seen
// in measurements: each pair's weight is learned on line, by the coordinator
// from all VMs for placing, and by each runner for throttling.
#ifndef CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_
#define CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// The state of one VM as measured.
struct interference_sample {
  struct serving_task {
    std::string image;
    double ratio = 0;     // tail latency as a share of its target, by now
    double measured = 0;  // the same as measured, with its lag
    friend bool operator==(const serving_task&, const serving_task&) = default;
  };
  struct best_effort_task {
    std::string image;
    double cores = 0;  // in use
    friend bool operator==(const best_effort_task&,
                           const best_effort_task&) = default;
  };
  std::map<run_key, serving_task> serving;
  std::vector<best_effort_task> best_effort_tasks;

  friend bool operator==(const interference_sample&,
                         const interference_sample&) = default;
};

// Takes the lag out of a measured tail latency, which is smoothed: a spike
// stays visible for a second after its cause is gone.
class latency_filter {
 public:
  // A measurement in milliseconds; gives the latency that it points to now.
  double Update(double measured_ms, boot_time now);

 private:
  double last_ = 0;
  boot_time at_{};
  bool has_last_ = false;
};

// A learned weight, as handed from the coordinator to runners.
struct pair_weight {
  std::string best_effort_image;
  std::string serving_image;
  double weight = 0;

  friend bool operator==(const pair_weight&, const pair_weight&) = default;
};

// The ratio of a serving task rises with the cores of the fillers beside it,
// each by the weight of its pair. Weights are learned from what changes between
// two samples, so that the task's own load, which swings more slowly, drops
// out. By normalised least mean squares, which follows changes and needs no
// history.
class interference_model {
 public:
  // Weight of a pair never seen together: low enough that it is tried.
  static constexpr double kUnknownWeight = 0.08;

  void Learn(const interference_sample& before,
             const interference_sample& after);

  double Weight(const std::string& filler, const std::string& serving) const;

  // All pairs of these serving images that have been learned.
  std::vector<pair_weight> WeightsFor(
      const std::vector<std::string>& serving) const;
  // Takes over what another process has learned.
  void Set(const pair_weight& in);

 private:
  // By image of the serving task, then of the filler.
  std::map<std::string, std::map<std::string, double>> weights_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_
