#include "chiveglade/routing/class_queue.h"

#include <algorithm>

namespace chiveglade::routing {

namespace {

using std::chrono::microseconds;

// A new sample has one part in this many of the weight in a moving average of
// latency.
constexpr int kInverseSampleWeight = 8;

void UpdateAverage(microseconds& mean, microseconds sample) {
  mean = mean.count() == 0 ? sample
                           : mean + (sample - mean) / kInverseSampleWeight;
}

millis TruncateToMillis(microseconds length) {
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
    return reason{"bad_options",
                  "at least one slot, connection and class is needed"};
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
  deferred_calls calls;
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
      // Runs before the queue limit is checked, so that requests that can no
      // longer meet their deadline don't count towards it.
      RefuseExpired(calls);
      state.waiting[number] = {deadline,
                               deadline - TruncateToMillis(state.latency),
                               std::move(then)};
      class_of_waiting_[number] = klass;
      latest_starts_.insert({state.waiting[number].latest_start, number});
      Dispatch(calls);
      if (class_of_waiting_.count(number) != 0) {
        if (state.waiting.size() > state.spec.queue_limit) {
          Refuse(state, number,
                 {"queue_full", "the queue of class " + klass + " is full"},
                 calls);
        } else if (!CanStartInTime(state, deadline)) {
          Refuse(state, number,
                 {"deadline", "the expected wait exceeds the time left"},
                 calls);
        }
      }
    }
  }
  Run(calls);
  return number;
}

void class_queue::Cancel(ticket waiting) {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    const auto at = class_of_waiting_.find(waiting);
    if (at == class_of_waiting_.end()) {
      return;
    }
    Refuse(classes_.at(at->second), waiting,
           {"cancelled", "the sender cancelled the request"}, calls);
  }
  Run(calls);
}

void class_queue::FreeSlot(granted_request& holder) {
  if (!holder.holds_slot) {
    return;
  }
  holder.holds_slot = false;
  --in_use_;
  // A class that was removed and declared again has started a new count, so the
  // count may be zero while older requests still hold slots.
  if (const auto at = classes_.find(holder.klass);
      at != classes_.end() && at->second.in_use > 0) {
    --at->second.in_use;
  }
}

void class_queue::ReleaseSlot(ticket granted) {
  deferred_calls calls;
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
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    const auto at = granted_.find(granted);
    if (at == granted_.end()) {
      return;
    }
    FreeSlot(at->second);
    if (took) {
      UpdateAverage(latency_, *took);
      if (const auto k = classes_.find(at->second.klass); k != classes_.end()) {
        UpdateAverage(k->second.latency, *took);
      }
    }
    granted_.erase(at);
    Dispatch(calls);
  }
  Run(calls);
}

void class_queue::Tick() {
  deferred_calls calls;
  {
    const std::lock_guard lock(mutex_);
    RefuseExpired(calls);
    Dispatch(calls);
  }
  Run(calls);
}

void class_queue::Reconfigure(queue_options options) {
  if (!IsValid(options)) {
    return;
  }
  deferred_calls calls;
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
      // `in_use_` still counts the slots that requests of this class hold,
      // until they release them.
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
                         deferred_calls& out) {
  const auto at = from.waiting.find(which);
  latest_starts_.erase({at->second.latest_start, which});
  class_of_waiting_.erase(which);
  out.push_back(
      [which, why, then = std::move(at->second.then)] { then(which, why); });
  from.waiting.erase(at);
}

void class_queue::RefuseExpired(deferred_calls& out) {
  const boot_time now = clock_();
  while (!latest_starts_.empty() && latest_starts_.begin()->first <= now) {
    const ticket which = latest_starts_.begin()->second;
    Refuse(classes_.at(class_of_waiting_.at(which)), which,
           {"deadline", "the deadline can no longer be met"}, out);
  }
}

uint32_t class_queue::MaxSlots(const class_state& klass) const {
  return std::max<uint32_t>(
      options_.slots * klass.spec.max_slot_share_pct / 100, 1);
}

class_queue::class_state* class_queue::NextClass() {
  class_state* best = nullptr;
  for (auto& [name, each] : classes_) {
    if (each.waiting.empty() || each.in_use >= MaxSlots(each)) {
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

void class_queue::Dispatch(deferred_calls& out) {
  const boot_time now = clock_();
  while (in_use_ < options_.slots && granted_.size() < options_.connections) {
    class_state* const from = NextClass();
    if (from == nullptr) {
      return;
    }
    const auto at = from->waiting.begin();
    const ticket which = at->first;
    // A free slot is granted even if the time left is shorter than the average
    // latency: without new samples, an average that is too high would never
    // recover.
    if (at->second.deadline <= now) {
      Refuse(*from, which, {"deadline", "the deadline has passed"}, out);
      continue;
    }
    latest_starts_.erase({at->second.latest_start, which});
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

bool class_queue::CanStartInTime(const class_state& klass,
                                 boot_time deadline) const {
  // The request is queued already and counts too. It starts once each request
  // ahead of it has got a slot, and the slots of the class are estimated to
  // turn over once per average latency.
  const auto rounds = QueuedUpTo(klass.spec.rank) / MaxSlots(klass);
  return clock_() + TruncateToMillis(latency_ * rounds) < deadline;
}

void class_queue::Run(const deferred_calls& calls) {
  for (const auto& each : calls) {
    each();
  }
}

}  // namespace chiveglade::routing
