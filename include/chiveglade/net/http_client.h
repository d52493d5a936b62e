// A small HTTP/1.1 client for control traffic with buffered bodies.
#ifndef CHIVEGLADE_NET_HTTP_CLIENT_H_
#define CHIVEGLADE_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/core/verdict.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/net/http_message.h"

namespace chiveglade::net {

// Limits of one client.
struct http_client_options {
  millis connect_timeout{1'000};
  millis answer_timeout{5'000};  // from the first byte sent to the answer
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = 64UL * 1024 * 1024;  // of one answer
  uint32_t max_idle_connections = 8;             // kept for the next requests
  // Shorter than the servers' idle timeout, so that a kept connection is
  // rarely closed by the server just as it is used again.
  millis keep_alive{20'000};
  friend bool operator==(const http_client_options&,
                         const http_client_options&) = default;
};

// Limits of the time of one exchange, without connecting.
struct http_time_limits {
  millis silence{0};  // longest time without a byte sent or received
  millis total{0};    // from the first byte sent to the end of the answer
  friend bool operator==(const http_time_limits&,
                         const http_time_limits&) = default;
};

// How one exchange ended. `delivery` is kRan if and only if the whole answer
// arrived, whatever its status; kNotRun if no byte of the request was handed to
// a connection; otherwise kMayHaveRun.
struct http_outcome {
  verdict delivery = verdict::kNotRun;
  result<http_reply> reply = reason{};
};

// One peer. Each exchange uses a connection of its own; connections are kept
// and used again. A kept connection that turns out to be closed before a byte
// was sent is replaced silently. When an exchange times out without a byte from
// the peer, the connections that have been idle since before it are closed:
// they may have gone silent with it, and each would cost a later call its
// timeout. Thread-safe.
class http_client {
 public:
  virtual ~http_client() = default;

  static std::shared_ptr<http_client> Make(asio::io_context& loop,
                                           const std::string& ip,
                                           uint16_t port,
                                           http_client_options options);

  // Sends a request and waits for the whole answer, with the timeouts of the
  // options.
  virtual http_outcome Send(const http_request& request, yield yield) = 0;

  // The same with other limits of the exchange.
  virtual http_outcome Send(const http_request& request,
                            const http_time_limits& limits,
                            yield yield) = 0;

  // Closes the kept connections. Exchanges in progress end normally and close
  // theirs; later ones fail with kNotRun.
  virtual void Close() = 0;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_HTTP_CLIENT_H_
