#include "chiveglade/routing/class_queue.h"

#include <algorithm>

namespace chiveglade::routing {

namespace {

using std::chrono::microseconds;

// Weight of a new measurement in a moving average of latency.
constexpr int kLatencyWeight = 8;

void Average(microseconds& mean, microseconds sample) {
  mean = mean.count() == 0 ? sample : mean + (sample - mean) / kLatencyWeight;
}

millis RoundDown(microseconds length) {
  return std::chrono::duration_cast<millis>(length);
}

bool IsValid(const queue_options& options) {
  return options.slots > 0 && options.connections > 0 &&
         !options.classes.empty();
}

}  // namespace

result<std::shared_ptr<class_queue>> class_queue::Make(queue_options options,
                                                       clock_fn clock) {
  if (!IsValid(options)) {
    return reason{"bad_options", "needs slots, connections and classes"};
  }
  return std::shared_ptr<class_queue>(
      new class_queue(std::move(options), std::move(clock)));
}

class_queue::class_queue(queue_options options, clock_fn clock)
    : clock_(std::move(clock)), options_(std::move(options)) {
  for (const auto& each : options_.classes) {
    classes_[each.name].spec = each;
  }
}

class_queue::ticket class_queue::Enqueue(const std::string& klass,
                                         boot_time deadline,
                                         grant_callback then) {
  replies calls;
  ticket number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = ++last_ticket_;
    const auto at = classes_.find(klass);
    if (at == classes_.end()) {
      calls.push_back([number, klass, then] {
        then(number, reason{"unknown_class", "no request class " + klass});
      });
    } else {
      auto& state = at->second;
      // Before the limits are applied, so that requests that have already
      // missed their deadline take no place in the queue.
      RefuseLate(calls);
      state.waiting[number] = {deadline, deadline - RoundDown(state.latency),
                               std::move(then)};
      class_of_waiting_[number] = klass;
      give_up_.insert({state.waiting[number].give_up, number});
      Dispatch(calls);
      if (class_of_waiting_.count(number) != 0) {
        if (state.waiting.size() > state.spec.queue_limit) {
          Refuse(state, number,
                 {"queue_full", "the queue of " + klass + " is full"}, calls);
        } else if (!CanEverStart(state, deadline)) {
          Refuse(state, number,
                 {"deadline", "the queue is longer than the time left"}, calls);
        }
      }
    }
  }
  Run(calls);
  return number;
}

void class_queue::Cancel(ticket waiting) {
  replies calls;
  {
    const std::lock_guard lock(mutex_);
    const auto at = class_of_waiting_.find(waiting);
    if (at == class_of_waiting_.end()) {
      return;
    }
    Refuse(classes_.at(at->second), waiting,
           {"cancelled", "the request was given up by its sender"}, calls);
  }
  Run(calls);
}

void class_queue::FreeSlot(granted_request& holder) {
  if (!holder.holds_slot) {
    return;
  }
  holder.holds_slot = false;
  --in_use_;
  // A class that was removed and declared again has lost its count.
  if (const auto at = classes_.find(holder.klass);
      at != classes_.end() && at->second.in_use > 0) {
    --at->second.in_use;
  }
}

void class_queue::ReleaseSlot(ticket granted) {
  replies calls;
  {
    const std::lock_guard lock(mutex_);
    const auto at = granted_.find(granted);
    if (at == granted_.end()) {
      return;
    }
    FreeSlot(at->second);
    Dispatch(calls);
  }
  Run(calls);
}

void class_queue::Finish(ticket granted, std::optional<microseconds> took) {
  replies calls;
  {
    const std::lock_guard lock(mutex_);
    const auto at = granted_.find(granted);
    if (at == granted_.end()) {
      return;
    }
    FreeSlot(at->second);
    if (took) {
      Average(latency_, *took);
      if (const auto k = classes_.find(at->second.klass); k != classes_.end()) {
        Average(k->second.latency, *took);
      }
    }
    granted_.erase(at);
    Dispatch(calls);
  }
  Run(calls);
}

void class_queue::Tick() {
  replies calls;
  {
    const std::lock_guard lock(mutex_);
    RefuseLate(calls);
    Dispatch(calls);
  }
  Run(calls);
}

