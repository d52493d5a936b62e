// Choice of the VM that a task starts on.
//
// Answers a load of batch tasks that use whatever processors are left over,
// beside serving tasks whose latency they disturb: fillers go where they are
// predicted to be fastest without harm, serving tasks together, first beside
// others of their image, so that there are VMs without them; everything else
// where most is free.
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

// What is known of a VM that could take a task.
struct vm_load {
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  resources reserved;  // by everything there that has not ended; no processors
                       // for fillers
  int64_t serving_millicores = 0;  // the part of it for serving tasks
  int64_t filler_millicores = 0;   // asked for by the fillers there
  // Serving tasks there, by image.
  struct serving_image {
    std::string image;
    double ratio = 0;  // highest tail latency of them as a share of its target
    uint32_t tasks = 1;
    friend bool operator==(const serving_image&,
                           const serving_image&) = default;
  };
  std::vector<serving_image> serving;
  // Fillers placed so lately that the ratios of `serving` do not show them, one
  // entry for each image.
  std::vector<interference_sample::best_effort_task> new_fillers;

  void AddServing(const std::string& image, double ratio);
  void AddNewFiller(const std::string& image, double cores);
  uint32_t same_step = 0;  // tasks of the same step there
  bool suspect = false;    // runs failed or hung there lately

  friend bool operator==(const vm_load&, const vm_load&) = default;
};

struct placement_options {
  // Share of its processors that a serving task uses at the height of its
  // load; fillers get the rest.
  double serving_use = 0.6;
  // A filler counts as disturbing from this share of a serving task's target.
  double highest_ratio = 0.7;
  // Lowest speed, as a share of its full one, at which a filler is started; a
  // slower one would hold its memory and disturb for little progress.
  double lowest_speed = 0.7;
  // How many processors a suspect VM must offer more than others, as a share.
  double suspect_penalty = 1.0;
  // The same for a VM away from the data of the task.
  double remote_penalty = 0.35;

  friend bool operator==(const placement_options&,
                         const placement_options&) = default;
};

// The speed, as a share of its full one, that a filler would have on a VM, by
// the processors left over and by what the serving tasks there bear.
double FillerSpeed(const vm_load& vm,
                   const step_spec& step,
                   const interference_model& model,
                   const placement_options& options);

// How well a VM suits a task, higher being better; nothing if the task has no
// room there or may not run there.
std::optional<double> ScoreVm(const vm_load& vm,
                              const step_spec& step,
                              const interference_model& model,
                              const placement_options& options);

// The index of the best VM, or nothing if the task has room on none. `strict`
// leaves suspect VMs out.
std::optional<size_t> ChooseVm(const std::vector<vm_load>& vms,
                               const step_spec& step,
                               bool strict,
                               const interference_model& model,
                               const placement_options& options);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_PLACEMENT_H_
