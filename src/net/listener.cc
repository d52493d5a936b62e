#include "src/net/listener.h"

#include <sys/socket.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "chiveglade/core/clock.h"

namespace chiveglade::net {

namespace {

// After an error of accept that concerns the process and not one connection (no
// file descriptors left), so that the loop does not spin.
constexpr millis kAcceptRetryDelay{20};

}  // namespace

result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& ip,
                                              uint16_t port) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(ip, error);
  if (error) {
    return reason{"bad_address", "not an IP address: " + ip};
  }
  return asio::ip::tcp::endpoint(address, port);
}

result<std::shared_ptr<listener>> listener::Make(asio::io_context& loop,
                                                 const std::string& ip,
                                                 uint16_t port,
                                                 uint32_t buffer_bytes) {
  const auto endpoint = ParseEndpoint(ip, port);
  if (!endpoint) {
    return endpoint.last_reason();
  }
  asio::ip::tcp::acceptor acceptor(asio::make_strand(loop));
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error && buffer_bytes > 0) {
    // Accepted sockets inherit both, and the window is scaled for the first.
    const int size = static_cast<int>(buffer_bytes);
    acceptor.set_option(asio::socket_base::receive_buffer_size(size), error);
    acceptor.set_option(asio::socket_base::send_buffer_size(size), error);
  }
  if (!error) {
    acceptor.bind(*endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return reason{"listen_failed",
                  ip + ":" + std::to_string(port) + ": " + error.message()};
  }
  return std::shared_ptr<listener>(new listener(loop, std::move(acceptor)));
}

listener::listener(asio::io_context& loop, asio::ip::tcp::acceptor acceptor)
    : loop_(loop),
      port_(acceptor.local_endpoint().port()),
      acceptor_(std::move(acceptor)),
      retry_(acceptor_.get_executor()) {}

void listener::Start(accept_handler accepted) {
  asio::dispatch(acceptor_.get_executor(),
                 [self = shared_from_this(),
                  handler = std::make_shared<const accept_handler>(
                      std::move(accepted))] { self->AcceptNext(handler); });
}

void listener::Close() {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(closed_, true)) {
      return;
    }
    // Takes effect at once, also if the strand is busy.
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  }
  asio::dispatch(acceptor_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
    self->retry_.cancel();
  });
}

void listener::Drain(std::function<void()> then) {
  asio::dispatch(acceptor_.get_executor(),
                 [self = shared_from_this(), then = std::move(then)] {
                   self->drained_ = then;
                   const auto accepted = self->accepting_.lock();
                   if (accepted) {
                     self->AcceptBacklog(accepted);
                   }
                   self->Close();
                   if (!accepted) {
                     self->EndAccepting();
                   }
                 });
}

// Accepts with callbacks: a suspended coroutine would have to be unwound
// whenever an event loop is destroyed with a listener on it.
void listener::AcceptNext(const handler_ptr& accepted) {
  if (closed()) {
    EndAccepting();
    return;
  }
  accepting_ = accepted;
  acceptor_.async_accept(asio::make_strand(loop_),
                         [self = shared_from_this(), accepted](
                             const boost::system::error_code& error,
                             asio::ip::tcp::socket socket) {
                           self->OnAccept(accepted, error, std::move(socket));
                         });
}

void listener::OnAccept(const handler_ptr& accepted,
                        const boost::system::error_code& error,
                        asio::ip::tcp::socket socket) {
  if (!error) {
    (*accepted)(std::move(socket));
  }
  if (!error || closed()) {
    AcceptNext(accepted);
    return;
  }
  retry_.expires_after(kAcceptRetryDelay);
  retry_.async_wait(
      [self = shared_from_this(), accepted](const boost::system::error_code&) {
        self->AcceptNext(accepted);
      });
}

void listener::AcceptBacklog(const handler_ptr& accepted) {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(asio::make_strand(loop_));
    acceptor_.accept(socket, error);
    if (!error) {
      (*accepted)(std::move(socket));
    }
  }
}

void listener::EndAccepting() {
  accepting_.reset();
  if (const auto drained = std::exchange(drained_, nullptr)) {
    drained();
  }
}

bool listener::closed() const {
  const std::lock_guard lock(mutex_);
  return closed_;
}

}  // namespace chiveglade::net
