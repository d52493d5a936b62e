// Predicts how much best-effort tasks raise the latency of serving tasks on the
// same VM.
//
// The effect depends on the pair of images and shows only in measurements, so a
// weight for each pair is learned online: by the coordinator from all VMs for
// placement, and by each runner for throttling.
#ifndef CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_
#define CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// Measurements of one VM at one time.
struct interference_sample {
  struct serving_task {
    std::string image;
    // Tail latency as a share of its target, with the lag of the measurement
    // removed where a latency_filter is used.
    double ratio = 0;
    double measured = 0;  // the same ratio as measured, with its lag
    friend bool operator==(const serving_task&, const serving_task&) = default;
  };
  struct best_effort_task {
    std::string image;
    double cores = 0;  // processors in use
    friend bool operator==(const best_effort_task&,
                           const best_effort_task&) = default;
  };
  std::map<run_key, serving_task> serving;
  std::vector<best_effort_task> best_effort_tasks;

  friend bool operator==(const interference_sample&,
                         const interference_sample&) = default;
};

// Removes the lag from a measured tail latency. The measurement is smoothed, so
// that a spike stays visible for a second after its cause has ended.
class latency_filter {
 public:
  // Adds a measurement in milliseconds and returns an estimate of the current
  // latency in milliseconds.
  double Update(double measured_ms, boot_time now);

 private:
  double last_ = 0;
  boot_time at_{};
  bool has_last_ = false;
};

// A learned weight, as sent by the coordinator to runners.
struct pair_weight {
  std::string best_effort_image;
  std::string serving_image;
  double weight = 0;

  friend bool operator==(const pair_weight&, const pair_weight&) = default;
};

// A linear model: the latency ratio of a serving task rises by the sum, over
// the best-effort tasks on its VM, of the cores in use times the weight of the
// pair of images. Weights are learned from the differences between two samples,
// which cancels the serving task's own load because that varies more slowly.
// Uses normalised least mean squares, which tracks changes and needs no
// history.
class interference_model {
 public:
  // Initial weight of a pair, in latency ratio per core. Low enough that
  // unknown pairs are tried.
  static constexpr double kInitialWeight = 0.08;

  void Learn(const interference_sample& before,
             const interference_sample& after);

  double Weight(const std::string& best_effort,
                const std::string& serving) const;

  // Returns the learned weights of all pairs with one of these serving images.
  std::vector<pair_weight> WeightsFor(
      const std::vector<std::string>& serving) const;
  // Overwrites a weight with one learned by another process.
  void Set(const pair_weight& in);

 private:
  // The standard hash of a string counts as slow, and small maps that use it
  // are searched one key after another.
  struct image_hash {
    size_t operator()(const std::string& image) const {
      return std::hash<std::string>()(image);
    }
  };
  template <typename T>
  using map_by_image = std::unordered_map<std::string, T, image_hash>;

  // By image of the serving task, then of the best-effort task. Hashed, because
  // placement looks up a pair for each VM that it scores.
  map_by_image<map_by_image<double>> weights_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_
