#include "chiveglade/net/http_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "src/net/http_connection.h"
#include "src/net/listener.h"

namespace chiveglade::net {

namespace {

// Connections above the limit that are kept long enough to be told so; any more
// are closed without an answer.
constexpr size_t kMaxRefusedConnections = 64;

class http_server_impl : public http_server,
                         public std::enable_shared_from_this<http_server_impl> {
 public:
  http_server_impl(asio::io_context& loop,
                   asio::ip::tcp::acceptor acceptor,
                   http_server_options options,
                   http_handler handler)
      : loop_(loop),
        acceptor_(std::move(acceptor)),
        pause_(acceptor_.get_executor()),
        port_(acceptor_.local_endpoint().port()),
        options_(options),
        handler_(std::make_shared<const http_handler>(std::move(handler))) {}

  // Accepts with callbacks: a suspended coroutine would have to be unwound
  // whenever an event loop is destroyed with a server on it.
  void AcceptNext() {
    auto self = shared_from_this();
    acceptor_.async_accept(asio::make_strand(loop_),
                           [self](const boost::system::error_code& error,
                                  asio::ip::tcp::socket socket) {
                             if (!error) {
                               self->Add(std::move(socket));
                             }
                             self->Continue(error);
                           });
  }

  asio::any_io_executor executor() { return acceptor_.get_executor(); }
  uint16_t port() const override { return port_; }

  void Drain(std::function<void()> drained) override {
    StopAccepting();
    std::unique_lock lock(mutex_);
    drained_ = std::move(drained);
    for (const auto& [id, connection] : connections_) {
      if (const auto open = connection.lock()) {
        open->Finish();
      }
    }
    ReportIfDrained(std::move(lock));
  }

  void Stop() override {
    StopAccepting();
    const std::lock_guard lock(mutex_);
    for (const auto& [id, connection] : connections_) {
      if (const auto open = connection.lock()) {
        open->Abort();
      }
    }
  }

 private:
  void Continue(const boost::system::error_code& last) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (!last) {
      AcceptNext();
      return;
    }
    pause_.expires_after(millis(kAcceptRetryMs));
    pause_.async_wait(
        [self = shared_from_this()](const boost::system::error_code&) {
          if (self->acceptor_.is_open()) {
            self->AcceptNext();
          }
        });
  }

  void Add(asio::ip::tcp::socket socket) {
    const std::lock_guard lock(mutex_);
    const size_t open = connections_.size();
    if (stopping_ ||
        open >= options_.max_connections + kMaxRefusedConnections) {
      return;
    }
    const uint64_t id = next_id_++;
    const auto connection = std::make_shared<http_connection>(
        std::move(socket), options_, handler_, open >= options_.max_connections,
        [self = shared_from_this(), id] { self->Remove(id); });
    connections_.emplace(id, connection);
    connection->Start();
  }

  void Remove(uint64_t id) {
    std::unique_lock lock(mutex_);
    connections_.erase(id);
    ReportIfDrained(std::move(lock));
  }

  void ReportIfDrained(std::unique_lock<std::mutex> lock) {
    if (!stopping_ || !connections_.empty() || !drained_) {
      return;
    }
    const auto drained = std::exchange(drained_, nullptr);
    lock.unlock();
    drained();
  }

  void StopAccepting() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    asio::dispatch(acceptor_.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
    });
  }

  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  const uint16_t port_;
  const http_server_options options_;
  const std::shared_ptr<const http_handler> handler_;

  std::mutex mutex_;
  bool stopping_ = false;
  uint64_t next_id_ = 0;
  std::unordered_map<uint64_t, std::weak_ptr<http_connection>> connections_;
  std::function<void()> drained_;
};

}  // namespace

result<std::shared_ptr<http_server>> http_server::Make(
    asio::io_context& loop,
    const std::string& ip,
    uint16_t port,
    http_server_options options,
    http_handler handler) {
  auto acceptor = Listen(loop, ip, port);
  if (!acceptor) {
    return acceptor.last_reason();
  }
  const auto out = std::make_shared<http_server_impl>(
      loop, *std::move(acceptor), options, std::move(handler));
  asio::dispatch(out->executor(), [out] { out->AcceptNext(); });
  return std::shared_ptr<http_server>(out);
}

}  // namespace chiveglade::net
