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
constexpr millis kStepInterval{10'000};
constexpr millis kLongestLiftWait{320'000};
// A throttle this soon after a lift means that the lift was too early.
constexpr millis kRelapse{60'000};
// Throttle orders are repeated, since an answer that carries one can be lost.
constexpr millis kRepeat{10'000};
// Time over which the gain of an eviction is counted. Neighbours usually stay
// for minutes.
constexpr double kGainHorizonMs = 120'000;
// Time for which a task elsewhere would run at full speed: about what is left
// of a common batch task.
constexpr double kSpeedHorizonMs = 30'000;
// A task that has needed throttling for this long is better moved.
constexpr millis kStuckAfter{20'000};
// With more than this share of watched VMs above their limits the cause is the
// load, not a neighbour, and evictions would only throw work away.
constexpr double kWaveShare = 0.34;
constexpr size_t kWaveFewest = 6;

// Share of the headroom that lifts may use up, since effects are estimates.
constexpr double kLiftShare = 0.8;

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
                                  std::optional<slowdown_reading> worst,
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
  const auto reading = worst.value_or(slowdown_reading{});
  const bool above = reading.share > 1;
  above_ += above ? 1 : 0;
  above_ -= seen.above ? 1 : 0;
  seen.above = above;
  seen.over = above ? seen.over + 1 : 0;
  if (reading.share >= kCalmShare) {
    seen.calm_since.reset();
  } else if (!seen.calm_since) {
    seen.calm_since = draft.now();
  }
  if (seen.over >= kReportsOver) {
    Tighten(slot, seen, -reading.headroom, draft);
  } else if (seen.calm_since && !seen.throttles.empty()) {
    Lift(slot, seen, reading.headroom, draft);
  }
  EvictStuck(slot, seen, draft);
  Repeat(seen, draft);
}

void interference_guard::Set(watch& seen,
                             const state::attempt_id& attempt,
                             uint32_t percent,
                             plan_draft& draft) {
  const auto known = seen.throttles.find(attempt);
  const auto since =
      known == seen.throttles.end() ? draft.now() : known->second.since;
  seen.throttles[attempt] = {percent, draft.now(), draft.now(), since};
  draft.Throttle(attempt, percent);
}

void interference_guard::Tighten(vm_slot& slot,
                                 watch& seen,
                                 double excess,
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
  std::set<state::attempt_id> stepped;
  while (excess > 0) {
    const auto* worst = Strongest(slot, seen, stepped);
    if (worst == nullptr) {
      break;
    }
    const uint32_t before = PercentOf(seen, worst->attempt);
    Set(seen, worst->attempt, Below(before), draft);
    stepped.insert(worst->attempt);
    excess -= Harm(slot, *worst) * (before - Below(before)) / 100;
  }
  if (stepped.empty()) {
    if (!seen.last_step || draft.now() - *seen.last_step >= kStepInterval) {
      Evict(slot, seen, draft);
    }
    return;
  }
  if (seen.last_lift && draft.now() - *seen.last_lift < kRelapse) {
    seen.lift_wait =
        std::min(kLongestLiftWait, std::max(kStepInterval, seen.lift_wait) * 2);
    seen.last_lift.reset();
  }
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
  if (at_once || Gain(slot, seen, *worst) > WorkLost(*worst)) {
    draft.Stop(slot, *worst, "interference");
    seen.over = 0;
    seen.last_step = draft.now();
  }
}

double interference_guard::Gain(const vm_slot& slot,
                                const watch& seen,
                                const resident& neighbour) const {
  const double speed = PercentOf(seen, neighbour.attempt) / 100.0;
  return Harm(slot, neighbour) * speed * kGainHorizonMs +
         (1 - speed) * kSpeedHorizonMs;
}

void interference_guard::EvictStuck(vm_slot& slot,
                                    watch& seen,
                                    plan_draft& draft) {
  if (options_.interference != interference_rule::kLearned || WaveOfNoise() ||
      (seen.last_step && draft.now() - *seen.last_step < kStepInterval)) {
    return;
  }
  resident* worst = nullptr;
  double most = 0;
  for (auto& other : slot.residents) {
    const auto it = seen.throttles.find(other.attempt);
    if (it == seen.throttles.end() || it->second.percent >= 100 ||
        draft.now() - it->second.since < kStuckAfter || !Adjustable(other)) {
      continue;
    }
    const double surplus = Gain(slot, seen, other) - WorkLost(other);
    if (surplus > most) {
      worst = &other;
      most = surplus;
    }
  }
  if (worst != nullptr) {
    draft.Stop(slot, *worst, "interference");
    seen.last_step = draft.now();
  }
}

void interference_guard::Lift(vm_slot& slot,
                              watch& seen,
                              double headroom,
                              plan_draft& draft) {
  const auto wait = std::max(kStepInterval, seen.lift_wait);
  if (draft.now() - *seen.calm_since < wait) {
    return;
  }
  std::set<state::attempt_id> stepped;
  while (const auto* mildest = Mildest(slot, seen, stepped)) {
    const uint32_t before = PercentOf(seen, mildest->attempt);
    const double cost = Harm(slot, *mildest) * (Above(before) - before) / 100;
    if (!stepped.empty() && cost > headroom * kLiftShare) {
      break;
    }
    headroom -= cost;
    Set(seen, mildest->attempt, Above(before), draft);
    stepped.insert(mildest->attempt);
  }
  if (!stepped.empty()) {
    seen.calm_since = draft.now();
    seen.last_lift = draft.now();
  }
}

const resident* interference_guard::Strongest(
    const vm_slot& slot,
    const watch& seen,
    const std::set<state::attempt_id>& skip) const {
  const resident* strongest = nullptr;
  double most = 0;
  for (const auto& other : slot.residents) {
    const uint32_t percent = PercentOf(seen, other.attempt);
    if (!Adjustable(other) || percent <= kSteps[2] ||
        skip.contains(other.attempt)) {
      continue;
    }
    const double harm = Harm(slot, other) * percent / 100;
    if (harm > most) {
      strongest = &other;
      most = harm;
    }
  }
  return strongest;
}

const resident* interference_guard::Mildest(
    const vm_slot& slot,
    const watch& seen,
    const std::set<state::attempt_id>& skip) const {
  const resident* mildest = nullptr;
  double least = 0;
  for (const auto& other : slot.residents) {
    if (PercentOf(seen, other.attempt) >= 100 || skip.contains(other.attempt)) {
      continue;
    }
    const double harm = Harm(slot, other);
    if (mildest == nullptr || harm < least) {
      mildest = &other;
      least = harm;
    }
  }
  return mildest;
}

uint32_t interference_guard::PercentOf(const watch& seen,
                                       const state::attempt_id& attempt) {
  const auto it = seen.throttles.find(attempt);
  return it == seen.throttles.end() ? 100 : it->second.percent;
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

bool interference_guard::Throttles(const std::string& vm) const {
  const auto seen = watches_.find(vm);
  return seen != watches_.end() && !seen->second.throttles.empty();
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
  watches_[vm].throttles[attempt] = {percent, now, now, now};
}

}  // namespace chiveglade::sched
