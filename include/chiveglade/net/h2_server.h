// Accepts HTTP/2 connections from other processes of this project.
#ifndef CHIVEGLADE_NET_H2_SERVER_H_
#define CHIVEGLADE_NET_H2_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/net/admission.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/net/h2_stream.h"

namespace chiveglade::net {

// Limits of one HTTP/2 connection, for both sides.
struct h2_options {
  uint32_t max_streams = 1'024;              // concurrent, per connection
  uint32_t stream_window_bytes = 64 * 1024;  // received and not yet read
  uint32_t connection_window_bytes = 4 * 1024 * 1024;
  uint32_t max_header_bytes = 32 * 1024;
  // Of a server. Far above the number of processes that connect to one; bounds
  // the memory and descriptors that peers which never speak can take.
  uint32_t max_connections = 4'096;
  uint32_t socket_buffer_bytes = 0;  // of a server; 0: the system's default
  // Whether handlers of a server keep what they read until their stream ends;
  // else only what is unread is charged.
  bool keeps_bodies = true;
  millis idle_timeout{60'000};  // without any frame; a PING is sent at half
  friend bool operator==(const h2_options&, const h2_options&) = default;
};

// Runs in a coroutine of its own for each stream. When it returns without
// having ended the stream, the stream is reset with INTERNAL_ERROR.
using h2_handler = std::function<void(h2_stream_ptr, yield)>;

// Listens until stopped. `admit` is charged for what connections hold; for
// handlers that read whole bodies before they answer. May be null. Each
// connection runs on a strand of its own.
class h2_server {
 public:
  virtual ~h2_server() = default;

  static result<std::shared_ptr<h2_server>> Make(
      asio::io_context& loop,
      const std::string& ip,
      uint16_t port,
      h2_options options,
      h2_handler handler,
      std::shared_ptr<admission> admit = nullptr);

  // The port in use; differs from the one asked for if that was 0.
  virtual uint16_t port() const = 0;

  // Graceful: stops accepting, sends GOAWAY with the last stream accepted, lets
  // open streams finish. `drained` is called once when none is left.
  virtual void Drain(std::function<void()> drained) = 0;

  // Closes everything now.
  virtual void Stop() = 0;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_H2_SERVER_H_
