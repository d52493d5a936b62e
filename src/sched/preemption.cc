#include "src/sched/preemption.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

// Cost of stopping and starting a task again, whatever it has done.
constexpr double kRestartCostMs = 5'000;
// Added cost of a higher band, so that idle work goes before normal work.
constexpr double kBandCostMs = 60'000;

// Time over which slowdowns are weighed against lost work.
constexpr double kHarmHorizonMs = 120'000;

// Room of a VM by declarations and by corrected demands.
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
  bool Holds(const resources& need, const resources& wanted) const {
    return FitsWithin(need, declared) && FitsWithin(wanted, expected);
  }
};

}  // namespace

double WorkLost(const resident& victim) {
  const auto lost = std::max(
      0.0,
      static_cast<double>((victim.work_done - victim.checkpointed).count()));
  return (lost * victim.loss_share + kRestartCostMs) * (1 + victim.evictions);
}

double EvictionCost(const resident& victim) {
  const double band = static_cast<double>(state::band::kIdle) -
                      static_cast<double>(victim.priority);
  return WorkLost(victim) + band * kBandCostMs;
}

preemption::preemption(const planner_options& options,
                       vm_index& index,
                       placement& places,
                       hold_table& holds)
    : options_(options), index_(index), places_(places), holds_(holds) {}

std::optional<std::vector<resident*>> preemption::Victims(
    vm_slot& slot,
    const resources& declared,
    const resources& wanted,
    state::band taker,
    const std::function<double(const resident&)>& cost) {
  room_balance room{slot.capacity - slot.held - slot.committed,
                    slot.capacity - slot.held - slot.expected};
  std::vector<resident*> lower;
  for (auto& other : slot.residents) {
    if (other.stopping) {
      room.Free(other);
    } else if (MayEvict(taker, other.priority)) {
      lower.push_back(&other);
    }
  }
  std::vector<std::pair<double, resident*>> ordered;
  ordered.reserve(lower.size());
  for (auto* victim : lower) {
    ordered.emplace_back(cost(*victim), victim);
  }
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<resident*> chosen;
  for (const auto& [price, victim] : ordered) {
    if (room.Holds(declared, wanted)) {
      break;
    }
    room.Free(*victim);
    chosen.push_back(victim);
  }
  if (!room.Holds(declared, wanted)) {
    return std::nullopt;
  }
  // A later, larger victim may have made an earlier one needless.
  for (size_t i = chosen.size(); i-- > 0;) {
    auto without = room;
    without.Take(*chosen[i]);
    if (without.Holds(declared, wanted)) {
      room = without;
      chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  return chosen;
}

double preemption::CostFor(const placement_request& taker,
                           const resident& victim) const {
  return EvictionCost(victim) -
         places_.Harm(taker.klass, victim.klass) * kHarmHorizonMs;
}

bool preemption::MakeRoom(const placement_request& request,
                          const state::task_id& task,
                          bool moving,
                          plan_draft& draft) {
  const auto& amount = request.spec->per_task;
  const bool urgent = request.spec->priority == state::band::kUrgent;
  const auto price = [&](const resident& victim) {
    return CostFor(request, victim);
  };
  vm_slot* best = nullptr;
  std::vector<resident*> best_victims;
  double best_cost = 0;
  uint32_t seen = 0;
  const size_t count = index_.slots().size();
  size_t position = places_.RandomStart();
  const size_t stride = places_.Stride();
  for (size_t i = 0; i < count && seen < options_.candidates; ++i) {
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
    if (!places_.Permits(request, slot, draft.now(), why) ||
        !places_.Tolerable(request, slot, urgent)) {
      continue;
    }
    auto victims = Victims(slot, amount, placement::Wanted(request, slot),
                           request.spec->priority, price);
    if (!victims) {
      continue;
    }
    ++seen;
    double cost = places_.AddedSlowdown(request, slot) * kHarmHorizonMs;
    for (const auto* victim : *victims) {
      cost += CostFor(request, *victim);
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
              .until = draft.now() + options_.hold_time,
              .moving = moving},
             index_);
  return true;
}

}  // namespace chiveglade::sched
