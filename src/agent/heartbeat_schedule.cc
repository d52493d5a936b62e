#include "chiveglade/agent/heartbeat_schedule.h"

#include <algorithm>
#include <utility>

namespace chiveglade::agent {

namespace {

// Periods between two heartbeats to an entry of another data centre.
constexpr int kFarPeriods = 3;
// Periods without an answer after which an entry counts as silent.
constexpr int kSilentPeriods = 3;
// Longest wait for an entry that fails, in periods. After an hour-long
// partition the entries of the other side are found again within it.
constexpr int64_t kMaxBackoffPeriods = 8;
// Doublings after which the longest wait is reached in any case.
constexpr uint32_t kMaxDoublings = 4;
// Shortest time between two heartbeats to the scheduler, so that a wave of
// starts and ends is reported in a few messages.
constexpr millis kUrgentGap{50};
// Most entries that are kept; beyond it new ones are not learned.
constexpr size_t kMaxPeers = 256;

}  // namespace

result<std::unique_ptr<heartbeat_schedule>> heartbeat_schedule::Make(
    schedule_options options,
    random_fn random) {
  if (options.seeds.empty()) {
    return reason{"bad_options", "no entry address is given"};
  }
  if (options.period <= millis(0) || !random) {
    return reason{"bad_options",
                  "a positive period and a random source are "
                  "needed"};
  }
  return std::unique_ptr<heartbeat_schedule>(
      new heartbeat_schedule(std::move(options), std::move(random)));
}

heartbeat_schedule::heartbeat_schedule(schedule_options options,
                                       random_fn random)
    : options_(std::move(options)), random_(std::move(random)) {
  for (const auto& seed : options_.seeds) {
    peers_[seed];
  }
}

std::vector<due_heartbeat> heartbeat_schedule::Due(boot_time now, bool urgent) {
  std::vector<due_heartbeat> due;
  for (auto& [address, to] : peers_) {
    const bool at_once = urgent && address == scheduler_ && to.failures == 0 &&
                         now >= to.sent + kUrgentGap;
    if (to.under_way || !Used(to, now) || (now < to.next && !at_once)) {
      continue;
    }
    to.under_way = true;
    to.told = true;
    to.sent = now;
    to.next = now + Interval(address, to);
    due.push_back({address, Full(address, to)});
  }
  return due;
}

bool heartbeat_schedule::Full(const std::string& address,
                              const peer& to) const {
  // A seed may be a balancer in front of the scheduler.
  return address == scheduler_ || !to.listed ||
         to.data_centre == options_.data_centre;
}

bool heartbeat_schedule::Used(const peer& to, boot_time now) const {
  return to.listed || listed_answered_ == boot_time{} ||
         now >= listed_answered_ + options_.period * kSilentPeriods;
}

millis heartbeat_schedule::Interval(const std::string& address,
                                    const peer& to) const {
  return Full(address, to) ? options_.period : options_.period * kFarPeriods;
}

millis heartbeat_schedule::Jittered(millis length) {
  // Between three quarters and five quarters of `length`.
  const auto quarter = std::max<int64_t>(1, length.count() / 4);
  const auto spread =
      static_cast<int64_t>(random_() % static_cast<uint64_t>(2 * quarter));
  return millis(length.count() - quarter + spread);
}

void heartbeat_schedule::OnAnswer(const std::string& address,
                                  const state::heartbeat_answer& answer,
                                  boot_time now) {
  Learn(answer, now);
  LearnScheduler(address, answer, now);
  const auto at = peers_.find(address);
  if (at == peers_.end()) {
    return;
  }
  at->second.under_way = false;
  at->second.failures = 0;
  at->second.answered = now;
  if (at->second.listed) {
    listed_answered_ = now;
  }
}

void heartbeat_schedule::Learn(const state::heartbeat_answer& answer,
                               boot_time now) {
  for (const auto& entry : answer.entries) {
    if (!peers_.contains(entry.address) && peers_.size() >= kMaxPeers) {
      continue;
    }
    auto& to = peers_[entry.address];
    if (!to.listed) {
      // Agents that learn of a new entry at one time must not all reach it at
      // one time.
      to.next = std::max(
          to.next, now + millis(static_cast<int64_t>(
                             random_() %
                             static_cast<uint64_t>(options_.period.count()))));
    }
    to.listed = true;
    to.listed_at = now;
    to.data_centre = entry.data_centre;
  }
  const auto& seeds = options_.seeds;
  for (auto at = peers_.begin(); at != peers_.end();) {
    auto& to = at->second;
    if (!to.listed || now < to.listed_at + kRetention) {
      ++at;
      continue;
    }
    to.listed = false;
    const bool seed = std::count(seeds.begin(), seeds.end(), at->first) != 0;
    at = seed || to.under_way ? std::next(at) : peers_.erase(at);
  }
}

void heartbeat_schedule::LearnScheduler(const std::string& address,
                                        const state::heartbeat_answer& answer,
                                        boot_time now) {
  if (answer.epoch != 0) {
    if (answer.epoch >= epoch_) {
      epoch_ = answer.epoch;
      scheduler_ = answer.scheduler.empty() ? address : answer.scheduler;
      scheduler_answered_ = now;
    }
    return;
  }
  // What other entries know of the scheduler may be older than its own word.
  const bool silent =
      now >= scheduler_answered_ + options_.period * kSilentPeriods;
  if (!answer.scheduler.empty() && answer.scheduler != scheduler_ &&
      (silent || address == scheduler_)) {
    scheduler_ = answer.scheduler;
    if (const auto at = peers_.find(scheduler_); at != peers_.end()) {
      at->second.next = std::min(at->second.next, now);
    }
  }
}

void heartbeat_schedule::OnFailure(const std::string& address, boot_time now) {
  const auto at = peers_.find(address);
  if (at == peers_.end()) {
    return;
  }
  auto& to = at->second;
  to.under_way = false;
  ++to.failures;
  const auto doublings = std::min(to.failures - 1, kMaxDoublings);
  const auto wait = std::min(Interval(address, to) * (1 << doublings),
                             options_.period * kMaxBackoffPeriods);
  to.next = std::max(to.next, now + Jittered(wait));
}

void heartbeat_schedule::MakeAllDue(boot_time now) {
  for (auto& [address, to] : peers_) {
    to.next = now;
    to.told = false;
  }
}

bool heartbeat_schedule::AllTold(boot_time now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& at) {
    const auto& to = at.second;
    return !Used(to, now) || (to.told && !to.under_way);
  });
}

size_t heartbeat_schedule::listed() const {
  return static_cast<size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& at) { return at.second.listed; }));
}

}  // namespace chiveglade::agent
