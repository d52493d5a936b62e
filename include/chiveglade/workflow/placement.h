// Chooses the VM that a task starts on.
//
// Best-effort tasks use whatever processors are left over and raise the latency
// of serving tasks on the same VM. They go where they are predicted to run
// fastest without harm. Serving tasks are packed, first beside others of their
// image, so that some VMs stay free of them. All other tasks go where most
// processors are free.
#ifndef CHIVEGLADE_WORKFLOW_PLACEMENT_H_
#define CHIVEGLADE_WORKFLOW_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/core/resources.h"
#include "chiveglade/workflow/interference_model.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// Most runs on one VM. Far more than tasks with a demand that fit on one;
// bounds what tasks without demand make a worker, its runner and their messages
// hold.
constexpr uint32_t kMaxRunsPerVm = 1'000;

// Load of a VM that is a candidate for a task.
struct vm_load {
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  // Reserved by all runs that have not ended. Best-effort tasks reserve no
  // processors.
  resources reserved;
  int64_t serving_millicores = 0;      // part of `reserved` for serving tasks
  int64_t best_effort_millicores = 0;  // requested by best-effort tasks
  // Serving tasks on the VM, aggregated by image.
  struct serving_image {
    std::string image;
    // Highest tail latency of these tasks as a share of the target; 0 if
    // unknown. Includes the predicted rise by best-effort tasks
    // that were placed too recently to show in the measurement.
    double ratio = 0;
    // The same at the recent peak of their own load.
    double peak_ratio = 0;
    uint32_t tasks = 1;
    // Highest ratio up to which best-effort tasks may be placed beside them; 0:
    // that of the options.
    double max_ratio = 0;
    friend bool operator==(const serving_image&,
                           const serving_image&) = default;
  };
  std::vector<serving_image> serving;
  void AddServing(const std::string& image, double ratio, double peak_ratio);
  // Adds the predicted effect of a recently placed best-effort task on the
  // serving tasks, which must have been added before.
  void AddRecentBestEffort(const std::string& image,
                           double cores,
                           const interference_model& model);
  uint32_t runs = 0;  // that have not ended
  // Live runs of the step being placed; maintained only if it has `max_per_vm`.
  uint32_t same_step = 0;
  bool suspect = false;  // see worker_health

  friend bool operator==(const vm_load&, const vm_load&) = default;
};

// Which latency of the serving tasks the speed of a best-effort task is
// predicted from: a task that can wait is placed where it runs fast also at the
// peak; others start where there is slack at the moment.
enum class latency_basis : uint8_t { kNow, kPeak };

struct placement_options {
  latency_basis basis = latency_basis::kNow;
  // Share of its reserved processors that a serving task uses at peak load;
  // best-effort tasks get the rest.
  double serving_peak_utilisation = 0.6;
  // Best-effort tasks must not raise the tail latency of a serving task above
  // this share of its target.
  double max_latency_ratio = 0.7;
  // Prefers for a best-effort task VMs whose serving tasks it does not disturb
  // to VMs without serving tasks. These are left to the tasks that would
  // disturb serving tasks everywhere else.
  bool prefer_tolerant_vms = false;
  // Minimum predicted speed, as a share of full speed, at which a best-effort
  // task is started. A slower one would hold memory and disturb serving tasks
  // for little progress.
  double min_best_effort_speed = 0.7;
  // Score penalty of a suspect VM, in the unit of the share of a VM's
  // processors that are free.
  double suspect_penalty = 1.0;
  // Score penalty, in the same unit, of a VM outside the task's preferred rack.
  double remote_penalty = 0.35;

  friend bool operator==(const placement_options&,
                         const placement_options&) = default;
};

// Predicts the speed of a best-effort task on a VM, as a share of its full
// speed, from the idle processors and from the latency slack of the serving
// tasks there.
double BestEffortSpeed(const vm_load& vm,
                       const step_spec& step,
                       const interference_model& model,
                       const placement_options& options);

// What keeps a VM from taking a task.
enum class placement_limit : uint8_t {
  kNone,
  kRoom,         // reservations, labels or the number of runs
  kProcessors,   // too few idle processors for the minimum speed
  kLatency,      // no slack of the serving tasks at present
  kPeakLatency,  // slack at present, but not at the recent peak
};

// Returns what keeps a VM from taking a task; kNone exactly where ScoreVm
// returns a score.
placement_limit LimitOf(const vm_load& vm,
                        const step_spec& step,
                        const interference_model& model,
                        const placement_options& options);

// Returns how well a VM suits a task (higher is better), or null if the task
// does not fit or may not run there.
std::optional<double> ScoreVm(const vm_load& vm,
                              const step_spec& step,
                              const interference_model& model,
                              const placement_options& options);

// Returns the index of the best VM, or null if no VM can take the task.
// `exclude_suspect` leaves suspect VMs out.
std::optional<size_t> ChooseVm(const std::vector<vm_load>& vms,
                               const step_spec& step,
                               bool exclude_suspect,
                               const interference_model& model,
                               const placement_options& options);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_PLACEMENT_H_
