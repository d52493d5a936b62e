// How much of the latency slack of serving tasks best-effort tasks may use.
#ifndef CHIVEGLADE_WORKFLOW_LATENCY_MARGIN_H_
#define CHIVEGLADE_WORKFLOW_LATENCY_MARGIN_H_

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace chiveglade::workflow {

// Adapts, by image of the serving tasks, the highest latency ratio up to which
// best-effort tasks are placed beside them.
//
// Answers this load: wide best-effort jobs that need the slack of the serving
// tasks. A fixed limit is too low while the predicted interference holds, so
// that jobs wait beside idle processors, and too high while it does not, so
// that serving tasks exceed their targets. The limit rises a little with each
// sample within the target and falls with each above it. It settles where
// kTolerableShare of the samples are above.
class latency_margin {
 public:
  // Limits as shares of the target. A new image starts between them: nothing is
  // known after a takeover.
  static constexpr double kMinRatio = 0.65;
  static constexpr double kMaxRatio = 0.97;
  static constexpr double kInitialRatio = 0.75;
  // Share of the samples of a serving task beside best-effort tasks that may be
  // above its target. Beyond it the tail of its users' response times shows.
  static constexpr double kTolerableShare = 0.02;
  static constexpr double kReportedChange = 0.1;

  // Adds a sample of a serving task beside best-effort tasks: its latency as a
  // share of its target. Returns the limit if it has changed by kReportedChange
  // since it was last returned.
  std::optional<double> Learn(const std::string& image, double ratio);

  // Returns the mean limit over the images with samples, or kInitialRatio.
  double MeanRatio() const;

  // Returns the highest ratio up to which best-effort tasks may raise the
  // latency of serving tasks of this image.
  double MaxRatio(const std::string& image) const;

 private:
  // The standard hash of a string counts as slow, and small maps that use it
  // are searched one key after another.
  struct image_hash {
    size_t operator()(const std::string& image) const {
      return std::hash<std::string>()(image);
    }
  };
  struct limit {
    double ratio = kInitialRatio;
    double reported = kInitialRatio;
  };
  std::unordered_map<std::string, limit, image_hash> limits_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_LATENCY_MARGIN_H_
