#include "src/sched/interference_guard.h"

#include <algorithm>

#include "src/sched/preemption.h"

namespace chiveglade::sched {
namespace {

// Consecutive reports above the limit before the guard acts, since single
// reports are noisy.
constexpr uint32_t kMinReportsOverLimit = 3;
// Throttles are released only below this share of the limit (hysteresis).
constexpr double kReleaseThreshold = 0.9;
// Least time from the last throttle to an eviction, and below kReleaseThreshold
// before a release.
constexpr millis kControlInterval{10'000};
constexpr millis kMaxReleaseBackoff{320'000};
// If throttling is needed within this time after a release, the release was too
// early, and the wait before the next one doubles.
constexpr millis kEarlyReleaseWindow{60'000};
// Throttle orders are resent, since the response that carries one can be lost.
constexpr millis kThrottleResendInterval{10'000};
// Time over which the slowdown spared by an eviction is counted. Neighbours
// usually stay for minutes.
constexpr double kGainHorizonMs = 120'000;
// Time for which an evicted task would run at full speed elsewhere: about the
// remaining run time of a typical batch task.
constexpr double kFullSpeedHorizonMs = 30'000;
// A task throttled for this long is considered for eviction.
constexpr millis kMaxThrottledTime{20'000};
// If more than this share of the monitored VMs is above its limit, the cause is
// the load rather than a neighbour, and evictions would only lose work. Applies
// from kClusterWideMinVms monitored VMs on.
constexpr double kClusterWideShare = 0.34;
constexpr size_t kClusterWideMinVms = 6;

// Share of the headroom that one release may use, since effects are estimates.
constexpr double kReleaseHeadroomShare = 0.8;

constexpr uint32_t kThrottlePercents[] = {100, 50, 25};

uint32_t NextLowerPercent(uint32_t percent) {
  return percent > kThrottlePercents[1] ? kThrottlePercents[1]
                                        : kThrottlePercents[2];
}

uint32_t NextHigherPercent(uint32_t percent) {
  return percent < kThrottlePercents[1] ? kThrottlePercents[1]
                                        : kThrottlePercents[0];
}

}  // namespace

bool interference_guard::IsThrottleable(const resident& neighbour) const {
  return !neighbour.stopping && neighbour.priority != state::band::kService &&
         !classes_.at(neighbour.klass).latency_critical;
}

double interference_guard::InducedSlowdown(const vm_slot& slot,
                                           const resident& neighbour) const {
  double induced = 0;
  for (const auto& victim : slot.residents) {
    if (&victim != &neighbour && classes_.at(victim.klass).latency_critical) {
      induced += model_.Effect(victim.klass, neighbour.klass);
    }
  }
  return induced;
}

void interference_guard::OnReport(vm_slot& slot,
                                  std::optional<slowdown_reading> worst,
                                  plan_draft& draft) {
  if (options_.interference == interference_rule::kIgnore) {
    return;
  }
  const auto known = vm_controls_.find(slot.name);
  if (!worst && known == vm_controls_.end()) {
    return;
  }
  auto& control =
      known == vm_controls_.end() ? vm_controls_[slot.name] : known->second;
  DropEndedAttempts(slot, control);
  const auto reading = worst.value_or(slowdown_reading{});
  const bool above_limit = reading.share > 1;
  vms_above_limit_ += above_limit ? 1 : 0;
  vms_above_limit_ -= control.above_limit ? 1 : 0;
  control.above_limit = above_limit;
  control.reports_over_limit = above_limit ? control.reports_over_limit + 1 : 0;
  if (reading.share >= kReleaseThreshold) {
    control.low_since.reset();
  } else if (!control.low_since) {
    control.low_since = draft.now();
  }
  if (control.reports_over_limit >= kMinReportsOverLimit) {
    IncreaseThrottles(slot, control, -reading.headroom, draft);
  } else if (control.low_since && !control.throttles.empty()) {
    ReleaseThrottles(slot, control, reading.headroom, draft);
  }
  EvictLongThrottled(slot, control, draft);
  ResendThrottles(control, draft);
}

void interference_guard::SetThrottle(vm_control& control,
                                     const state::attempt_id& attempt,
                                     uint32_t percent,
                                     plan_draft& draft) {
  const auto known = control.throttles.find(attempt);
  const auto throttled_since = known == control.throttles.end()
                                   ? draft.now()
                                   : known->second.throttled_since;
  control.throttles[attempt] = {percent, draft.now(), draft.now(),
                                throttled_since};
  draft.Throttle(attempt, percent);
}

void interference_guard::IncreaseThrottles(vm_slot& slot,
                                           vm_control& control,
                                           double excess,
                                           plan_draft& draft) {
  if (options_.interference == interference_rule::kEvictImmediately) {
    Evict(slot, control, draft);
    return;
  }
  // Reports show the effect of the last step only after the measurement lag.
  if (control.last_increase &&
      draft.now() - *control.last_increase < options_.measurement_lag) {
    return;
  }
  std::set<state::attempt_id> changed_attempts;
  while (excess > 0) {
    const auto* worst = MostHarmful(slot, control, changed_attempts);
    if (worst == nullptr) {
      break;
    }
    const uint32_t before = PercentOf(control, worst->attempt);
    SetThrottle(control, worst->attempt, NextLowerPercent(before), draft);
    changed_attempts.insert(worst->attempt);
    excess -= InducedSlowdown(slot, *worst) *
              (before - NextLowerPercent(before)) / 100;
  }
  if (changed_attempts.empty()) {
    if (!control.last_increase ||
        draft.now() - *control.last_increase >= kControlInterval) {
      Evict(slot, control, draft);
    }
    return;
  }
  if (control.last_release &&
      draft.now() - *control.last_release < kEarlyReleaseWindow) {
    control.release_backoff =
        std::min(kMaxReleaseBackoff,
                 std::max(kControlInterval, control.release_backoff) * 2);
    control.last_release.reset();
  }
  control.last_increase = draft.now();
}

void interference_guard::Evict(vm_slot& slot,
                               vm_control& control,
                               plan_draft& draft) {
  const bool at_once =
      options_.interference == interference_rule::kEvictImmediately;
  if (!at_once && IsClusterWideSlowdown()) {
    return;
  }
  resident* worst = nullptr;
  double worst_harm = 0;
  for (auto& other : slot.residents) {
    const double induced = InducedSlowdown(slot, other);
    if (IsThrottleable(other) && induced > worst_harm) {
      worst = &other;
      worst_harm = induced;
    }
  }
  if (worst == nullptr) {
    return;
  }
  if (at_once || EvictionGain(slot, control, *worst) > LostWorkCost(*worst)) {
    draft.Stop(slot, *worst, "interference");
    control.reports_over_limit = 0;
    control.last_increase = draft.now();
  }
}

double interference_guard::EvictionGain(const vm_slot& slot,
                                        const vm_control& control,
                                        const resident& neighbour) const {
  const double speed = PercentOf(control, neighbour.attempt) / 100.0;
  return InducedSlowdown(slot, neighbour) * speed * kGainHorizonMs +
         (1 - speed) * kFullSpeedHorizonMs;
}

void interference_guard::EvictLongThrottled(vm_slot& slot,
                                            vm_control& control,
                                            plan_draft& draft) {
  if (options_.interference != interference_rule::kLearned ||
      IsClusterWideSlowdown() ||
      (control.last_increase &&
       draft.now() - *control.last_increase < kControlInterval)) {
    return;
  }
  resident* worst = nullptr;
  double most = 0;
  for (auto& other : slot.residents) {
    const auto it = control.throttles.find(other.attempt);
    if (it == control.throttles.end() || it->second.percent >= 100 ||
        draft.now() - it->second.throttled_since < kMaxThrottledTime ||
        !IsThrottleable(other)) {
      continue;
    }
    const double surplus =
        EvictionGain(slot, control, other) - LostWorkCost(other);
    if (surplus > most) {
      worst = &other;
      most = surplus;
    }
  }
  if (worst != nullptr) {
    draft.Stop(slot, *worst, "interference");
    control.last_increase = draft.now();
  }
}

void interference_guard::ReleaseThrottles(vm_slot& slot,
                                          vm_control& control,
                                          double headroom,
                                          plan_draft& draft) {
  const auto wait = std::max(kControlInterval, control.release_backoff);
  if (draft.now() - *control.low_since < wait) {
    return;
  }
  std::set<state::attempt_id> changed_attempts;
  while (const auto* least_harmful =
             LeastHarmful(slot, control, changed_attempts)) {
    const uint32_t before = PercentOf(control, least_harmful->attempt);
    const double cost = InducedSlowdown(slot, *least_harmful) *
                        (NextHigherPercent(before) - before) / 100;
    if (!changed_attempts.empty() && cost > headroom * kReleaseHeadroomShare) {
      break;
    }
    headroom -= cost;
    SetThrottle(control, least_harmful->attempt, NextHigherPercent(before),
                draft);
    changed_attempts.insert(least_harmful->attempt);
  }
  if (!changed_attempts.empty()) {
    control.low_since = draft.now();
    control.last_release = draft.now();
  }
}

const resident* interference_guard::MostHarmful(
    const vm_slot& slot,
    const vm_control& control,
    const std::set<state::attempt_id>& skip) const {
  const resident* most_harmful = nullptr;
  double most = 0;
  for (const auto& other : slot.residents) {
    const uint32_t percent = PercentOf(control, other.attempt);
    if (!IsThrottleable(other) || percent <= kThrottlePercents[2] ||
        skip.contains(other.attempt)) {
      continue;
    }
    const double induced = InducedSlowdown(slot, other) * percent / 100;
    if (induced > most) {
      most_harmful = &other;
      most = induced;
    }
  }
  return most_harmful;
}

const resident* interference_guard::LeastHarmful(
    const vm_slot& slot,
    const vm_control& control,
    const std::set<state::attempt_id>& skip) const {
  const resident* least_harmful = nullptr;
  double least = 0;
  for (const auto& other : slot.residents) {
    if (PercentOf(control, other.attempt) >= 100 ||
        skip.contains(other.attempt)) {
      continue;
    }
    const double induced = InducedSlowdown(slot, other);
    if (least_harmful == nullptr || induced < least) {
      least_harmful = &other;
      least = induced;
    }
  }
  return least_harmful;
}

uint32_t interference_guard::PercentOf(const vm_control& control,
                                       const state::attempt_id& attempt) {
  const auto it = control.throttles.find(attempt);
  return it == control.throttles.end() ? 100 : it->second.percent;
}

void interference_guard::ResendThrottles(vm_control& control,
                                         plan_draft& draft) {
  std::erase_if(control.throttles, [&](const auto& entry) {
    return entry.second.percent >= 100 &&
           draft.now() - entry.second.changed_at > 2 * kThrottleResendInterval;
  });
  for (auto& [attempt, order] : control.throttles) {
    if (draft.now() - order.sent_at >= kThrottleResendInterval) {
      order.sent_at = draft.now();
      draft.Throttle(attempt, order.percent);
    }
  }
}

bool interference_guard::IsClusterWideSlowdown() const {
  return vm_controls_.size() >= kClusterWideMinVms &&
         static_cast<double>(vms_above_limit_) >
             kClusterWideShare * static_cast<double>(vm_controls_.size());
}

void interference_guard::DropAbsentVms(const vm_index& index) {
  if (generation_ != index.generation()) {
    generation_ = index.generation();
    std::erase_if(vm_controls_, [&](const auto& entry) {
      const bool gone = index.Find(entry.first) == nullptr;
      vms_above_limit_ -= gone && entry.second.above_limit ? 1 : 0;
      return gone;
    });
  }
}

void interference_guard::DropEndedAttempts(const vm_slot& slot,
                                           vm_control& control) {
  std::erase_if(control.throttles, [&](const auto& entry) {
    return std::none_of(
        slot.residents.begin(), slot.residents.end(),
        [&](const auto& other) { return other.attempt == entry.first; });
  });
}

bool interference_guard::HasThrottles(const std::string& vm) const {
  const auto control = vm_controls_.find(vm);
  return control != vm_controls_.end() && !control->second.throttles.empty();
}

double interference_guard::CpuShare(const std::string& vm,
                                    const state::attempt_id& attempt) const {
  const auto control = vm_controls_.find(vm);
  if (control == vm_controls_.end()) {
    return 1;
  }
  const auto it = control->second.throttles.find(attempt);
  return it == control->second.throttles.end() ? 1 : it->second.percent / 100.0;
}

std::map<std::string, std::map<state::attempt_id, interference_guard::throttle>>
interference_guard::Throttles() const {
  std::map<std::string, std::map<state::attempt_id, throttle>> all;
  for (const auto& [vm, control] : vm_controls_) {
    if (!control.throttles.empty()) {
      all.emplace(vm, control.throttles);
    }
  }
  return all;
}

void interference_guard::RestoreThrottle(const std::string& vm,
                                         const state::attempt_id& attempt,
                                         uint32_t percent,
                                         boot_time now) {
  vm_controls_[vm].throttles[attempt] = {percent, now, now, now};
}

}  // namespace chiveglade::sched
