// A small HTTP/1.1 server for control traffic with buffered bodies.
#ifndef CHIVEGLADE_NET_HTTP_SERVER_H_
#define CHIVEGLADE_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/net/admission.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/net/http_message.h"

namespace chiveglade::net {

// Limits of one server.
struct http_server_options {
  uint32_t max_header_bytes = 16 * 1024;        // request line and fields
  uint64_t max_body_bytes = 8UL * 1024 * 1024;  // of one request
  // Open at once. An eighth is kept for connections that are being refused.
  uint32_t max_connections = 1'024;
  uint32_t max_connections_per_address = 0;  // 0: not limited
  // A field takes four bytes at least, so 16 KiB of header hold no more.
  uint32_t max_header_fields = 4'096;
  // Of the extensions of all chunks of one body.
  uint32_t max_chunk_extension_bytes = 4 * 1024;
  // Of the kernel for received and for unsent bytes; 0: the system's default.
  // They count against the memory of the process.
  uint32_t socket_buffer_bytes = 0;
  millis idle_timeout{60'000};     // until the first byte of a request
  millis receive_stall{5'000};     // between two parts of a request
  millis request_timeout{10'000};  // from the first byte to the last
  millis write_timeout{10'000};    // for a whole answer
  friend bool operator==(const http_server_options&,
                         const http_server_options&) = default;
};

// Runs in the coroutine of the connection, which has a strand of its own, so
// requests of one connection are answered one after the other. A reply with
// status 0 closes the connection without an answer.
using http_handler = std::function<http_reply(const http_request&, yield)>;

// What a server shares with the rest of the process.
struct http_server_hooks {
  // Charged for what connections hold; may be null.
  std::shared_ptr<admission> admit;
  // If set, the length of a body that is allowed when a request begins,
  // instead of `max_body_bytes`. Called from any thread.
  std::function<uint64_t()> max_body_bytes;
};

// Listens until stopped. A request outside the limits is answered with a JSON
// refusal (400, 413, 431, 429 or 503 if too many connections are open, or 503
// if the memory budget is used up) and the connection is closed; its handler
// has not run. A peer that exceeds a timeout is disconnected; it gets a 408 if
// it had sent part of a request. Thread-safe.
class http_server {
 public:
  virtual ~http_server() = default;

  // Port 0 asks for any free port.
  static result<std::shared_ptr<http_server>> Make(asio::io_context& loop,
                                                   const std::string& ip,
                                                   uint16_t port,
                                                   http_server_options options,
                                                   http_handler handler,
                                                   http_server_hooks to = {});

  // The port in use; differs from the one asked for if that was 0.
  virtual uint16_t port() const = 0;

  // Graceful: stops accepting, closes idle connections, and closes each other
  // one after the answer in progress. `drained` is called once when none is
  // left.
  virtual void Drain(std::function<void()> drained) = 0;

  // Closes everything now. The handlers that are running keep running, and
  // their answers are dropped.
  virtual void Stop() = 0;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_HTTP_SERVER_H_
