// State shared by all connections of one request_front.
#ifndef CHIVEGLADE_SRC_ROUTING_FRONT_STATE_H_
#define CHIVEGLADE_SRC_ROUTING_FRONT_STATE_H_

#include <tbb/concurrent_hash_map.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "chiveglade/routing/request_front.h"
#include "chiveglade/routing/retry_budget.h"
#include "chiveglade/routing/route_table.h"

namespace chiveglade::routing {

// Thread-safe. Lock order: `routes_mutex_`, then an entry in `agents_`. No lock
// is held while a hook is called.
class front_state {
 public:
  front_state(front_options options, front_hooks hooks);

  const front_options& options() const { return options_; }
  const front_hooks& hooks() const { return hooks_; }
  retry_budget& budget() { return budget_; }

  // The routes of the current manifest; null before the first manifest.
  std::shared_ptr<const route_table> routes();

  // Returns the connection to an agent; null if the address is invalid or the
  // `connect` hook returns none.
  std::shared_ptr<net::h2_client> ConnectionTo(const std::string& address);
  // Closes the connections to addresses that the directory no longer lists.
  void CloseUnusedAgents();
  // Closes the connections to all agents.
  void CloseAgents();

  // Counts one more open request; returns false at the limit.
  bool TryOpenRequest();
  void CloseRequest() { --open_requests_; }
  uint32_t open_requests() const { return open_requests_; }

  // Reserves buffer memory for the body of a request; returns false at the
  // limit.
  bool TryReserveBody(size_t bytes);
  void ReleaseBody(size_t bytes) { held_body_bytes_ -= bytes; }

  std::atomic<bool> draining{false};

 private:
  using agent_map =
      tbb::concurrent_hash_map<std::string, std::shared_ptr<net::h2_client>>;

  const front_options options_;
  const front_hooks hooks_;
  retry_budget budget_;
  std::mutex routes_mutex_;
  std::shared_ptr<const config::manifest> manifest_;
  std::shared_ptr<const route_table> routes_;
  agent_map agents_;
  std::mutex agent_addresses_mutex_;
  std::set<std::string> agent_addresses_;  // keys of `agents_`
  std::atomic<uint32_t> open_requests_{0};
  std::atomic<size_t> held_body_bytes_{0};
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_FRONT_STATE_H_
