#include "src/sched/preemption.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

// Fixed cost of stopping a task and starting it again.
constexpr double kRestartCostMs = 5'000;
// Surcharge per band above idle, so that idle work is evicted before normal
// work.
constexpr double kBandCostMs = 60'000;

// Time over which slowdowns are counted when weighed against lost work.
constexpr double kSlowdownHorizonMs = 120'000;

// Free room of a VM by declared and by corrected demands.
struct room_balance {
  resources declared;
  resources expected;

  void Free(const resident& leaving) {
    declared += leaving.declared;
    expected += leaving.expected;
  }
  void Take(const resident& staying) {
    declared -= staying.declared;
    expected -= staying.expected;
  }
  bool Fits(const resources& need, const resources& wanted) const {
    return FitsWithin(need, declared) && FitsWithin(wanted, expected);
  }
};

}  // namespace

double LostWorkCost(const resident& victim) {
  const auto lost = std::max(
      0.0,
      static_cast<double>((victim.work_done - victim.checkpointed).count()));
  return (lost * victim.loss_share + kRestartCostMs) * (1 + victim.evictions);
}

double EvictionCost(const resident& victim) {
  const double band = static_cast<double>(state::band::kIdle) -
                      static_cast<double>(victim.priority);
  return LostWorkCost(victim) + band * kBandCostMs;
}

preemption::preemption(const planner_options& options,
                       vm_index& index,
                       placement& places,
                       hold_table& holds)
    : options_(options), index_(index), placement_(places), holds_(holds) {}

std::optional<std::vector<resident*>> preemption::ChooseVictims(
    vm_slot& slot,
    const resources& declared,
    const resources& wanted,
    state::band preemptor,
    const std::function<double(const resident&)>& cost) {
  room_balance room{slot.capacity - slot.held - slot.committed,
                    slot.capacity - slot.held - slot.expected};
  std::vector<resident*> evictable;
  for (auto& other : slot.residents) {
    if (other.stopping) {
      room.Free(other);
    } else if (MayEvict(preemptor, other.priority)) {
      evictable.push_back(&other);
    }
  }
  std::vector<std::pair<double, resident*>> ordered;
  ordered.reserve(evictable.size());
  for (auto* victim : evictable) {
    ordered.emplace_back(cost(*victim), victim);
  }
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<resident*> chosen;
  for (const auto& [victim_cost, victim] : ordered) {
    if (room.Fits(declared, wanted)) {
      break;
    }
    room.Free(*victim);
    chosen.push_back(victim);
  }
  if (!room.Fits(declared, wanted)) {
    return std::nullopt;
  }
  // A later, larger victim can make an earlier one unnecessary.
  for (size_t i = chosen.size(); i-- > 0;) {
    auto without = room;
    without.Take(*chosen[i]);
    if (without.Fits(declared, wanted)) {
      room = without;
      chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  return chosen;
}

double preemption::NetEvictionCost(const placement_request& preemptor,
                                   const resident& victim) const {
  return EvictionCost(victim) -
         placement_.InducedSlowdown(preemptor.klass, victim.klass) *
             kSlowdownHorizonMs;
}

bool preemption::MakeRoom(const placement_request& request,
                          const state::task_id& task,
                          bool moving,
                          plan_draft& draft) {
  const auto& amount = request.spec->per_task;
  const bool urgent = request.spec->priority == state::band::kUrgent;
  const auto victim_cost = [&](const resident& victim) {
    return NetEvictionCost(request, victim);
  };
  vm_slot* best = nullptr;
  std::vector<resident*> best_victims;
  double best_cost = 0;
  uint32_t candidates = 0;
  const size_t count = index_.slots().size();
  size_t position = placement_.RandomStart();
  const size_t stride = placement_.Stride();
  for (size_t i = 0; i < count && candidates < options_.placement_candidates;
       ++i) {
    position = (position + stride) % count;
    const auto& room = index_.rooms()[position];
    if (!room.startable ||
        !FitsWithin(
            amount,
            room.reclaimable[static_cast<size_t>(request.spec->priority)])) {
      continue;
    }
    auto& slot = index_.slots()[position];
    obstacle why = obstacle::kNone;
    if (!placement_.MeetsConstraints(request, slot, draft.now(), why) ||
        !placement_.KeepsSlowdownLimits(request, slot, urgent)) {
      continue;
    }
    auto victims =
        ChooseVictims(slot, amount, placement::RequiredRoom(request, slot),
                      request.spec->priority, victim_cost);
    if (!victims) {
      continue;
    }
    ++candidates;
    double cost = placement_.AddedSlowdown(request, slot) * kSlowdownHorizonMs;
    for (const auto* victim : *victims) {
      cost += NetEvictionCost(request, *victim);
    }
    if (best == nullptr || cost < best_cost) {
      best = &slot;
      best_victims = std::move(*victims);
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return false;
  }
  for (auto* victim : best_victims) {
    draft.Stop(*best, *victim, "preempted");
  }
  holds_.Put(task,
             {.vm = best->name,
              .amount = amount,
              .until = draft.now() + options_.hold_timeout,
              .moving = moving},
             index_);
  return true;
}

}  // namespace chiveglade::sched
