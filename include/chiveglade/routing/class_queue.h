// Admission queue of an agent: decides when a request may be forwarded to a
// service replica.
#ifndef CHIVEGLADE_ROUTING_CLASS_QUEUE_H_
#define CHIVEGLADE_ROUTING_CLASS_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chiveglade/config/manifest.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"

namespace chiveglade::routing {

// The capacity of one replica and the classes of its requests.
struct queue_options {
  uint32_t slots = 8;         // requests that execute concurrently
  uint32_t connections = 64;  // that the replica accepts
  std::vector<config::request_class> classes;
  friend bool operator==(const queue_options&, const queue_options&) = default;
};

// The load of one replica as reported to entries.
struct queue_load {
  uint32_t slots = 0;
  uint32_t in_use = 0;                   // slots held by requests
  uint32_t queued = 0;                   // requests waiting for a slot
  uint32_t connections = 0;              // in use
  std::chrono::microseconds latency{0};  // moving average; 0 if unknown
  friend bool operator==(const queue_load&, const queue_load&) = default;
};

// The requests of one replica: those that wait, by class, and those that have
// been granted. Requests are served by rank, lowest number first, and then in
// order of arrival; each class is limited to its share of the slots.
// Thread-safe; callbacks run without any lock held.
class class_queue {
 public:
  using ticket = uint64_t;
  using grant_callback = std::function<void(ticket, result<done>)>;

  // Fails with "bad_options" if there are no slots, connections or classes.
  static result<std::shared_ptr<class_queue>> Make(queue_options options,
                                                   clock_fn clock);

  // Queues a request. Calls `then` exactly once, possibly before this returns:
  // with done when the request may be forwarded and holds one slot and one
  // connection; or with "unknown_class", "queue_full", "deadline" or
  // "cancelled" when it must not be forwarded and holds neither.
  ticket Enqueue(const std::string& klass,
                 boot_time deadline,
                 grant_callback then);

  // Refuses a waiting request with "cancelled". No effect once granted.
  void Cancel(ticket waiting);

  // Releases the slot of a granted request but keeps its connection. For a
  // request whose response is held up only by a slow reader.
  void ReleaseSlot(ticket granted);

  // Releases what a granted request still holds. `took` is the replica's
  // latency, or empty if the response did not complete.
  void Finish(ticket granted, std::optional<std::chrono::microseconds> took);

  // Refuses the waiting requests whose deadline can no longer be met.
  void Tick();

  // Applies new limits. Waiting requests of removed classes are refused with
  // "unknown_class"; granted requests are unaffected. Options that Make would
  // reject are ignored.
  void Reconfigure(queue_options options);

  queue_load load() const;

 private:
  struct waiting_request {
    boot_time deadline;
    boot_time latest_start;  // refused if still waiting at this time
    grant_callback then;
  };
  struct class_state {
    config::request_class spec;
    std::map<ticket, waiting_request> waiting;  // in order of arrival
    uint32_t in_use = 0;                        // slots
    std::chrono::microseconds latency{0};       // moving average; 0 if unknown
  };
  struct granted_request {
    std::string klass;
    bool holds_slot = true;
  };
  // Grant callbacks with their arguments bound, to run without the lock.
  using deferred_call = std::function<void()>;
  using deferred_calls = std::vector<deferred_call>;

  class_queue(queue_options options, clock_fn clock);

  // The functions below, except Run, need the lock. Those with `out` append to
  // it the callbacks to run after the lock is released.

  // Grants free slots to waiting requests.
  void Dispatch(deferred_calls& out);
  // Refuses the waiting requests that have reached their latest start.
  void RefuseExpired(deferred_calls& out);
  // Ends the wait of a request in `from` with the reason `why`.
  void Refuse(class_state& from,
              ticket which,
              const reason& why,
              deferred_calls& out);
  // The class whose first request is served next; null if no class has both a
  // waiting request and a slot left in its share.
  class_state* NextClass();
  // Whether the last request in the queue of `klass` is expected to start
  // before `deadline`.
  bool CanStartInTime(const class_state& klass, boot_time deadline) const;
  // The share of `klass` in slots, at least one.
  uint32_t MaxSlots(const class_state& klass) const;
  void FreeSlot(granted_request& holder);
  // The number of waiting requests of `rank` and of those served before it.
  uint32_t QueuedUpTo(uint32_t rank) const;
  static void Run(const deferred_calls& calls);

  const clock_fn clock_;
  mutable std::mutex mutex_;
  queue_options options_;
  std::map<std::string, class_state> classes_;
  std::set<std::pair<boot_time, ticket>> latest_starts_;  // of those waiting
  std::unordered_map<ticket, std::string> class_of_waiting_;
  std::unordered_map<ticket, granted_request> granted_;
  uint32_t in_use_ = 0;  // slots, also of removed classes
  ticket last_ticket_ = 0;
  std::chrono::microseconds latency_{0};  // moving average of all classes
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_CLASS_QUEUE_H_
