#include "caller_connection.h"

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "caller_exchange.h"
#include "forwarder.h"

namespace chiveglade::routing {

namespace {

using boost::system::error_code;

// Largest number of bytes, and longest time, spent on what a caller still sends
// after its request was refused.
constexpr size_t kMaxDiscardedBytes = 1'048'576;
constexpr millis kDiscardTime{1'000};

// A buffer above this size is released between requests.
constexpr size_t kMaxIdleBuffer = 4'096;

}  // namespace

caller_connection::caller_connection(std::shared_ptr<front_state> front,
                                     net::asio::ip::tcp::socket socket)
    : front_(std::move(front)),
      stream_(std::move(socket)),
      drain_timer_(stream_.get_executor()) {
  error_code ignored;
  // Small answers must not wait for the acknowledgement of earlier ones.
  stream_.socket().set_option(net::asio::ip::tcp::no_delay(true), ignored);
}

void caller_connection::Start(std::function<void()> ended) {
  net::asio::spawn(
      stream_.get_executor(),
      [self = shared_from_this(),
       ended = std::move(ended)](const net::yield& yield) {
        self->Run(yield);
        self->drain_timer_.cancel();
        ended();
      },
      net::asio::detached);
}

void caller_connection::Run(const net::yield& yield) {
  while (!stopped_ && ServeOne(yield)) {
    if (buffer_.size() == 0 && buffer_.capacity() > kMaxIdleBuffer) {
      buffer_.shrink_to_fit();
    }
  }
  if (stream_.socket().is_open()) {
    CloseGently(yield);
  }
}

bool caller_connection::ServeOne(const net::yield& yield) {
  caller_exchange exchange(stream_, buffer_, front_->options(),
                           front_->draining);
  idle_ = buffer_.size() == 0;
  const auto arrived = exchange.ReadHeader(yield);
  idle_ = false;
  if (arrived == caller_exchange::arrival::kClosed) {
    stream_.close();
    return false;
  }
  forwarder request(*front_, exchange);
  if (arrived == caller_exchange::arrival::kRequest) {
    request.Run(yield);
  } else {
    request.RunMalformed(arrived == caller_exchange::arrival::kHeaderTooLarge,
                         yield);
  }
  return exchange.CanContinue();
}

void caller_connection::CloseGently(const net::yield& yield) {
  error_code error;
  stream_.socket().shutdown(net::asio::ip::tcp::socket::shutdown_send, error);
  std::array<char, 4'096> discarded;
  size_t total = 0;
  stream_.expires_after(kDiscardTime);
  while (!error && total < kMaxDiscardedBytes) {
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
    self->drain_timer_.expires_after(self->front_->options().drain_idle);
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
