// The agent's side of request routing: forwards requests of entries to the
// worker.
#ifndef CHIVEGLADE_ROUTING_AGENT_PROXY_H_
#define CHIVEGLADE_ROUTING_AGENT_PROXY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chiveglade/config/manifest.h"
#include "chiveglade/config/settings.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/core/verdict.h"
#include "chiveglade/net/h2_server.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::routing {

// The worker's address and the limits of forwarding to it.
struct proxy_options {
  config::endpoint worker;
  millis connect_timeout{1'000};
  // Longest time without progress while a body is sent or received.
  millis stall_timeout{30'000};
  // A connection that was idle for longer is not reused, so that the worker
  // rarely closes it while a request is being sent.
  millis idle_timeout{4'000};
  // When a write to the entry takes longer, the slot goes to the next request:
  // the replica has responded and only the reader is slow.
  millis slow_reader_timeout{500};
  // Of responses; below the limit of the HTTP/2 connection to the entry.
  size_t max_header_bytes = 24'576;
  friend bool operator==(const proxy_options&, const proxy_options&) = default;
};

// The result of one request, for metrics.
struct proxy_record {
  std::string service;
  std::string klass;
  verdict execution = verdict::kNotRun;
  // Reason of the refusal or failure; empty if the whole response was passed
  // on.
  std::string code;
  millis queued{0};   // from arrival until a slot was granted or refused
  millis latency{0};  // from arrival until the request was finished
  friend bool operator==(const proxy_record&, const proxy_record&) = default;
};

// All hooks must be safe to call from any thread of the loop.
struct proxy_hooks {
  // The current manifest; null if there is none yet.
  std::function<std::shared_ptr<const config::manifest>()> manifest;
  // The number of replicas of a service that run on this VM now.
  std::function<uint32_t(const std::string& service)> replicas;
  // False while operators have the VM out of service; may be empty.
  std::function<bool()> in_service;
  std::function<void(const proxy_record&)> record;  // may be empty
  clock_fn clock;
};

// Queues requests by class and forwards them over reused HTTP/1.1 connections.
// Thread-safe. Must be held by a shared pointer; requests keep it alive.
class agent_proxy {
 public:
  virtual ~agent_proxy() = default;

  // Fails with "bad_worker" if the worker's address is not an IP address.
  static result<std::shared_ptr<agent_proxy>> Make(net::asio::io_context& loop,
                                                   proxy_options options,
                                                   proxy_hooks hooks);

  // Handles one request stream of an entry and returns when it is finished.
  // Sends `chiveglade-verdict: not_run` only if no byte of the request was sent
  // to the worker.
  virtual void Handle(const net::h2_stream_ptr& stream,
                      const net::yield& yield) = 0;

  // Returns Handle as a handler for an h2_server.
  virtual net::h2_handler Handler() = 0;

  // Returns the load of every service with a replica on this VM, for
  // heartbeats.
  virtual std::vector<state::target_load> Load() = 0;

  // Refuses new requests with "leaving", finishes queued requests and those in
  // flight, then calls `drained` once. Heartbeats must already say that the VM
  // is leaving.
  virtual void Drain(std::function<void()> drained) = 0;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_AGENT_PROXY_H_
