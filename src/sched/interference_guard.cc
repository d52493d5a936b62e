#include "src/sched/interference_guard.h"

#include <algorithm>

#include "src/sched/preemption.h"

namespace chiveglade::sched {
namespace {

// Reports in a row above the limit before anything is done: single reports
// are noisy.
constexpr uint32_t kReportsOver = 3;
// Share of the limit below which the VM counts as calm.
constexpr double kCalmShare = 0.9;
// Wait between the last throttle and an eviction, and calm time before a lift.
constexpr millis kPatience{10'000};
constexpr millis kLongestLiftWait{320'000};
// A throttle this soon after a lift means that the lift was too early.
constexpr millis kRelapse{60'000};
// Throttle orders are repeated, since an answer that carries one can be lost.
constexpr millis kRepeat{10'000};
// Time over which the gain of an eviction is counted. Neighbours usually stay
// for minutes.
constexpr double kGainHorizonMs = 120'000;
// With more than this share of watched VMs above their limits the cause is the
// load, not a neighbour, and evictions would only throw work away.
constexpr double kWaveShare = 0.34;
constexpr size_t kWaveFewest = 6;

constexpr uint32_t kSteps[] = {100, 50, 25};

uint32_t Below(uint32_t percent) {
  return percent > kSteps[1] ? kSteps[1] : kSteps[2];
}

uint32_t Above(uint32_t percent) {
  return percent < kSteps[1] ? kSteps[1] : kSteps[0];
}

}  // namespace

bool interference_guard::Adjustable(const resident& neighbour) const {
  return !neighbour.stopping && neighbour.priority != state::band::kService &&
         !classes_.at(neighbour.klass).latency_critical;
}

double interference_guard::Harm(const vm_slot& slot,
                                const resident& neighbour) const {
  double harm = 0;
  for (const auto& victim : slot.residents) {
    if (&victim != &neighbour && classes_.at(victim.klass).latency_critical) {
      harm += model_.Effect(victim.klass, neighbour.klass);
    }
  }
  return harm;
}

void interference_guard::OnReport(vm_slot& slot,
                                  std::optional<double> worst,
                                  plan_draft& draft) {
  if (options_.interference == interference_rule::kIgnore) {
    return;
  }
  const auto known = watches_.find(slot.name);
  if (!worst && known == watches_.end()) {
    return;
  }
  auto& seen = known == watches_.end() ? watches_[slot.name] : known->second;
  DropEnded(slot, seen);
  const bool above = worst.value_or(0) > 1;
  above_ += above ? 1 : 0;
  above_ -= seen.above ? 1 : 0;
  seen.above = above;
  seen.over = above ? seen.over + 1 : 0;
  if (worst.value_or(0) >= kCalmShare) {
    seen.calm_since.reset();
  } else if (!seen.calm_since) {
    seen.calm_since = draft.now();
  }
  if (seen.over >= kReportsOver) {
    Tighten(slot, seen, draft);
  } else if (seen.calm_since && !seen.throttles.empty()) {
    Lift(slot, seen, draft);
  }
  Repeat(seen, draft);
}

void interference_guard::Set(watch& seen,
                             const state::attempt_id& attempt,
                             uint32_t percent,
                             plan_draft& draft) {
  seen.throttles[attempt] = {percent, draft.now(), draft.now()};
  draft.Throttle(attempt, percent);
}

void interference_guard::Tighten(vm_slot& slot,
                                 watch& seen,
                                 plan_draft& draft) {
  if (options_.interference == interference_rule::kEvictAtOnce) {
    Evict(slot, seen, draft);
    return;
  }
  // The effect of the last step shows only after the measurement lag.
  if (seen.last_step &&
      draft.now() - *seen.last_step < options_.measurement_lag) {
    return;
  }
  const resident* worst = nullptr;
  double worst_harm = 0;
  for (const auto& other : slot.residents) {
    const auto it = seen.throttles.find(other.attempt);
    const uint32_t percent =
        it == seen.throttles.end() ? 100 : it->second.percent;
    if (!Adjustable(other) || percent <= kSteps[2]) {
      continue;
    }
    const double harm = Harm(slot, other) * percent / 100;
    if (harm > worst_harm) {
      worst = &other;
      worst_harm = harm;
    }
  }
  if (worst == nullptr) {
    if (!seen.last_step || draft.now() - *seen.last_step >= kPatience) {
      Evict(slot, seen, draft);
    }
    return;
  }
  if (seen.last_lift && draft.now() - *seen.last_lift < kRelapse) {
    seen.lift_wait =
        std::min(kLongestLiftWait, std::max(kPatience, seen.lift_wait) * 2);
    seen.last_lift.reset();
  }
  const auto it = seen.throttles.find(worst->attempt);
  Set(seen, worst->attempt,
      Below(it == seen.throttles.end() ? 100 : it->second.percent), draft);
  seen.last_step = draft.now();
}

void interference_guard::Evict(vm_slot& slot, watch& seen, plan_draft& draft) {
  const bool at_once = options_.interference == interference_rule::kEvictAtOnce;
  if (!at_once && WaveOfNoise()) {
    return;
  }
  resident* worst = nullptr;
  double worst_harm = 0;
  for (auto& other : slot.residents) {
    const double harm = Harm(slot, other);
    if (Adjustable(other) && harm > worst_harm) {
      worst = &other;
      worst_harm = harm;
    }
  }
  if (worst == nullptr) {
    return;
  }
  // What is left to gain is the slowdown at the lowest speed.
  const double gain = worst_harm * kSteps[2] / 100 * kGainHorizonMs;
  if (at_once || gain > EvictionCost(*worst)) {
    draft.Stop(slot, *worst, "interference");
    seen.over = 0;
    seen.last_step = draft.now();
  }
}

void interference_guard::Lift(vm_slot& slot, watch& seen, plan_draft& draft) {
  const auto wait = std::max(kPatience, seen.lift_wait);
  if (draft.now() - *seen.calm_since < wait) {
    return;
  }
  const resident* mildest = nullptr;
  double least_harm = 0;
  for (const auto& other : slot.residents) {
    const auto it = seen.throttles.find(other.attempt);
    if (it == seen.throttles.end() || it->second.percent >= 100) {
      continue;
    }
    const double harm = Harm(slot, other);
    if (mildest == nullptr || harm < least_harm) {
      mildest = &other;
      least_harm = harm;
    }
  }
  if (mildest == nullptr) {
    return;
  }
  Set(seen, mildest->attempt, Above(seen.throttles[mildest->attempt].percent),
      draft);
  seen.calm_since = draft.now();
  seen.last_lift = draft.now();
}

void interference_guard::Repeat(watch& seen, plan_draft& draft) {
  std::erase_if(seen.throttles, [&](const auto& entry) {
    return entry.second.percent >= 100 &&
           draft.now() - entry.second.changed > 2 * kRepeat;
  });
  for (auto& [attempt, order] : seen.throttles) {
    if (draft.now() - order.sent >= kRepeat) {
      order.sent = draft.now();
      draft.Throttle(attempt, order.percent);
    }
  }
}

bool interference_guard::WaveOfNoise() const {
  return watches_.size() >= kWaveFewest &&
         static_cast<double>(above_) >
             kWaveShare * static_cast<double>(watches_.size());
}

void interference_guard::Trim(const vm_index& index) {
  if (generation_ != index.generation()) {
    generation_ = index.generation();
    std::erase_if(watches_, [&](const auto& entry) {
      const bool gone = index.Find(entry.first) == nullptr;
      above_ -= gone && entry.second.above ? 1 : 0;
      return gone;
    });
  }
}

void interference_guard::DropEnded(const vm_slot& slot, watch& seen) {
  std::erase_if(seen.throttles, [&](const auto& entry) {
    return std::none_of(
        slot.residents.begin(), slot.residents.end(),
        [&](const auto& other) { return other.attempt == entry.first; });
  });
}

double interference_guard::Speed(const std::string& vm,
                                 const state::attempt_id& attempt) const {
  const auto seen = watches_.find(vm);
  if (seen == watches_.end()) {
    return 1;
  }
  const auto it = seen->second.throttles.find(attempt);
  return it == seen->second.throttles.end() ? 1 : it->second.percent / 100.0;
}

std::map<std::string, std::map<state::attempt_id, interference_guard::throttle>>
interference_guard::Throttles() const {
  std::map<std::string, std::map<state::attempt_id, throttle>> all;
  for (const auto& [vm, seen] : watches_) {
    if (!seen.throttles.empty()) {
      all.emplace(vm, seen.throttles);
    }
  }
  return all;
}

void interference_guard::Adopt(const std::string& vm,
                               const state::attempt_id& attempt,
                               uint32_t percent,
                               boot_time now) {
  watches_[vm].throttles[attempt] = {percent, now, now};
}

}  // namespace chiveglade::sched
