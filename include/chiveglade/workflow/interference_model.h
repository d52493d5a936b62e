// Predicts how much best-effort tasks raise the latency of serving tasks on the
// same VM.
//
// The effect depends on the pair of images and shows only in measurements, so a
// weight for each pair is learned online: by the coordinator from all VMs for
// placement, and by each runner for throttling.
#ifndef CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_
#define CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
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

// What is known of a pair, as kept for later coordinators.
struct learned_pair {
  std::string best_effort_image;
  std::string serving_image;
  double weight = 0;
  // Number of informative samples that the weight was learned from.
  double evidence = 0;
  millis age{0};  // since the last of them

  friend bool operator==(const learned_pair&, const learned_pair&) = default;
};

// A model that is linear in headroom (see headroom.h): a serving task loses the
// sum, over the best-effort tasks on its VM, of the cores in use times the
// weight of the pair of images. Weights hold at any load of the serving task.
// They are learned from the differences between two samples, which cancels the
// serving task's own load because that varies more slowly, and from the
// difference to the own load where that is known. Uses normalised least mean
// squares, which tracks changes and needs no history.
class interference_model {
 public:
  // Weight of a pair before anything is known, in headroom per core,
  // unless another is passed in. A lower one has unknown pairs tried sooner,
  // also for tasks that request many cores.
  static constexpr double kInitialWeight = 0.08;
  // Evidence counts up to this, so that a pair that was learned for hours does
  // not outlast one that is learned now.
  static constexpr double kMaxEvidence = 32;
  // Evidence of a pair that is worth being kept for later coordinators.
  static constexpr double kMinKeptEvidence = 3;
  // Evidence halves in this time. Weights drift within minutes, while a restart
  // of all processes takes seconds.
  static constexpr millis kEvidenceHalfLife{120'000};
  // Most pairs that are known at a time. Beyond it the least evidence goes
  // first.
  static constexpr size_t kMaxPairs = 1'024;
  // Most pairs that are kept for later coordinators.
  static constexpr size_t kMaxKeptPairs = 128;
  // Most pairs that are sent to a runner at a time, and the bytes of their
  // names.
  static constexpr size_t kMaxSentPairs = 128;
  static constexpr size_t kMaxSentBytes = size_t{16} * 1024;

  interference_model() : interference_model(kInitialWeight) {}
  explicit interference_model(double initial_weight)
      : initial_weight_(initial_weight) {}

  // Learns from two samples of one VM. `now_unix_ms` dates the evidence.
  void Learn(const interference_sample& before,
             const interference_sample& after,
             int64_t now_unix_ms = 0);

  // Learns from one sample of a VM and from the latency ratios that its serving
  // tasks would have without the best-effort tasks. Serving tasks without such
  // a ratio are ignored.
  void LearnFromOwnLoad(const interference_sample& sample,
                        const std::map<run_key, double>& own_ratios,
                        int64_t now_unix_ms = 0);

  double Weight(const std::string& best_effort,
                const std::string& serving) const;

  // Returns the learned weights of the pairs with one of these serving images,
  // at most kMaxSentPairs: first those of the best-effort images in `first`,
  // then the most harmful ones.
  std::vector<pair_weight> WeightsFor(
      const std::vector<std::string>& serving,
      const std::set<std::string>& first = {}) const;
  // Overwrites a weight with one learned by another process.
  void Set(const pair_weight& in);

  // Returns the pairs with at least kMinKeptEvidence, the best known first.
  std::vector<learned_pair> Export(int64_t now_unix_ms) const;
  // Takes over pairs of an earlier process unless this one knows them better,
  // and returns how many were taken. By its age a pair loses evidence and its
  // weight returns to the initial one.
  size_t Import(const std::vector<learned_pair>& in, int64_t now_unix_ms);

  // Number of pairs with evidence.
  size_t known_pairs() const;

 private:
  // Headroom that a serving task has lost to best-effort tasks.
  struct loss {
    std::string image;
    double headroom = 0;
  };
  // Corrects the weights of pairs by the losses that were measured with these
  // cores, by image, in use or added.
  void Correct(const std::map<std::string, double>& cores_by_image,
               const std::vector<loss>& losses,
               int64_t now_unix_ms);

  struct entry {
    double weight = 0;
    double evidence = 0;
    double samples = 0;           // informative ones of this process
    int64_t learned_unix_ms = 0;  // when evidence was last added
  };

  // The standard hash of a string counts as slow, and small maps that use it
  // are searched one key after another.
  struct image_hash {
    size_t operator()(const std::string& image) const {
      return std::hash<std::string>()(image);
    }
  };
  template <typename T>
  using map_by_image = std::unordered_map<std::string, T, image_hash>;

  entry& EntryFor(const std::string& best_effort, const std::string& serving);
  // Drops the pairs with the least evidence if there are too many.
  void Trim(int64_t now_unix_ms);

  double initial_weight_;
  // By image of the serving task, then of the best-effort task. Hashed, because
  // placement looks up a pair for each VM that it scores.
  map_by_image<map_by_image<entry>> pairs_;
  size_t size_ = 0;  // number of entries
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_INTERFERENCE_MODEL_H_
