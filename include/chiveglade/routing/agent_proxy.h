// Takes requests from entries and forwards them to the worker.
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

// Limits of the agent's side towards the worker.
struct proxy_options {
  config::endpoint worker;
  millis connect_timeout{1'000};
  millis stall_timeout{30'000};  // for the next byte of an answer, either way
  // A connection that was unused for longer is not used again, so that it is
  // rarely the worker that closes it while a request is on its way.
  millis idle_timeout{4'000};
  // After this long without progress towards the entry, the slot goes to the
  // next request: the replica has answered and only the reader is slow.
  millis slow_reader{500};
  // Of answers; below the limit of the HTTP/2 connection to the entry.
  size_t max_header_bytes = 24'576;
  friend bool operator==(const proxy_options&, const proxy_options&) = default;
};

// What became of one request, for metrics.
struct proxy_record {
  std::string service;
  std::string klass;
  verdict ran = verdict::kNotRun;
  std::string code;  // of the refusal or loss; empty if answered
  millis queued{0};
  millis latency{0};
  friend bool operator==(const proxy_record&, const proxy_record&) = default;
};

// All of these must be safe to call from any thread of the loop.
struct proxy_hooks {
  std::function<std::shared_ptr<const config::manifest>()> manifest;
  // How many replicas of a service run on this VM now.
  std::function<uint32_t(const std::string& service)> replicas;
  // False while operators have the VM out of service; may be empty.
  std::function<bool()> in_service;
  std::function<void(const proxy_record&)> record;  // may be empty
  clock_fn clock;
};

// Queues by class and forwards over HTTP/1.1 connections that are used again.
// Thread-safe. Must be held by a shared pointer; requests keep it alive.
class agent_proxy {
 public:
  virtual ~agent_proxy() = default;

  // Fails with "bad_worker" if the worker's address is not an IP address.
  static result<std::shared_ptr<agent_proxy>> Make(net::asio::io_context& loop,
                                                   proxy_options options,
                                                   proxy_hooks hooks);

  // Handles one request stream of an entry. Says `chiveglade-verdict: not_run`
  // only if no byte of the request was sent to the worker.
  virtual void Handle(const net::h2_stream_ptr& stream,
                      const net::yield& yield) = 0;

  // Handle as the handler of an h2_server.
  virtual net::h2_handler Handler() = 0;

  // The load of every service with a replica here, for heartbeats.
  virtual std::vector<state::target_load> Load() = 0;

  // Graceful: refuses new requests with "leaving", finishes those that wait and
  // those in flight, then calls `drained` once. Heartbeats must already say
  // that the VM is leaving.
  virtual void Drain(std::function<void()> drained) = 0;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_AGENT_PROXY_H_