void class_queue::Reconfigure(queue_options options) {
  if (!IsValid(options)) {
    return;
  }
  replies calls;
  {
    const std::lock_guard lock(mutex_);
    std::set<std::string> kept;
    for (const auto& each : options.classes) {
      kept.insert(each.name);
      classes_[each.name].spec = each;
    }
    for (auto at = classes_.begin(); at != classes_.end();) {
      if (kept.count(at->first) != 0) {
        ++at;
        continue;
      }
      while (!at->second.waiting.empty()) {
        Refuse(at->second, at->second.waiting.begin()->first,
               {"unknown_class", "no request class " + at->first}, calls);
      }
      // Its slots are counted in `in_use_` until their requests finish.
      at = classes_.erase(at);
    }
    options_ = std::move(options);
    Dispatch(calls);
  }
  Run(calls);
}

queue_load class_queue::load() const {
  const std::lock_guard lock(mutex_);
  return {options_.slots, in_use_,
          static_cast<uint32_t>(class_of_waiting_.size()),
          static_cast<uint32_t>(granted_.size()), latency_};
}

void class_queue::Refuse(class_state& from,
                         ticket which,
                         const reason& why,
                         replies& out) {
  const auto at = from.waiting.find(which);
  give_up_.erase({at->second.give_up, which});
  class_of_waiting_.erase(which);
  out.push_back(
      [which, why, then = std::move(at->second.then)] { then(which, why); });
  from.waiting.erase(at);
}

void class_queue::RefuseLate(replies& out) {
  const boot_time now = clock_();
  while (!give_up_.empty() && give_up_.begin()->first <= now) {
    const ticket which = give_up_.begin()->second;
    Refuse(classes_.at(class_of_waiting_.at(which)), which,
           {"deadline", "the deadline can no longer be met"}, out);
  }
}

uint32_t class_queue::SlotsOf(const class_state& klass) const {
  return std::max<uint32_t>(
      options_.slots * klass.spec.max_slot_share_pct / 100, 1);
}

class_queue::class_state* class_queue::NextClass() {
  class_state* best = nullptr;
  for (auto& [name, each] : classes_) {
    if (each.waiting.empty() || each.in_use >= SlotsOf(each)) {
      continue;
    }
    const auto order = [](const class_state& of) {
      return std::pair(of.spec.rank, of.waiting.begin()->first);
    };
    if (best == nullptr || order(each) < order(*best)) {
      best = &each;
    }
  }
  return best;
}

void class_queue::Dispatch(replies& out) {
  const boot_time now = clock_();
  while (in_use_ < options_.slots && granted_.size() < options_.connections) {
    class_state* const from = NextClass();
    if (from == nullptr) {
      return;
    }
    const auto at = from->waiting.begin();
    const ticket which = at->first;
    // A free slot is given even if the average says that the time left is too
    // short: otherwise an average that was once too high would never recover.
    if (at->second.deadline <= now) {
      Refuse(*from, which, {"deadline", "the deadline has passed"}, out);
      continue;
    }
    give_up_.erase({at->second.give_up, which});
    class_of_waiting_.erase(which);
    granted_[which] = {from->spec.name, true};
    ++in_use_;
    ++from->in_use;
    out.push_back(
        [which, then = std::move(at->second.then)] { then(which, done{}); });
    from->waiting.erase(at);
  }
}

uint32_t class_queue::QueuedUpTo(uint32_t rank) const {
  size_t out = 0;
  for (const auto& [name, each] : classes_) {
    out += each.spec.rank <= rank ? each.waiting.size() : 0;
  }
  return static_cast<uint32_t>(out);
}

bool class_queue::CanEverStart(const class_state& klass,
                               boot_time deadline) const {
  // The request itself is in the queue; it starts when the ones ahead of it
  // have each got a slot.
  const auto turns = QueuedUpTo(klass.spec.rank) / SlotsOf(klass);
  return clock_() + RoundDown(latency_ * turns) < deadline;
}

void class_queue::Run(const replies& calls) {
  for (const auto& each : calls) {
    each();
  }
}

}  // namespace chiveglade::routing
