#include "chiveglade/net/h2_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "src/net/h2_connection.h"
#include "src/net/listener.h"

namespace chiveglade::net {

namespace {

// Far above the number of processes that connect to one (18 entries); bounds
// the memory that peers which never speak can take.
constexpr size_t kMaxConnections = 4'096;

class h2_server_impl : public h2_server,
                       public std::enable_shared_from_this<h2_server_impl> {
 public:
  h2_server_impl(asio::io_context& loop,
                 asio::ip::tcp::acceptor acceptor,
                 const h2_options& options,
                 h2_handler handler)
      : loop_(loop),
        acceptor_(std::move(acceptor)),
        pause_(acceptor_.get_executor()),
        port_(acceptor_.local_endpoint().port()),
        options_(options),
        handler_(std::make_shared<const h2_handler>(std::move(handler))) {}

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
    asio::dispatch(acceptor_.get_executor(),
                   [self = shared_from_this(), drained = std::move(drained)] {
                     self->AcceptBacklog();
                     self->StopAccepting();
                     self->FinishAll(drained);
                   });
  }

  void Stop() override {
    StopAccepting();
    ForEach([](h2_connection& open) {
      open.Abort({"connection_lost", "the server was stopped"});
    });
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
    if (stopping_ || connections_.size() >= kMaxConnections) {
      return;
    }
    const uint64_t id = next_id_++;
    const auto connection = std::make_shared<h2_connection>(
        loop_, std::move(socket), h2_session::side::kServer, options_, handler_,
        [self = shared_from_this(), id] { self->Remove(id); });
    connections_.emplace(id, connection);
    asio::dispatch(connection->strand(), [connection] { connection->Start(); });
  }

  void Remove(uint64_t id) {
    {
      const std::lock_guard lock(mutex_);
      connections_.erase(id);
    }
    ReportIfDrained();
  }

  // Takes the connections that the system has accepted already, so that their
  // peers get a GOAWAY, which says that nothing ran, and not a reset.
  void AcceptBacklog() {
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      asio::ip::tcp::socket socket(asio::make_strand(loop_));
      acceptor_.accept(socket, error);
      if (!error) {
        Add(std::move(socket));
      }
    }
  }

  void FinishAll(std::function<void()> drained) {
    {
      const std::lock_guard lock(mutex_);
      drained_ = std::move(drained);
    }
    ForEach([](h2_connection& open) { open.Finish(); });
    ReportIfDrained();
  }

  // Calls `call` for each connection, on its strand.
  template <typename Call>
  void ForEach(Call call) {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, weak] : connections_) {
      if (const auto open = weak.lock()) {
        asio::post(open->strand(), [open, call] { call(*open); });
      }
    }
  }

  void ReportIfDrained() {
    std::function<void()> drained;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_ && connections_.empty()) {
        drained = std::exchange(drained_, nullptr);
      }
    }
    if (drained) {
      drained();
    }
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
  const h2_options options_;
  const std::shared_ptr<const h2_handler> handler_;

  std::mutex mutex_;
  bool stopping_ = false;
  uint64_t next_id_ = 0;
  std::unordered_map<uint64_t, std::weak_ptr<h2_connection>> connections_;
  std::function<void()> drained_;
};

}  // namespace

result<std::shared_ptr<h2_server>> h2_server::Make(asio::io_context& loop,
                                                   const std::string& ip,
                                                   uint16_t port,
                                                   h2_options options,
                                                   h2_handler handler) {
  auto acceptor = Listen(loop, ip, port);
  if (!acceptor) {
    return acceptor.last_reason();
  }
  const auto out = std::make_shared<h2_server_impl>(
      loop, *std::move(acceptor), options, std::move(handler));
  asio::dispatch(out->executor(), [out] { out->AcceptNext(); });
  return std::shared_ptr<h2_server>(out);
}

}  // namespace chiveglade::net
