// Throttles best-effort runs (which use spare processors) beside serving tasks.
//
// How much a best-effort run slows a serving task depends on the pair of images
// and changes within seconds. A feedback loop on the measured tail latency
// throttles the best-effort runs to which the interference model attributes the
// slowdown at once, and speeds them up again in proportion to the slack below
// the target. A new best-effort run starts at the speed that the model predicts
// to be safe.
#ifndef CHIVEGLADE_WORKFLOW_PACER_H_
#define CHIVEGLADE_WORKFLOW_PACER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "chiveglade/workflow/interference_model.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

struct pacer_options {
  // If a serving task's tail latency is above this share of its target, its
  // best-effort runs are throttled so far that it should fall to `setpoint`.
  double throttle_above = 0.9;
  double setpoint = 0.75;
  // Smallest factor applied to a share in one step. Limits overcorrection, as
  // the interference need not be linear in the share.
  double min_step_factor = 0.2;
  uint32_t min_percent = 3;  // keeps the progress of the run visible
  // Limits of an increase in one step: a factor, and percentage points added on
  // top of it.
  double max_step_factor = 1.7;
  uint32_t max_step_points = 10;
  // If a task is above `throttle_above` although the model attributes little to
  // its best-effort runs, its own load is taken as the cause for this many
  // samples. After that the model is considered wrong and the best-effort runs
  // are throttled. Must be well below the 4 s for which a missed target counts
  // as a violation.
  uint32_t max_unexplained_samples = 2;
  // All best-effort runs pause once a task has exceeded its target for this
  // long. Less than half of the 4 s that count as a violation, since
  // measurements lag.
  millis pause_after{1'500};

  // Of a pair of images of which nothing is known.
  double initial_interference = interference_model::kInitialWeight;

  friend bool operator==(const pacer_options&, const pacer_options&) = default;
};

// A best-effort run on the VM.
struct best_effort_run {
  run_key run;
  std::string image;
  double cores = 0;         // in use over the last half second
  double wanted_cores = 1;  // in use at full speed

  friend bool operator==(const best_effort_run&,
                         const best_effort_run&) = default;
};

class pacer {
 public:
  explicit pacer(pacer_options options = {})
      : options_(options), model_(options.initial_interference) {}

  // Recomputes all shares. To be called with each new sample, about every half
  // second. The model learns from the change since the previous sample.
  void Update(
      const std::map<run_key, interference_sample::serving_task>& serving,
      const std::vector<best_effort_run>& best_effort_runs,
      boot_time now);

  // Registers a best-effort run that starts and returns its initial share in
  // percent.
  uint32_t Admit(const best_effort_run& best_effort);

  // Share of full speed for a best-effort run, in percent; 100 if the run is
  // unknown.
  uint32_t PercentOf(const run_key& run) const;
  // Lowest share among the best-effort runs, in percent; 100 if there are none.
  uint32_t lowest_percent() const;

  interference_model& model() { return model_; }

 private:
  // Returns the factor by which to change a best-effort run's share so that
  // `task` reaches the setpoint. `run_impact` and `total_impact` are what this
  // best-effort run and all best-effort runs take of the task's headroom, by
  // the model. If `unexplained`, the best-effort runs keep their shares
  // although the task is too slow.
  double FactorFor(const interference_sample::serving_task& task,
                   bool unexplained,
                   double run_impact,
                   double total_impact) const;

  pacer_options options_;
  interference_model model_;
  interference_sample last_sample_;
  std::map<run_key, uint32_t> percents_;  // shares, by best-effort run
  // Consecutive samples above `throttle_above` that the model does not explain,
  // by serving task.
  std::map<run_key, uint32_t> unexplained_samples_;
  std::map<run_key, boot_time> over_target_since_;  // by serving task
  // Admitted since the last sample, which does not include them.
  std::vector<interference_sample::best_effort_task> admitted_since_sample_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_PACER_H_
