#include "caller_connection.h"

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "caller_exchange.h"
#include "chiveglade/net/coroutine_stack.h"
#include "forwarder.h"

namespace chiveglade::routing {

namespace {

using boost::system::error_code;

// Limits on the input that is discarded before a connection is closed, such as
// the rest of a refused request.
constexpr size_t kMaxLingerBytes = 1'048'576;
constexpr millis kLingerTimeout{1'000};

// A read buffer with a larger capacity is released between requests.
constexpr size_t kMaxIdleBufferBytes = 4'096;

}  // namespace

caller_connection::caller_connection(std::shared_ptr<front_state> front,
                                     net::asio::ip::tcp::socket socket)
    : front_(std::move(front)),
      stream_(std::move(socket)),
      drain_timer_(stream_.get_executor()) {
  error_code ignored;
  // Disables Nagle's algorithm: small responses must not wait for the
  // acknowledgement of earlier ones.
  stream_.socket().set_option(net::asio::ip::tcp::no_delay(true), ignored);
}

void caller_connection::Start(std::function<void()> ended) {
  net::asio::spawn(
      stream_.get_executor(), std::allocator_arg, net::coroutine_stack(),
      [self = shared_from_this(),
       ended = std::move(ended)](const net::yield& yield) {
        self->Run(yield);
        self->drain_timer_.cancel();
        ended();
      },
      net::asio::detached);
}

void caller_connection::Run(const net::yield& yield) {
  while (!stopped_ && ServeRequest(yield)) {
    if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleBufferBytes) {
      buffer_.shrink_to_fit();
    }
  }
  if (stream_.socket().is_open()) {
    LingeringClose(yield);
  }
}

bool caller_connection::ServeRequest(const net::yield& yield) {
  caller_exchange exchange(stream_, buffer_, front_->options(),
                           front_->draining);
  idle_ = buffer_.size() == 0;
  const auto header = exchange.ReadHeader(yield);
  idle_ = false;
  if (header == caller_exchange::read_status::kClosed) {
    stream_.close();
    return false;
  }
  forwarder request(*front_, exchange);
  if (header == caller_exchange::read_status::kRequest) {
    request.Run(yield);
  } else {
    request.RefuseMalformed(
        header == caller_exchange::read_status::kHeaderTooLarge, yield);
  }
  return exchange.CanServeNextRequest();
}

void caller_connection::LingeringClose(const net::yield& yield) {
  error_code error;
  stream_.socket().shutdown(net::asio::ip::tcp::socket::shutdown_send, error);
  std::array<char, 4'096> discarded;
  size_t total = 0;
  stream_.expires_after(kLingerTimeout);
  while (!error && total < kMaxLingerBytes) {
    total +=
        stream_.async_read_some(net::asio::buffer(discarded), yield[error]);
  }
  stream_.close();
}

void caller_connection::Drain() {
  net::asio::post(stream_.get_executor(), [self = shared_from_this()] {
    if (!self->idle_) {
      return;
    }
    self->drain_timer_.expires_after(
        self->front_->options().drain_idle_timeout);
    self->drain_timer_.async_wait([self](error_code error) {
      if (!error && self->idle_) {
        self->stream_.cancel();
      }
    });
  });
}

void caller_connection::Stop() {
  net::asio::post(stream_.get_executor(), [self = shared_from_this()] {
    self->stopped_ = true;
    self->stream_.close();
  });
}

}  // namespace chiveglade::routing
