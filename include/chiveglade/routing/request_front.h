// Accepts callers' HTTP/1.1 requests and forwards them to agents.
#ifndef CHIVEGLADE_ROUTING_REQUEST_FRONT_H_
#define CHIVEGLADE_ROUTING_REQUEST_FRONT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chiveglade/config/manifest.h"
#include "chiveglade/config/settings.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/core/verdict.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/net/h2_client.h"
#include "chiveglade/routing/claim_table.h"
#include "chiveglade/routing/target_directory.h"

namespace chiveglade::routing {

// Limits on callers' connections and requests at one entry.
struct front_options {
  std::string entry;  // name of this entry; prefix of the request IDs it makes
  config::endpoint listen;
  uint32_t max_connections = 16'384;   // concurrent, from callers
  uint32_t max_open_requests = 4'096;  // forwarded concurrently
  uint32_t socket_buffer_bytes = 0;    // of callers' sockets; 0: the default
  size_t max_header_bytes = 16'384;
  size_t max_body_bytes = 67'108'864;
  // Largest body of a request with an Idempotency-Key. Such a body is buffered
  // whole, because its hash is part of the claim.
  size_t max_claimed_body_bytes = 4'194'304;
  // Prefix of any other body that is buffered, so that a retry can send it to
  // another target. Once more than this prefix has been read, the request is
  // not retried. The value exceeds a stream's flow-control window (64 KiB): the
  // entry reads past it only after the agent has consumed part of the body, and
  // an agent does that only once the request has a slot. An agent that is full
  // or leaving refuses before that point.
  size_t replay_bytes = 81'920;
  // Total of all buffered bodies. Above it, requests with an Idempotency-Key
  // are refused, and other requests buffer only `min_replay_bytes`.
  size_t max_held_body_bytes = 67'108'864;
  size_t min_replay_bytes = 8'192;
  uint32_t max_retries = 2;  // targets tried after the first
  millis max_deadline{3'600'000};
  millis idle_timeout{60'000};   // until the next request of a connection
  millis stall_timeout{30'000};  // until the next byte of a body, either way
  // How long an idle connection stays open while draining, so that a request
  // that the caller has already sent is still answered.
  millis drain_idle_timeout{1'000};
  friend bool operator==(const front_options&, const front_options&) = default;
};

// The result of one request, for metrics.
struct request_record {
  std::string workspace;  // empty if no route was found
  std::string klass;
  verdict execution = verdict::kNotRun;
  int status = 0;    // sent to the caller; 0 if the connection was aborted
  std::string code;  // of the refusal or "repeated"; empty otherwise
  millis latency{0};
  uint32_t tries = 0;  // targets that were tried
  friend bool operator==(const request_record&,
                         const request_record&) = default;
};

// All hooks must be safe to call from any thread of the event loop.
struct front_hooks {
  std::function<std::shared_ptr<const config::manifest>()> manifest;
  std::shared_ptr<target_directory> directory;
  std::shared_ptr<claim_table> claims;  // null: refuses requests with a key
  // Connects to an agent. The connection is reused for as long as the directory
  // knows the address.
  std::function<std::shared_ptr<net::h2_client>(const config::endpoint&)>
      connect;
  std::function<void(const request_record&)> record;  // optional
  clock_fn clock;
  random_fn random;
};

// Runs on the event loop given to Make, each connection on its own strand.
class request_front {
 public:
  virtual ~request_front() = default;

  // Starts listening. Fails with "listen" if the address cannot be used.
  static result<std::shared_ptr<request_front>>
  Make(net::asio::io_context& loop, front_options options, front_hooks hooks);

  // The bound port; chosen by the system if the requested port was 0.
  virtual uint16_t port() const = 0;

  // The number of requests being forwarded.
  virtual uint32_t open_requests() const = 0;

  // Shuts down gracefully: accepts no more connections, answers the requests in
  // flight with `connection: close`, then calls `drained` once.
  virtual void Drain(std::function<void()> drained) = 0;

  // Closes the listener and all connections immediately.
  virtual void Stop() = 0;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_REQUEST_FRONT_H_
