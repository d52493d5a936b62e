// Derives the limits of a process from the size of its machine.
#ifndef CHIVEGLADE_SRC_APP_ADMISSION_OPTIONS_H_
#define CHIVEGLADE_SRC_APP_ADMISSION_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "chiveglade/config/settings.h"
#include "chiveglade/net/admission.h"
#include "chiveglade/net/h2_server.h"
#include "chiveglade/net/http_server.h"
#include "chiveglade/observe/event_log.h"
#include "chiveglade/observe/metrics.h"

namespace chiveglade::app {

// What a port is for; each kind has descriptors of its own, so that clients of
// one cannot use up those of another.
enum class port_use {
  kClients,    // callers, or the worker
  kPeers,      // processes of this project
  kReadiness,  // the balancer
  kOperators,  // metrics and status
};

// Connections that a port may have when the process has `max_fds` descriptors.
uint32_t ConnectionShare(port_use of, uint64_t max_fds);

// The sockets that a port accepts: how many, and the size of the kernel's
// buffer in each direction, in bytes.
struct port_sockets {
  uint32_t connections = 0;
  uint32_t buffer_bytes = 0;
  friend bool operator==(const port_sockets&, const port_sockets&) = default;
};

// The sockets of a port such that the full buffers of all ports fit into a
// quarter of the memory. A small machine accepts fewer connections than it has
// descriptors for.
port_sockets SocketsOf(port_use of, uint64_t memory_bytes, uint64_t max_fds);

// Memory for requests and answers of a machine with `memory_bytes`.
uint64_t ReceiveBudget(uint64_t memory_bytes);

// Callers' requests that may wait at one time, for the store or a peer, and the
// memory for their messages, in bytes.
struct request_limits {
  uint64_t requests = 256;
  uint64_t bytes = 16UL * 1024 * 1024;
};

// Memory for accepted jobs, in bytes. `lowered_to_kb` lowers it; 0: the share
// as it is.
uint64_t JobBudget(const config::admission_settings& in,
                   uint32_t lowered_to_kb);

// The limits of one process. Refers to `metrics`. `log` is called on the
// threads of the servers.
class admission_options {
 public:
  admission_options(
      const config::admission_settings& settings,
      observe::metrics& metrics,
      std::function<void(const char*, const observe::log_fields&)> log);

  // Options of an HTTP/1.1 port with bodies of at most `max_body_bytes`.
  net::http_server_options Http(port_use of, uint64_t max_body_bytes) const;
  // `base` with the limits of the peer port.
  net::h2_options Peers(net::h2_options base) const;

  // Streams that pass a request on without keeping its body, over all
  // connections.
  uint32_t PassingStreams() const;
  // Of callers' requests that wait for the store or a peer.
  request_limits Waiting() const;

  const std::shared_ptr<net::admission>& admit() const { return admit_; }

  // Reports what is held.
  void UpdateGauges() const;

 private:
  const config::admission_settings settings_;
  const uint64_t max_fds_;
  observe::metrics& metrics_;
  const std::shared_ptr<net::admission> admit_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_SRC_APP_ADMISSION_OPTIONS_H_
