#include "src/sched/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chiveglade::sched {
namespace {

// Weights of the terms of a score. Slowdown counts most, then spread, then the
// remaining room.
constexpr double kSlowdownWeight = 10;
constexpr double kSpreadWeight = 4;
constexpr double kImbalanceWeight = 1;
constexpr double kPackingWeight = 0.5;
constexpr double kAcceleratorWeight = 2;

double FreeShare(int64_t free, int64_t capacity) {
  return capacity <= 0
             ? 0
             : static_cast<double>(free) / static_cast<double>(capacity);
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

const char* ToString(obstacle what) {
  switch (what) {
    case obstacle::kNone:
      return "";
    case obstacle::kNoRoom:
      return "no_room";
    case obstacle::kSpreadLimit:
      return "spread_limit";
    case obstacle::kInterference:
      return "interference";
    case obstacle::kStartLimit:
      return "start_limit";
    case obstacle::kNoVmInService:
      return "no_vm_in_service";
  }
  return "";
}

placement::placement(const planner_options& options,
                     vm_index& index,
                     const class_table& classes,
                     const interference_model& model,
                     start_pacer& pacer,
                     const random_fn& random)
    : options_(options),
      index_(index),
      classes_(classes),
      model_(model),
      pacer_(pacer),
      random_(random) {}

resources placement::RequiredRoom(const placement_request& request,
                                  const vm_slot& slot) {
  return {std::min(request.expected.millicores, slot.capacity.millicores),
          std::min(request.expected.memory_mib, slot.capacity.memory_mib),
          request.expected.accelerators};
}

// Returns true if both the declared and the corrected demand fit. On a VM
// smaller than the corrected demand, the whole VM is enough.
bool placement::HasRoom(const placement_request& request,
                        const vm_slot& slot,
                        const vm_room& room) {
  return FitsWithin(request.spec->per_task, room.free) &&
         FitsWithin(RequiredRoom(request, slot), room.free);
}

size_t placement::RandomStart() const {
  return random_() % std::max<size_t>(1, index_.slots().size());
}

size_t placement::Stride() const {
  const size_t count = index_.slots().size();
  size_t stride = count < 4 ? 1 : 1 + random_() % (count - 1);
  while (std::gcd(stride, count) > 1) {
    ++stride;
  }
  return stride;
}

placement_choice placement::Choose(const placement_request& request,
                                   boot_time now) {
  if (options_.placement == placement_rule::kFirstFit) {
    return FirstFit(request, now);
  }
  const size_t count = index_.slots().size();
  placement_choice best;
  double best_score = 0;
  uint32_t candidates = 0;
  size_t position = RandomStart();
  const size_t stride = Stride();
  for (size_t i = 0; i < count && candidates < options_.placement_candidates;
       ++i) {
    position = (position + stride) % count;
    const auto& room = index_.rooms()[position];
    if (!room.startable ||
        !AllowedDataCentre(*request.spec, room.data_centre)) {
      continue;
    }
    auto& slot = index_.slots()[position];
    obstacle why = obstacle::kNoRoom;
    if (!HasRoom(request, slot, room) ||
        !MeetsConstraints(request, slot, now, why)) {
      best.why = best.slot == nullptr ? std::min(best.why, why) : best.why;
      continue;
    }
    if (!KeepsSlowdownLimits(request, slot)) {
      best.why = best.slot == nullptr
                     ? std::min(best.why, obstacle::kInterference)
                     : best.why;
      continue;
    }
    ++candidates;
    const double score = Score(request, slot);
    if (best.slot == nullptr || score < best_score) {
      best = {&slot, obstacle::kNone};
      best_score = score;
    }
  }
  return best;
}

placement_choice placement::FirstFit(const placement_request& request,
                                     boot_time now) {
  placement_choice choice;
  for (auto& slot : index_.slots()) {
    const auto& room = index_.rooms()[index_.Position(slot)];
    obstacle why = obstacle::kNoRoom;
    if (room.startable && AllowedDataCentre(*request.spec, room.data_centre) &&
        HasRoom(request, slot, room) &&
        MeetsConstraints(request, slot, now, why)) {
      return {&slot, obstacle::kNone};
    }
    choice.why = std::min(choice.why, why);
  }
  return choice;
}

bool placement::AllowedDataCentre(const state::job_spec& spec,
                                  uint16_t number) const {
  return spec.data_centres.empty() ||
         Contains(spec.data_centres, index_.data_centres()[number].name);
}

bool placement::MeetsConstraints(const placement_request& request,
                                 const vm_slot& slot,
                                 boot_time now,
                                 obstacle& why) const {
  const auto& spec = *request.spec;
  why = obstacle::kNoVmInService;
  if (!slot.startable || !AllowedDataCentre(spec, slot.data_centre) ||
      (request.failed_on != nullptr &&
       Contains(*request.failed_on, slot.name))) {
    return false;
  }
  why = obstacle::kNoRoom;
  if (slot.reserved && spec.priority != state::band::kIdle) {
    return false;
  }
  why = obstacle::kSpreadLimit;
  if (spec.max_per_rack > 0 && request.spread != nullptr) {
    const auto it = request.spread->racks.find(slot.rack);
    if (it != request.spread->racks.end() && it->second >= spec.max_per_rack) {
      return false;
    }
  }
  if (spec.max_per_vm > 0) {
    const auto same = std::count_if(
        slot.residents.begin(), slot.residents.end(), [&](const auto& other) {
          return other.job_hash == request.job_hash &&
                 other.attempt.task.job == spec.name;
        });
    if (static_cast<uint32_t>(same) >= spec.max_per_vm) {
      return false;
    }
  }
  why = obstacle::kStartLimit;
  return pacer_.AllowsOn(slot.name, now) &&
         index_.RampAllows(slot.data_centre, spec.per_task);
}

bool placement::MayTryUnknownPair(class_index victim,
                                  const vm_slot& slot) const {
  if (classes_.at(victim).slowdown_limit_pct <= options_.strict_limit_pct) {
    return false;
  }
  return std::none_of(slot.residents.begin(), slot.residents.end(),
                      [&](const resident& other) {
                        return !classes_.at(other.klass).latency_critical &&
                               !model_.Known(victim, other.klass);
                      });
}

bool placement::KeepsSlowdownLimits(const placement_request& request,
                                    const vm_slot& slot,
                                    bool urgent) const {
  if (!UsesPairModel() || options_.placement != placement_rule::kScored ||
      request.spec->priority == state::band::kService) {
    return true;
  }
  for (const auto& victim : slot.residents) {
    const auto& victim_class = classes_.at(victim.klass);
    if (!victim_class.latency_critical) {
      continue;
    }
    if (!model_.Known(victim.klass, request.klass) &&
        !MayTryUnknownPair(victim.klass, slot)) {
      return false;
    }
    double slowdown = 1 + model_.Effect(victim.klass, request.klass);
    for (const auto& other : slot.residents) {
      if (&other != &victim) {
        slowdown += model_.Effect(victim.klass, other.klass);
      }
    }
    if (!urgent && slowdown * 100 > options_.placement_margin *
                                        victim_class.slowdown_limit_pct) {
      return false;
    }
  }
  return true;
}

bool placement::UsesPairModel() const {
  return options_.interference == interference_rule::kLearned ||
         options_.interference == interference_rule::kEvictImmediately;
}

double placement::InducedSlowdown(class_index victim,
                                  class_index neighbour) const {
  return UsesPairModel() && classes_.at(victim).latency_critical
             ? model_.Effect(victim, neighbour)
             : 0;
}

double placement::AddedSlowdown(const placement_request& request,
                                const vm_slot& slot) const {
  if (!UsesPairModel()) {
    return 0;
  }
  double added = 0;
  for (const auto& other : slot.residents) {
    if (classes_.at(other.klass).latency_critical) {
      added += model_.Effect(other.klass, request.klass);
    }
    added += InducedSlowdown(request.klass, other.klass);
  }
  return added;
}

double placement::SpreadPenalty(const placement_request& request,
                                const vm_slot& slot) const {
  if (request.spread == nullptr) {
    return 0;
  }
  const auto racks = request.spread->racks.find(slot.rack);
  const auto data_centres = request.spread->data_centres.find(slot.data_centre);
  const double in_rack =
      racks == request.spread->racks.end() ? 0 : racks->second;
  const double in_data_centre =
      data_centres == request.spread->data_centres.end() ? 0
                                                         : data_centres->second;
  return in_data_centre + 0.5 * in_rack;
}

double placement::Score(const placement_request& request,
                        const vm_slot& slot) const {
  const auto& free = index_.rooms()[index_.Position(slot)].free;
  const resources after = free - request.spec->per_task;
  const double cores = FreeShare(after.millicores, slot.capacity.millicores);
  const double memory = FreeShare(after.memory_mib, slot.capacity.memory_mib);
  if (options_.placement == placement_rule::kLeastLoaded) {
    return -std::min(cores, memory);
  }
  // Batch work is packed, so that large tasks find room. Services prefer VMs
  // with free cores, since their load varies.
  const bool service = request.spec->priority == state::band::kService;
  double score = kImbalanceWeight * std::abs(cores - memory) +
                 kPackingWeight * (service ? -cores : cores);
  if (request.spec->per_task.accelerators == 0) {
    score += kAcceleratorWeight *
             FreeShare(free.accelerators, slot.capacity.accelerators);
  }
  score += kSlowdownWeight * AddedSlowdown(request, slot);
  return score + kSpreadWeight * SpreadPenalty(request, slot);
}

}  // namespace chiveglade::sched
