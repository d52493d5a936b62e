#include "chiveglade/workflow/placement.h"

#include <algorithm>

namespace chiveglade::workflow {

namespace {

constexpr double kMillicores = 1'000;  // in a core
// A filler that raises a ratio by less than this does not disturb.
constexpr double kNoticeable = 0.04;

bool IsAllowed(const vm_load& vm, const step_spec& step) {
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

// Share of the VM's processors that nothing has asked for.
double FreeShare(const vm_load& vm) {
  const double capacity =
      static_cast<double>(std::max<int64_t>(1, vm.capacity.millicores));
  return static_cast<double>(vm.capacity.millicores - vm.reserved.millicores -
                             vm.filler_millicores) /
         capacity;
}

// Packs serving tasks: prefers VMs whose serving tasks are of the same image,
// then other VMs with serving tasks, and among them the fullest.
double ServingScore(const vm_load& vm, const step_spec& step) {
  constexpr double kSame = 2;
  constexpr double kOther = 0.5;
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
  return kSame * share + kOther * (1 - share);
}

}  // namespace

void vm_load::AddServing(const std::string& image, double ratio) {
  const auto at =
      std::find_if(serving.begin(), serving.end(),
                   [&](const auto& item) { return item.image == image; });
  if (at == serving.end()) {
    serving.push_back({image, ratio});
  } else {
    at->ratio = std::max(at->ratio, ratio);
    ++at->tasks;
  }
}

void vm_load::AddNewFiller(const std::string& image, double cores) {
  const auto at =
      std::find_if(new_fillers.begin(), new_fillers.end(),
                   [&](const auto& item) { return item.image == image; });
  if (at == new_fillers.end()) {
    new_fillers.push_back({image, cores});
  } else {
    at->cores += cores;
  }
}

double FillerSpeed(const vm_load& vm,
                   const step_spec& step,
                   const interference_model& model,
                   const placement_options& options) {
  const double wanted = std::max(
      0.001, static_cast<double>(step.demand.millicores) / kMillicores);
  const double used =
      static_cast<double>(vm.reserved.millicores - vm.serving_millicores) +
      options.serving_use * static_cast<double>(vm.serving_millicores);
  const double idle =
      (static_cast<double>(vm.capacity.millicores) - used) / kMillicores;
  const double asked =
      wanted + static_cast<double>(vm.filler_millicores) / kMillicores;
  double speed = std::clamp(idle / asked, 0.0, 1.0);
  if (speed < options.lowest_speed) {
    return speed;  // Too slow already; the rest costs more to work out.
  }
  for (const auto& serving : vm.serving) {
    const double adds = model.Weight(step.image, serving.image) * wanted;
    if (adds <= kNoticeable) {
      continue;
    }
    double room = options.highest_ratio - serving.ratio;
    for (const auto& filler : vm.new_fillers) {
      room -= model.Weight(filler.image, serving.image) * filler.cores;
    }
    speed = std::min(speed, std::max(0.0, room / adds));
  }
  return speed;
}

std::optional<double> ScoreVm(const vm_load& vm,
                              const step_spec& step,
                              const interference_model& model,
                              const placement_options& options) {
  // Speed counts before free processors, and a VM where no filler can disturb
  // before a little more speed.
  constexpr double kSpeedScore = 4;
  constexpr double kNothingServes = 1;
  if (!HasRoom(vm, step) || !IsAllowed(vm, step)) {
    return std::nullopt;
  }
  double score = FreeShare(vm);
  if (step.best_effort) {
    const double speed = FillerSpeed(vm, step, model, options);
    if (speed < options.lowest_speed) {
      return std::nullopt;
    }
    score += kSpeedScore * speed + (vm.serving.empty() ? kNothingServes : 0);
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
                               bool strict,
                               const interference_model& model,
                               const placement_options& options) {
  std::optional<size_t> best;
  double best_score = 0;
  for (size_t i = 0; i < vms.size(); ++i) {
    if (strict && vms[i].suspect) {
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
