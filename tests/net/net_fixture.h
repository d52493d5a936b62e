// An event loop on threads of its own, and plain sockets for malformed traffic.
#ifndef CHIVEGLADE_TESTS_NET_NET_FIXTURE_H_
#define CHIVEGLADE_TESTS_NET_NET_FIXTURE_H_

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "chiveglade/net/executor.h"

namespace chiveglade::net {

// Runs an io_context on `threads` threads until destroyed.
class loop_runner {
 public:
  explicit loop_runner(int threads = 2) : work_(asio::make_work_guard(loop_)) {
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([this] { loop_.run(); });
    }
  }
  ~loop_runner() { Stop(); }

  void Stop() {
    loop_.stop();
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  asio::io_context& loop() { return loop_; }

  // Starts `body` as a coroutine on a strand of its own.
  std::future<void> Start(std::function<void(yield)> body) {
    return asio::spawn(asio::make_strand(loop_), std::move(body),
                       asio::use_future);
  }
  // Starts `body` and waits until it has returned.
  void Run(std::function<void(yield)> body) { Start(std::move(body)).get(); }

 private:
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::vector<std::thread> threads_;
};

// A blocking connection to a port on loopback.
class raw_peer {
 public:
  explicit raw_peer(uint16_t port) : socket_(context_) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
  }

  // Sends as much as the peer accepts; ignores a closed connection.
  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }

  // Everything up to the end of the connection.
  std::string ReadAll() {
    std::string out;
    boost::system::error_code error;
    asio::read(socket_, asio::dynamic_buffer(out), error);
    return out;
  }

  asio::ip::tcp::socket& socket() { return socket_; }

 private:
  asio::io_context context_;
  asio::ip::tcp::socket socket_;
};

// True if a connection to `port` on loopback is accepted.
inline bool AcceptsConnections(uint16_t port) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect({asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

// Connects to `port` again and again, so that its listener is always busy,
// until a connection is refused.
class connection_flood {
 public:
  explicit connection_flood(uint16_t port, int threads = 4) {
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([port] {
        while (AcceptsConnections(port)) {
        }
      });
    }
  }
  ~connection_flood() {
    for (auto& thread : threads_) {
      thread.join();
    }
  }

 private:
  std::vector<std::thread> threads_;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_TESTS_NET_NET_FIXTURE_H_
