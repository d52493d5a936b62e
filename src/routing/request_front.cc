#include "chiveglade/routing/request_front.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "caller_connection.h"
#include "front_state.h"

namespace chiveglade::routing {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Interval at which connections to unknown agents are closed.
constexpr millis kAgentCleanupInterval{5'000};
// Delay after a failed accept, for instance when the process has no file
// descriptor left.
constexpr millis kAcceptRetryDelay{100};

class front_server : public request_front,
                     public std::enable_shared_from_this<front_server> {
 public:
  front_server(asio::io_context& loop, front_options options, front_hooks hooks)
      : loop_(loop),
        state_(std::make_shared<front_state>(std::move(options),
                                             std::move(hooks))),
        strand_(asio::make_strand(loop)),
        acceptor_(strand_),
        accept_retry_timer_(strand_),
        cleanup_timer_(strand_) {}

  result<done> Listen() {
    const auto& at = state_->options().listen;
    error_code error;
    const auto address = asio::ip::make_address(at.ip, error);
    const tcp::endpoint endpoint(address, at.port);
    if (!error) {
      acceptor_.open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error && state_->options().socket_buffer_bytes > 0) {
      // Accepted sockets inherit both.
      const int size = static_cast<int>(state_->options().socket_buffer_bytes);
      acceptor_.set_option(asio::socket_base::receive_buffer_size(size), error);
      acceptor_.set_option(asio::socket_base::send_buffer_size(size), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return reason{"listen", config::ToString(at) + ": " + error.message()};
    }
    port_ = acceptor_.local_endpoint().port();
    asio::post(strand_, [self = shared_from_this()] {
      self->Accept();
      self->ScheduleCleanup();
    });
    return done{};
  }

  uint16_t port() const override { return port_; }
  uint32_t open_requests() const override { return state_->open_requests(); }

  void Drain(std::function<void()> drained) override {
    asio::post(strand_, [self = shared_from_this(),
                         drained = std::move(drained)]() mutable {
      self->state_->draining = true;
      self->drained_ = std::move(drained);
      self->AcceptPending();
      self->StopAccepting();
      for (const auto& [id, connection] : self->connections_) {
        connection->Drain();
      }
      self->NotifyIfDrained();
    });
  }

  void Stop() override {
    asio::post(strand_, [self = shared_from_this()] {
      self->StopAccepting();
      for (const auto& [id, connection] : self->connections_) {
        connection->Stop();
      }
      self->state_->CloseAgents();
    });
  }

 private:
  void Accept() {
    if (!acceptor_.is_open()) {
      return;
    }
    acceptor_.async_accept(
        asio::make_strand(loop_),
        [self = shared_from_this()](error_code error, tcp::socket socket) {
          if (!self->acceptor_.is_open()) {
            return;
          }
          if (error) {
            self->RetryAcceptLater();
            return;
          }
          self->Serve(std::move(socket));
          if (self->connections_.size() <
              self->state_->options().max_connections) {
            self->Accept();
          } else {
            self->at_connection_limit_ = true;
          }
        });
  }

  // Accepts the connections in the listen backlog; closing the listener would
  // reset them.
  void AcceptPending() {
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(asio::make_strand(loop_));
      acceptor_.accept(socket, error);
      if (!error) {
        Serve(std::move(socket));
      }
    }
  }

  void RetryAcceptLater() {
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait(
        [self = shared_from_this()](error_code error) {
          if (!error) {
            self->Accept();
          }
        });
  }

  void Serve(tcp::socket socket) {
    const uint64_t id = ++last_id_;
    auto connection =
        std::make_shared<caller_connection>(state_, std::move(socket));
    connections_[id] = connection;
    connection->Start([self = shared_from_this(), id] {
      asio::post(self->strand_, [self, id] { self->OnConnectionEnded(id); });
    });
  }

  void OnConnectionEnded(uint64_t id) {
    connections_.erase(id);
    if (std::exchange(at_connection_limit_, false)) {
      Accept();
    }
    NotifyIfDrained();
  }

  void NotifyIfDrained() {
    if (drained_ && connections_.empty()) {
      std::exchange(drained_, nullptr)();
    }
  }

  void StopAccepting() {
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
    cleanup_timer_.cancel();
  }

  void ScheduleCleanup() {
    cleanup_timer_.expires_after(kAgentCleanupInterval);
    cleanup_timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error && self->acceptor_.is_open()) {
        self->state_->CloseUnusedAgents();
        self->ScheduleCleanup();
      }
    });
  }

  asio::io_context& loop_;
  const std::shared_ptr<front_state> state_;
  // The members below are accessed on this strand only.
  asio::strand<asio::io_context::executor_type> strand_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  asio::steady_timer cleanup_timer_;
  std::atomic<uint16_t> port_{0};
  std::map<uint64_t, std::shared_ptr<caller_connection>> connections_;
  std::function<void()> drained_;
  uint64_t last_id_ = 0;
  bool at_connection_limit_ = false;
};

}  // namespace

result<std::shared_ptr<request_front>> request_front::Make(
    asio::io_context& loop,
    front_options options,
    front_hooks hooks) {
  auto out = std::make_shared<front_server>(loop, std::move(options),
                                            std::move(hooks));
  if (auto listening = out->Listen(); !listening) {
    return listening.last_reason();
  }
  return std::shared_ptr<request_front>(std::move(out));
}

}  // namespace chiveglade::routing
