#include "src/sched/preemption.h"

#include <algorithm>

namespace chiveglade::sched {
namespace {

// Cost of stopping and starting a task again, whatever it has done.
constexpr double kRestartCostMs = 5'000;
// Added cost of a higher band, so that idle work goes before normal work.
constexpr double kBandCostMs = 60'000;

resources Uncommitted(const vm_slot& slot) {
  return slot.capacity - slot.held - slot.committed;
}

}  // namespace

double EvictionCost(const resident& victim) {
  const auto lost = std::max(
      0.0,
      static_cast<double>((victim.work_done - victim.checkpointed).count()));
  const double band = static_cast<double>(state::band::kIdle) -
                      static_cast<double>(victim.priority);
  return (lost + kRestartCostMs) * (1 + victim.evictions) + band * kBandCostMs;
}

preemption::preemption(const planner_options& options,
                       vm_index& index,
                       placement& places,
                       hold_table& holds)
    : options_(options), index_(index), places_(places), holds_(holds) {}

std::optional<std::vector<resident*>>
preemption::Victims(vm_slot& slot, const resources& amount, state::band taker) {
  resources free = Uncommitted(slot);
  std::vector<resident*> lower;
  for (auto& other : slot.residents) {
    if (other.stopping) {
      free += other.declared;
    } else if (MayEvict(taker, other.priority)) {
      lower.push_back(&other);
    }
  }
  std::sort(lower.begin(), lower.end(), [](const auto* a, const auto* b) {
    return EvictionCost(*a) < EvictionCost(*b);
  });
  std::vector<resident*> chosen;
  for (auto* victim : lower) {
    if (FitsWithin(amount, free)) {
      break;
    }
    free += victim->declared;
    chosen.push_back(victim);
  }
  if (!FitsWithin(amount, free)) {
    return std::nullopt;
  }
  // A later, larger victim may have made an earlier one needless.
  for (size_t i = chosen.size(); i-- > 0;) {
    const auto without = free - chosen[i]->declared;
    if (FitsWithin(amount, without)) {
      free = without;
      chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  return chosen;
}

bool preemption::MakeRoom(const placement_request& request,
                          const state::task_id& task,
                          bool moving,
                          plan_draft& draft) {
  const auto& amount = request.spec->per_task;
  vm_slot* best = nullptr;
  std::vector<resident*> best_victims;
  double best_cost = 0;
  uint32_t seen = 0;
  const size_t count = index_.slots().size();
  size_t position = places_.RandomStart();
  const size_t stride = places_.Stride();
  for (size_t i = 0; i < count && seen < options_.candidates; ++i) {
    position = (position + stride) % count;
    auto& slot = index_.slots()[position];
    obstacle why = obstacle::kNone;
    if (!FitsWithin(amount, slot.capacity) ||
        !places_.Permits(request, slot, draft.now(), why)) {
      continue;
    }
    auto victims = Victims(slot, amount, request.spec->priority);
    if (!victims) {
      continue;
    }
    ++seen;
    double cost = 0;
    for (const auto* victim : *victims) {
      cost += EvictionCost(*victim);
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
