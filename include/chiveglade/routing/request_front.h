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

// Limits of the entry's side towards callers.
struct front_options {
  std::string entry;  // name of this entry, part of the request IDs it makes
  config::endpoint listen;
  uint32_t max_connections = 16'384;   // of callers at once
  uint32_t max_open_requests = 4'096;  // forwarded at once
  size_t max_header_bytes = 16'384;
  size_t max_body_bytes = 67'108'864;
  // Body of a request with a claim, which is held in memory to be hashed.
  size_t max_claimed_body_bytes = 4'194'304;
  // Start of any other body that is held to be sent again to another target. A
  // request whose body is longer is not retried once more of it has been read.
  // This is above the flow-control window of a stream (64 KiB), so that more is
  // read only after the agent has taken some of it, which it does not do before
  // the request has a slot: an agent that is full or leaving refuses earlier.
  size_t replay_bytes = 81'920;
  // All bodies that are held. Beyond it, requests with a claim are refused and
  // of others only `least_replay_bytes` are held.
  size_t max_held_body_bytes = 67'108'864;
  size_t min_replay_bytes = 8'192;
  uint32_t max_retries = 2;  // tried after the first
  millis max_deadline{3'600'000};
  millis idle_timeout{60'000};   // for the next request of a connection
  millis stall_timeout{30'000};  // for the next byte of a body, either way
  // How long a connection without a request is kept when draining, so that a
  // request that is already under way is answered.
  millis drain_idle_timeout{1'000};
  friend bool operator==(const front_options&, const front_options&) = default;
};

// What became of one request, for metrics.
struct request_record {
  std::string workspace;  // empty if no route was found
  std::string klass;
  verdict execution = verdict::kNotRun;
  int status = 0;    // told to the caller; 0 if the connection was aborted
  std::string code;  // of the refusal; empty if answered
  millis latency{0};
  uint32_t tries = 0;  // of targets
  friend bool operator==(const request_record&,
                         const request_record&) = default;
};

// All of these must be safe to call from any thread of the loop.
struct front_hooks {
  std::function<std::shared_ptr<const config::manifest>()> manifest;
  std::shared_ptr<target_directory> directory;
  std::shared_ptr<claim_table> claims;  // null: requests with keys are refused
  // Makes the connection to an agent; kept for as long as its address is known.
  std::function<std::shared_ptr<net::h2_client>(const config::endpoint&)>
      connect;
  std::function<void(const request_record&)> record;  // may be empty
  clock_fn clock;
  random_fn random;
};

// Runs on the event loop given to Make, each connection on its own strand.
class request_front {
 public:
  virtual ~request_front() = default;

  // Listens. Fails with "listen" if the address cannot be used.
  static result<std::shared_ptr<request_front>>
  Make(net::asio::io_context& loop, front_options options, front_hooks hooks);

  // The port in use; differs from the one asked for if that was 0.
  virtual uint16_t port() const = 0;

  // Requests being forwarded.
  virtual uint32_t open_requests() const = 0;

  // Graceful: accepts no more connections, answers the requests in flight with
  // `connection: close`, then calls `drained` once.
  virtual void Drain(std::function<void()> drained) = 0;

  // Closes everything now.
  virtual void Stop() = 0;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_REQUEST_FRONT_H_
