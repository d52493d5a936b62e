// Accepts TCP connections on one port.
#ifndef CHIVEGLADE_SRC_NET_LISTENER_H_
#define CHIVEGLADE_SRC_NET_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "chiveglade/core/result.h"
#include "chiveglade/net/executor.h"

namespace chiveglade::net {

// Parses an IP address; reason "bad_address".
result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& ip,
                                              uint16_t port);

// Thread-safe, except for Start().
class listener : public std::enable_shared_from_this<listener> {
 public:
  // Takes one accepted connection, which has a strand of its own.
  using accept_handler = std::function<void(asio::ip::tcp::socket)>;

  // Opens, binds and listens with SO_REUSEADDR; reason "bad_address" or
  // "listen_failed". `buffer_bytes` sizes the buffers of the kernel for each
  // direction of a connection; 0 leaves the system's default.
  static result<std::shared_ptr<listener>> Make(asio::io_context& loop,
                                                const std::string& ip,
                                                uint16_t port,
                                                uint32_t buffer_bytes = 0);

  // The port in use; differs from the one asked for if that was 0.
  uint16_t port() const { return port_; }

  // Passes each connection to `accepted`, one at a time, until closed. Called
  // once.
  void Start(accept_handler accepted);

  // The port refuses connections once this has returned. Those that `accepted`
  // has not been given are reset; one may still be given to it.
  void Close();

  // Closes, but passes those connections on first. `then` is called once, after
  // the last of them. Called once.
  void Drain(std::function<void()> then);

 private:
  using handler_ptr = std::shared_ptr<const accept_handler>;

  listener(asio::io_context& loop, asio::ip::tcp::acceptor acceptor);

  void AcceptNext(const handler_ptr& accepted);
  void OnAccept(const handler_ptr& accepted,
                const boost::system::error_code& error,
                asio::ip::tcp::socket socket);
  void AcceptBacklog(const handler_ptr& accepted);
  // Calls `drained_`, if there is one.
  void EndAccepting();
  bool closed() const;

  asio::io_context& loop_;
  const uint16_t port_;

  mutable std::mutex mutex_;
  bool closed_ = false;

  // The following are used on the strand only, except that Close() shuts the
  // socket down from any thread.
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  // Owned by the pending accept, so that an event loop that is destroyed
  // releases what the handler holds; empty if none is pending.
  std::weak_ptr<const accept_handler> accepting_;
  std::function<void()> drained_;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_LISTENER_H_
