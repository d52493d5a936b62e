// How hard each filler may work beside tasks that serve.
//
// Answers fillers that disturb serving tasks by amounts that depend on the pair
// and change within seconds: feedback on the measured tail latency throttles
// those that the model blames, at once, and lets them return by the room that
// is left. A new filler starts at the speed that the model predicts to be safe.
#ifndef CHIVEGLADE_WORKFLOW_PACER_H_
#define CHIVEGLADE_WORKFLOW_PACER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "chiveglade/workflow/interference_model.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

struct pacer_options {
  // Above this share of its target a serving task's fillers are throttled, so
  // far that it should come down to `aim`.
  double high = 0.95;
  double aim = 0.80;
  // Strongest reduction in one step: the disturbance may not be linear.
  double most_reduction = 0.2;
  uint32_t min_percent = 3;  // so that progress is still seen
  // Largest increase in one step, as a factor and then in percent points.
  double most_increase = 1.7;
  uint32_t step_up = 10;
  // A task that is over its target although the fillers beside it should not
  // matter is believed to be so by its own load for this many samples; after
  // that the model may be wrong. Well inside the time that counts as harm.
  uint32_t unexplained_samples = 2;
  // All fillers pause once a task has been over its target for so long: less
  // than half of the time that counts as harm, since measurements lag.
  millis pause_after{1'500};

  friend bool operator==(const pacer_options&, const pacer_options&) = default;
};

// One filler on the VM.
struct paced_run {
  run_key run;
  std::string image;
  double cores = 0;         // in use over the last half second
  double wanted_cores = 1;  // at full speed

  friend bool operator==(const paced_run&, const paced_run&) = default;
};

class pacer {
 public:
  explicit pacer(pacer_options options = {}) : options_(options) {}

  // To be called with each new measurement, about every half second; gives the
  // shares anew. Learns from what changed since the last one.
  void Update(
      const std::map<run_key, interference_sample::serving_task>& serving,
      const std::vector<paced_run>& fillers,
      boot_time now);

  // A filler that starts: gives the share at which it should.
  uint32_t Admit(const paced_run& filler);

  // Share in percent at which a filler should work; 100 if it is not known.
  uint32_t PercentOf(const run_key& run) const;
  // Lowest share among the fillers; 100 if there are none.
  uint32_t lowest() const;

  interference_model& model() { return model_; }

 private:
  // Factor for a filler's share so that `task` comes to the aim.
  double FactorFor(const interference_sample::serving_task& task,
                   bool unexplained,
                   double mine,
                   double all) const;

  pacer_options options_;
  interference_model model_;
  interference_sample last_;
  std::map<run_key, uint32_t> percents_;
  std::map<run_key, uint32_t> unexplained_;  // samples in a row, by task
  std::map<run_key, boot_time> over_since_;  // over the target, by task
  // Admitted since the last measurement, which does not show them.
  std::vector<interference_sample::best_effort_task> admitted_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_PACER_H_
