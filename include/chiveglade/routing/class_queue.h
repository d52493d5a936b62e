// Decides at the agent when a request may go to a service replica.
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

// What one replica can take, and the classes of its requests.
struct queue_options {
  uint32_t slots = 8;         // requests executed at once
  uint32_t connections = 64;  // connections that the replica accepts
  std::vector<config::request_class> classes;
  friend bool operator==(const queue_options&, const queue_options&) = default;
};

// The load of one replica as reported to entries.
struct queue_load {
  uint32_t slots = 0;
  uint32_t in_use = 0;
  uint32_t queued = 0;
  uint32_t connections = 0;  // in use
  std::chrono::microseconds latency{0};
  friend bool operator==(const queue_load&, const queue_load&) = default;
};

// The requests of one replica: those that wait, by class, and those that hold a
// slot. Served by rank and then arrival, each class up to its share of the
// slots. Thread-safe; callbacks run without any lock held.
class class_queue {
 public:
  using ticket = uint64_t;
  using grant_callback = std::function<void(ticket, result<done>)>;

  // Fails with "bad_options" if there are no slots, connections or classes.
  static result<std::shared_ptr<class_queue>> Make(queue_options options,
                                                   clock_fn clock);

  // Calls `then` exactly once, possibly before this returns: with done when the
  // request may go to the replica, which takes one slot and one connection; or
  // with "unknown_class", "queue_full", "deadline" or "cancelled", when it must
  // not and no slot is held.
  ticket Enqueue(const std::string& klass,
                 boot_time deadline,
                 grant_callback then);

  // Stops waiting, with "cancelled". No effect once granted.
  void Cancel(ticket waiting);

  // Gives the slot back and keeps the connection: the replica has answered and
  // only the reader is slow.
  void ReleaseSlot(ticket granted);

  // Gives back what a granted request still holds. `took` is how long the
  // replica needed, if it answered.
  void Finish(ticket granted, std::optional<std::chrono::microseconds> took);

  // Refuses the waiting requests whose deadline can no longer be met.
  void Tick();

  // Applies changed limits; requests of classes that are gone are refused with
  // "unknown_class". Requests that hold slots are not touched. Options that
  // Make would refuse change nothing.
  void Reconfigure(queue_options options);

  queue_load load() const;

 private:
  struct waiting_request {
    boot_time deadline;
    boot_time give_up;
    grant_callback then;
  };
  struct class_state {
    config::request_class spec;
    std::map<ticket, waiting_request> waiting;  // in order of arrival
    uint32_t in_use = 0;
    std::chrono::microseconds latency{0};  // moving average
  };
  struct granted_request {
    std::string klass;
    bool holds_slot = true;
  };
  using reply = std::function<void()>;
  using replies = std::vector<reply>;

  class_queue(queue_options options, clock_fn clock);

  // These need the lock and append the callbacks to run after it.
  void Dispatch(replies& out);
  void RefuseLate(replies& out);
  void Refuse(class_state& from, ticket which, const reason& why, replies& out);
  class_state* NextClass();
  bool CanEverStart(const class_state& klass, boot_time deadline) const;
  uint32_t SlotsOf(const class_state& klass) const;
  void FreeSlot(granted_request& holder);
  uint32_t QueuedUpTo(uint32_t rank) const;
  static void Run(const replies& calls);

  const clock_fn clock_;
  mutable std::mutex mutex_;
  queue_options options_;
  std::map<std::string, class_state> classes_;
  std::set<std::pair<boot_time, ticket>> give_up_;
  std::unordered_map<ticket, std::string> class_of_waiting_;
  std::unordered_map<ticket, granted_request> granted_;
  uint32_t in_use_ = 0;
  ticket last_ticket_ = 0;
  std::chrono::microseconds latency_{0};
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_CLASS_QUEUE_H_
