#include "worker_connection_pool.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace chiveglade::routing {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Returns whether the peer has neither closed the connection nor sent bytes
// that no request asked for.
bool IsReusable(int handle) {
  char byte = 0;
  const auto got = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

worker_connection_pool::worker_connection_pool(const proxy_options& options,
                                               clock_fn clock)
    : worker_(asio::ip::make_address(options.worker.ip), options.worker.port),
      connect_timeout_(options.connect_timeout),
      idle_timeout_(options.idle_timeout),
      clock_(std::move(clock)) {}

worker_connection_pool::~worker_connection_pool() {
  for (const auto& each : idle_) {
    ::close(each.handle);
  }
}

std::unique_ptr<worker_connection_pool::stream>
worker_connection_pool::TakeIdle(const net::yield& yield) {
  for (;;) {
    idle_socket found;
    {
      const std::lock_guard lock(mutex_);
      if (idle_.empty()) {
        return nullptr;
      }
      found = idle_.back();
      idle_.pop_back();
    }
    if (clock_() - found.idle_since >= idle_timeout_ ||
        !IsReusable(found.handle)) {
      ::close(found.handle);
      continue;
    }
    // The caller's strand may differ from the one that last used the
    // connection, so the file descriptor gets a socket with the caller's
    // executor.
    tcp::socket socket(yield.get_executor());
    error_code error;
    socket.assign(worker_.protocol(), found.handle, error);
    if (!error) {
      return std::make_unique<stream>(std::move(socket));
    }
    ::close(found.handle);
  }
}

result<std::unique_ptr<worker_connection_pool::stream>>
worker_connection_pool::Connect(const net::yield& yield) const {
  auto out = std::make_unique<stream>(yield.get_executor());
  error_code error;
  out->expires_after(connect_timeout_);
  out->async_connect(worker_, yield[error]);
  if (error) {
    return reason{"worker_unreachable", error.message()};
  }
  out->socket().set_option(tcp::no_delay(true), error);
  return out;
}

void worker_connection_pool::Put(std::unique_ptr<stream> used) {
  error_code error;
  const int handle = used->socket().release(error);
  if (error) {
    return;
  }
  const std::lock_guard lock(mutex_);
  idle_.push_back({handle, clock_()});
}

}  // namespace chiveglade::routing
