#include "src/sched/parking.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

bool Allows(const state::job_spec& spec, const std::string& data_centre) {
  return spec.data_centres.empty() ||
         std::find(spec.data_centres.begin(), spec.data_centres.end(),
                   data_centre) != spec.data_centres.end();
}

std::string MissingResource(const char* what, int64_t needed, int64_t largest) {
  return std::string(parking::kPrefix) + what + " " + std::to_string(needed) +
         " needed, largest VM has " + std::to_string(largest);
}

}  // namespace

void parking::CollectVmShapes(const vm_index& index) {
  vm_shapes_.clear();
  for (const auto& slot : index.slots()) {
    const vm_shape found{index.data_centres()[slot.data_centre].name,
                         slot.capacity};
    if (std::find(vm_shapes_.begin(), vm_shapes_.end(), found) ==
        vm_shapes_.end()) {
      vm_shapes_.push_back(found);
    }
  }
}

bool parking::Fits(const state::job_spec& spec) const {
  return std::any_of(vm_shapes_.begin(), vm_shapes_.end(),
                     [&](const auto& known) {
                       return Allows(spec, known.data_centre) &&
                              FitsWithin(spec.per_task, known.capacity);
                     });
}

std::string parking::Reason(const state::job_spec& spec) const {
  resources largest;
  for (const auto& known : vm_shapes_) {
    if (Allows(spec, known.data_centre)) {
      largest.millicores =
          std::max(largest.millicores, known.capacity.millicores);
      largest.memory_mib =
          std::max(largest.memory_mib, known.capacity.memory_mib);
      largest.accelerators =
          std::max(largest.accelerators, known.capacity.accelerators);
    }
  }
  const auto& need = spec.per_task;
  if (need.accelerators > largest.accelerators) {
    return MissingResource("accelerators", need.accelerators,
                           largest.accelerators);
  }
  if (need.memory_mib > largest.memory_mib) {
    return MissingResource("memory_mib", need.memory_mib, largest.memory_mib);
  }
  if (need.millicores > largest.millicores) {
    return MissingResource("millicores", need.millicores, largest.millicores);
  }
  return std::string(kPrefix) + "no single VM has all the resources needed";
}

void parking::ReleaseFitting(plan_draft& draft) const {
  for (const auto& [name, job] : draft.state().jobs()) {
    if (!job.cancelled && job.parked_reason.starts_with(kPrefix) &&
        Fits(job.spec)) {
      draft.Add(state::job_parked{name, ""});
    }
  }
}

void parking::Run(const vm_index& index,
                  const fair_order& order,
                  plan_draft& draft) {
  // Without any known VM the cluster is still starting, and every job would be
  // parked.
  if (index.slots().empty()) {
    return;
  }
  if (generation_ != index.generation()) {
    generation_ = index.generation();
    CollectVmShapes(index);
    ReleaseFitting(draft);
  }
  for (const auto& waiting : order.pending_jobs()) {
    if (draft.now() - waiting.pending_since >= options_.parking_delay &&
        !Fits(waiting.job->spec)) {
      const auto why = Reason(waiting.job->spec);
      draft.Add(state::job_parked{waiting.job->spec.name, why});
      draft.Explain(waiting.job->spec.name, why);
    }
  }
}

}  // namespace chiveglade::sched
