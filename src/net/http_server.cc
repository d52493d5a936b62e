#include "chiveglade/net/http_server.h"

#include <boost/asio/detached.hpp>
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
        port_(acceptor_.local_endpoint().port()),
        options_(options),
        handler_(std::make_shared<const http_handler>(std::move(handler))) {}

  void Start() {
    asio::spawn(
        acceptor_.get_executor(),
        [self = shared_from_this()](const yield& yield) {
          self->Accept(yield);
        },
        asio::detached);
  }

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
  void Accept(const yield& yield) {
    while (acceptor_.is_open()) {
      boost::system::error_code error;
      asio::ip::tcp::socket socket(asio::make_strand(loop_));
      acceptor_.async_accept(socket, yield[error]);
      if (!error) {
        Add(std::move(socket));
      } else if (acceptor_.is_open()) {
        asio::steady_timer pause(acceptor_.get_executor(),
                                 millis(kAcceptRetryMs));
        pause.async_wait(yield[error]);
      }
    }
  }

  void Add(asio::ip::tcp::socket socket) {
    const auto executor = socket.get_executor();
    const auto connection = std::make_shared<http_connection>(
        std::move(socket), options_, handler_);
    const std::lock_guard lock(mutex_);
    const size_t open = connections_.size();
    if (stopping_ ||
        open >= options_.max_connections + kMaxRefusedConnections) {
      return;
    }
    const uint64_t id = next_id_++;
    connections_.emplace(id, connection);
    const bool refused = open >= options_.max_connections;
    asio::spawn(
        executor,
        [self = shared_from_this(), connection, id,
         refused](const net::yield& yield) {
          refused ? connection->Refuse(yield) : connection->Serve(yield);
          self->Remove(id);
        },
        asio::detached);
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
  out->Start();
  return std::shared_ptr<http_server>(out);
}

}  // namespace chiveglade::net
