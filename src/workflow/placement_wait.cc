#include "chiveglade/workflow/placement_wait.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace chiveglade::workflow {

namespace {

// Run time assumed for the tasks of a step without an estimate.
constexpr millis kDefaultEstimate{1'000};
// Longest time that an expectation is computed to. Keeps products of a run time
// and a slowdown in range.
constexpr double kMaxMillis = 24.0 * 60 * 60 * 1'000;
// Ends of runs count with a weight that falls by e in this time: some run times
// of a second or two, so that a rate is known from several ends, and a rack
// that has stopped to free capacity soon shows.
constexpr double kRateMemoryMs = 5'000;
// Shortest time that a rate is computed over. Less would turn one end into a
// high rate.
constexpr double kMinRateWindowMs = 1'000;
// With fewer ends of runs the error of the rate exceeds the rate.
constexpr double kMinEnds = 2;
// More than the racks of the deployments.
constexpr size_t kMaxRacks = 1'024;
// Images are named by callers.
constexpr size_t kMaxRunTimes = 512;
// Error of an estimate without experience. Those of wide jobs are wrong by up
// to 90%, half of that on average; those of others are nearly right.
constexpr double kUnknownError = 0.25;
constexpr double kMaxError = 0.9;
// Mean deviations that a run time rarely exceeds: 1.6 standard deviations of a
// normal distribution.
constexpr double kTailDeviations = 2;
// Weight of a new run time. The older ones of a queue and image soon count
// little, because callers change their programs.
constexpr double kRunTimeWeight = 0.1;
// Run times that are known to be no more than disturbances, such as a run that
// was suspended, are limited to this multiple of the estimate.
constexpr double kMaxRatio = 10;

millis Times(millis time, double by) {
  const double out = static_cast<double>(time.count()) * by;
  return millis(static_cast<int64_t>(std::clamp(out, 0.0, kMaxMillis)));
}

double AgeMs(boot_time since, boot_time now) {
  return std::max(0.0, static_cast<double>((now - since).count()));
}

}  // namespace

wait_decision DecideWait(const wait_question& in) {
  constexpr wait_decision kNever{wait_choice::kNever, millis(0), millis(0)};
  if (!(in.slowdown > 1) || !in.possible || in.time_left <= millis(0)) {
    return kNever;
  }
  auto limit = kMaxPlacementWait - in.waited;
  if (in.idle_waited) {
    limit = std::min(limit, kMaxIdleWait - *in.idle_waited);
  }
  // The gain is the expected one, but the objective, if it could be met
  // elsewhere when the wait began, has to be met also by a task that turns out
  // long.
  const auto remote = Times(in.run.expected, in.slowdown);
  const auto longest_remote = Times(remote, 1 + kTailDeviations * in.run.error);
  limit = std::min(limit, longest_remote <= in.time_left + in.waited
                              ? in.time_left - longest_remote
                              : in.time_left);
  if (limit <= millis(0)) {
    return kNever;
  }
  if (!in.expected_wait || *in.expected_wait > limit) {
    return {};
  }
  const auto end_now = std::max(in.running_end, in.elsewhere_wait + remote);
  const auto end_with_wait =
      std::max(in.running_end, *in.expected_wait + in.run.expected);
  const auto gain = end_now - end_with_wait;
  if (gain < kMinWaitGain) {
    return {};
  }
  return {wait_choice::kWait, limit, gain};
}

millis EstimateOf(const step_spec& step) {
  return step.estimate.count() > 0 ? step.estimate : kDefaultEstimate;
}

std::vector<millis> PathsAfter(const job_spec& job) {
  std::vector<millis> out(job.steps.size(), millis(0));
  // A step depends on earlier ones only.
  for (size_t i = job.steps.size(); i-- > 0;) {
    const auto path = SaturatingAdd(out[i], EstimateOf(job.steps[i]));
    for (const uint32_t earlier : job.steps[i].after) {
      out[earlier] = std::max(out[earlier], path);
    }
  }
  return out;
}

void expected_ends::Add(millis until, const resources& demand) {
  assert(ends_.empty() || !sorted_);  // Sums cannot be extended.
  ends_.push_back({until, demand});
  sorted_ = false;
}

std::optional<millis> expected_ends::TimeUntil(const resources& need) {
  if (!sorted_) {
    sorted_ = true;
    std::sort(ends_.begin(), ends_.end(),
              [](const end& a, const end& b) { return a.until < b.until; });
    resources sum;
    for (auto& next : ends_) {
      sum += next.freed;
      next.freed = sum;
    }
  }
  const auto at = std::partition_point(
      ends_.begin(), ends_.end(),
      [&](const end& next) { return !FitsWithin(need, next.freed); });
  return at == ends_.end() ? std::nullopt : std::optional(at->until);
}

void placement_forecast::rack_rate::Scale(double by) {
  millicores *= by;
  memory_mib *= by;
  accelerators *= by;
  ends *= by;
}

void placement_forecast::OnFreed(const rack_key& rack,
                                 const resources& demand,
                                 boot_time now) {
  if (!racks_.contains(rack) && racks_.size() >= kMaxRacks) {
    return;
  }
  const auto [at, added] = racks_.try_emplace(rack);
  auto& rate = at->second;
  if (added) {
    rate.since = now;
  }
  rate.Scale(std::exp(-AgeMs(rate.updated_at, now) / kRateMemoryMs));
  rate.updated_at = std::max(rate.updated_at, now);
  rate.millicores += static_cast<double>(demand.millicores);
  rate.memory_mib += static_cast<double>(demand.memory_mib);
  rate.accelerators += static_cast<double>(demand.accelerators);
  rate.ends += 1;
}

void placement_forecast::OnVms(
    const std::string& service,
    const std::map<std::string, uint32_t>& vms_by_rack,
    boot_time now) {
  for (auto at = racks_.lower_bound({service, ""});
       at != racks_.end() && at->first.first == service;) {
    const auto found = vms_by_rack.find(at->first.second);
    if (found == vms_by_rack.end()) {
      at = racks_.erase(at);
      continue;
    }
    auto& rate = at->second;
    if (found->second < rate.vms) {
      rate.Scale(static_cast<double>(found->second) / rate.vms);
    }
    rate.vms = found->second;
    ++at;
  }
  for (const auto& [rack, count] : vms_by_rack) {
    if (racks_.size() >= kMaxRacks) {
      return;
    }
    const auto [at, added] = racks_.try_emplace({service, rack});
    if (added) {
      at->second.since = at->second.updated_at = now;
      at->second.vms = count;
    }
  }
}

std::optional<millis> placement_forecast::ExpectedWait(const rack_key& rack,
                                                       const resources& need,
                                                       boot_time now) const {
  const auto at = racks_.find(rack);
  if (at == racks_.end()) {
    return std::nullopt;
  }
  auto rate = at->second;
  rate.Scale(std::exp(-AgeMs(rate.updated_at, now) / kRateMemoryMs));
  if (rate.ends < kMinEnds) {
    return std::nullopt;
  }
  // The sum that one unit per millisecond since `since` would have reached.
  const double window = std::max(
      kMinRateWindowMs,
      kRateMemoryMs * (1 - std::exp(-AgeMs(rate.since, now) / kRateMemoryMs)));
  double longest = 0;
  for (const auto& [needed, freed] :
       {std::pair(need.millicores, rate.millicores),
        {need.memory_mib, rate.memory_mib},
        {need.accelerators, rate.accelerators}}) {
    if (needed <= 0) {
      continue;
    }
    if (freed <= 0) {
      return std::nullopt;
    }
    longest = std::max(longest, static_cast<double>(needed) * window / freed);
  }
  longest *= 1 + 1 / std::sqrt(rate.ends);
  return millis(static_cast<int64_t>(std::min(longest, kMaxMillis)));
}

void placement_forecast::OnRunTime(const std::string& queue,
                                   const std::string& image,
                                   millis estimate,
                                   millis actual) {
  if (estimate <= millis(0) || actual < millis(0)) {
    return;
  }
  const std::pair key(queue, image);
  if (!run_times_.contains(key) && run_times_.size() >= kMaxRunTimes) {
    run_times_.erase(std::min_element(run_times_.begin(), run_times_.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.second.used < b.second.used;
                                      }));
  }
  auto& known = run_times_[key];
  const double ratio =
      std::min(kMaxRatio, static_cast<double>(actual.count()) /
                              static_cast<double>(estimate.count()));
  known.used = ++uses_;
  if (++known.count == 1) {
    known.mean = ratio;
    known.deviation = kUnknownError * ratio;
    return;
  }
  const double weight = std::max(kRunTimeWeight, 1.0 / known.count);
  known.deviation += weight * (std::abs(ratio - known.mean) - known.deviation);
  known.mean += weight * (ratio - known.mean);
}

run_time_forecast placement_forecast::RunTime(const std::string& queue,
                                              const std::string& image,
                                              millis estimate) const {
  const auto at = run_times_.find({queue, image});
  if (at == run_times_.end() || at->second.mean <= 0) {
    return {estimate, kUnknownError};
  }
  const auto& known = at->second;
  return {Times(estimate, known.mean),
          std::min(kMaxError, known.deviation / known.mean)};
}

}  // namespace chiveglade::workflow
