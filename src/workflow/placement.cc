#include "chiveglade/workflow/placement.h"

#include <algorithm>

#include "chiveglade/workflow/headroom.h"

namespace chiveglade::workflow {

namespace {

constexpr double kMillicoresPerCore = 1'000;
// A best-effort task that takes no more than this of the headroom of a serving
// task is considered harmless to it.
constexpr double kMinNoticeableLoss = 0.06;
// A VM tolerates a best-effort task that takes no more than this of the
// headroom of each of its serving tasks.
constexpr double kMaxTolerableLoss = 0.15;

bool IsAllowed(const vm_load& vm, const step_spec& step) {
  if (vm.runs >= kMaxRunsPerVm) {
    return false;
  }
  if (step.max_per_vm > 0 && vm.same_step >= step.max_per_vm) {
    return false;
  }
  return step.required_label.empty() ||
         std::find(vm.labels.begin(), vm.labels.end(), step.required_label) !=
             vm.labels.end();
}

bool HasRoom(const vm_load& vm, const step_spec& step) {
  resources after = vm.reserved + step.demand;
  if (step.best_effort) {
    after.millicores = 0;
  }
  return FitsWithin(after, vm.capacity);
}

// Returns the share of the VM's processors that is neither reserved nor
// requested by best-effort tasks. Negative if they request more than is free.
double FreeShare(const vm_load& vm) {
  const double capacity =
      static_cast<double>(std::max<int64_t>(1, vm.capacity.millicores));
  return static_cast<double>(vm.capacity.millicores - vm.reserved.millicores -
                             vm.best_effort_millicores) /
         capacity;
}

// Scores a VM for packing serving tasks: highest where the other serving tasks
// are of the same image, lower for other images, 0 without serving tasks.
// ScoreVm subtracts the free share, which prefers the fullest of equal VMs.
double ServingScore(const vm_load& vm, const step_spec& step) {
  constexpr double kSameImageScore = 2;
  constexpr double kOtherImageScore = 0.5;
  if (vm.serving.empty()) {
    return 0;
  }
  uint32_t same = 0;
  uint32_t all = 0;
  for (const auto& serving : vm.serving) {
    same += serving.image == step.image ? serving.tasks : 0;
    all += serving.tasks;
  }
  const double share = static_cast<double>(same) / static_cast<double>(all);
  return kSameImageScore * share + kOtherImageScore * (1 - share);
}

// Returns true if the best-effort task is harmless to all serving tasks of the
// VM.
bool IsTolerant(const vm_load& vm,
                const step_spec& step,
                const interference_model& model) {
  const double cores =
      static_cast<double>(step.demand.millicores) / kMillicoresPerCore;
  return std::all_of(vm.serving.begin(), vm.serving.end(),
                     [&](const auto& serving) {
                       return model.Weight(step.image, serving.image) * cores <=
                              kMaxTolerableLoss;
                     });
}

}  // namespace

void vm_load::AddServing(const std::string& image,
                         double ratio,
                         double peak_ratio) {
  const auto at =
      std::find_if(serving.begin(), serving.end(),
                   [&](const auto& item) { return item.image == image; });
  if (at == serving.end()) {
    serving.push_back({image, ratio, peak_ratio});
  } else {
    at->ratio = std::max(at->ratio, ratio);
    at->peak_ratio = std::max(at->peak_ratio, peak_ratio);
    ++at->tasks;
  }
}

void vm_load::AddRecentBestEffort(const std::string& image,
                                  double cores,
                                  const interference_model& model) {
  for (auto& task : serving) {
    const double loss = model.Weight(image, task.image) * cores;
    for (double* ratio : {&task.ratio, &task.peak_ratio}) {
      if (*ratio > 0) {
        *ratio = LatencyRatioAt(HeadroomAt(*ratio) - loss);
      }
    }
  }
}

double BestEffortSpeed(const vm_load& vm,
                       const step_spec& step,
                       const interference_model& model,
                       const placement_options& options) {
  const double wanted = std::max(
      0.001, static_cast<double>(step.demand.millicores) / kMillicoresPerCore);
  const double used =
      static_cast<double>(vm.reserved.millicores - vm.serving_millicores) +
      options.serving_peak_utilisation *
          static_cast<double>(vm.serving_millicores);
  const double idle =
      (static_cast<double>(vm.capacity.millicores) - used) / kMillicoresPerCore;
  const double requested =
      wanted +
      static_cast<double>(vm.best_effort_millicores) / kMillicoresPerCore;
  double speed = std::clamp(idle / requested, 0.0, 1.0);
  if (speed < options.min_best_effort_speed) {
    return speed;  // Already too slow; skip the more expensive part.
  }
  for (const auto& serving : vm.serving) {
    const double loss = model.Weight(step.image, serving.image) * wanted;
    if (loss <= kMinNoticeableLoss) {
      continue;
    }
    const double ratio = options.basis == latency_basis::kPeak
                             ? std::max(serving.ratio, serving.peak_ratio)
                             : serving.ratio;
    const double max_ratio =
        serving.max_ratio > 0 ? serving.max_ratio : options.max_latency_ratio;
    const double slack = HeadroomAt(ratio) - HeadroomAt(max_ratio);
    speed = std::min(speed, std::max(0.0, slack / loss));
  }
  return speed;
}

placement_limit LimitOf(const vm_load& vm,
                        const step_spec& step,
                        const interference_model& model,
                        const placement_options& options) {
  if (!HasRoom(vm, step) || !IsAllowed(vm, step)) {
    return placement_limit::kRoom;
  }
  if (!step.best_effort || BestEffortSpeed(vm, step, model, options) >=
                               options.min_best_effort_speed) {
    return placement_limit::kNone;
  }
  auto unlimited = vm;
  unlimited.serving.clear();
  if (BestEffortSpeed(unlimited, step, model, options) <
      options.min_best_effort_speed) {
    return placement_limit::kProcessors;
  }
  auto at_present = options;
  at_present.basis = latency_basis::kNow;
  return BestEffortSpeed(vm, step, model, at_present) <
                 options.min_best_effort_speed
             ? placement_limit::kLatency
             : placement_limit::kPeakLatency;
}

std::optional<double> ScoreVm(const vm_load& vm,
                              const step_spec& step,
                              const interference_model& model,
                              const placement_options& options) {
  // Speed outweighs free processors. A VM without serving tasks, where there is
  // nothing to disturb, outweighs a small gain in speed, and one that tolerates
  // the task outweighs a VM without serving tasks that is somewhat freer.
  constexpr double kSpeedWeight = 4;
  constexpr double kNoServingTasksScore = 1;
  constexpr double kTolerantScore = 1.3;
  if (!HasRoom(vm, step) || !IsAllowed(vm, step)) {
    return std::nullopt;
  }
  double score = FreeShare(vm);
  if (step.best_effort) {
    const double speed = BestEffortSpeed(vm, step, model, options);
    if (speed < options.min_best_effort_speed) {
      return std::nullopt;
    }
    score += kSpeedWeight * speed;
    if (vm.serving.empty()) {
      score += kNoServingTasksScore;
    } else if (options.prefer_tolerant_vms && IsTolerant(vm, step, model)) {
      score += kTolerantScore;
    }
  } else if (step.latency_target.count() > 0) {
    score = ServingScore(vm, step) - score;
  }
  if (vm.suspect) {
    score -= options.suspect_penalty;
  }
  if (!step.preferred_rack.empty() && vm.rack != step.preferred_rack) {
    score -= options.remote_penalty;
  }
  return score;
}

std::optional<size_t> ChooseVm(const std::vector<vm_load>& vms,
                               const step_spec& step,
                               bool exclude_suspect,
                               const interference_model& model,
                               const placement_options& options) {
  std::optional<size_t> best;
  double best_score = 0;
  for (size_t i = 0; i < vms.size(); ++i) {
    if (exclude_suspect && vms[i].suspect) {
      continue;
    }
    const auto score = ScoreVm(vms[i], step, model, options);
    if (score && (!best || *score > best_score)) {
      best = i;
      best_score = *score;
    }
  }
  return best;
}

}  // namespace chiveglade::workflow
