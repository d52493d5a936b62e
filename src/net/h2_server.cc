#include "chiveglade/net/h2_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "src/net/h2_connection.h"
#include "src/net/listener.h"

namespace chiveglade::net {

namespace {

class h2_server_impl : public h2_server,
                       public std::enable_shared_from_this<h2_server_impl> {
 public:
  h2_server_impl(asio::io_context& loop,
                 std::shared_ptr<listener> from,
                 const h2_options& options,
                 h2_handler handler,
                 std::shared_ptr<admission> admit)
      : loop_(loop),
        listener_(std::move(from)),
        options_(options),
        admit_(std::move(admit)),
        port_id_(admit_ ? admit_->AddPort() : 0),
        handler_(std::make_shared<const h2_handler>(std::move(handler))) {}

  void Start() {
    listener_->Start([self = shared_from_this()](asio::ip::tcp::socket socket) {
      self->Add(std::move(socket));
    });
  }

  uint16_t port() const override { return listener_->port(); }

  // Peers of the backlog get a GOAWAY, which says that nothing ran, and not a
  // reset.
  void Drain(std::function<void()> drained) override {
    listener_->Drain([self = shared_from_this(), drained = std::move(drained)] {
      self->FinishAll(drained);
    });
  }

  void Stop() override {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    // Comes before any connection is closed: a peer that connects again must be
    // refused, not accepted and cut off.
    listener_->Close();
    ForEach([](h2_connection& open) {
      open.Abort({"connection_lost", "the server was stopped"});
    });
  }

 private:
  void Add(asio::ip::tcp::socket socket) {
    boost::system::error_code ignored;
    const auto address = socket.remote_endpoint(ignored).address().to_string();
    const std::lock_guard lock(mutex_);
    if (stopping_ ||
        (!admit_ && connections_.size() >= options_.max_connections)) {
      return;
    }
    const uint64_t id = next_id_++;
    const auto connection = std::make_shared<h2_connection>(
        loop_, std::move(socket), h2_session::side::kServer, options_, handler_,
        [self = shared_from_this(), id] { self->Remove(id); });
    if (admit_ && !Admit(*connection, address)) {
      return;
    }
    connections_.emplace(id, connection);
    asio::dispatch(connection->strand(), [connection] { connection->Start(); });
  }

  bool Admit(h2_connection& connection, const std::string& address) {
    limit_kind why{};
    auto account = admit_->Open(
        port_id_, {options_.max_connections, 0}, address,
        [weak = connection.weak_from_this()] {
          if (const auto open = weak.lock()) {
            open->Evict();
          }
        },
        why);
    if (!account) {
      admit_->Report(why, address);
      return false;
    }
    connection.SetAccount(std::move(account));
    return true;
  }

  void Remove(uint64_t id) {
    {
      const std::lock_guard lock(mutex_);
      connections_.erase(id);
    }
    ReportIfDrained();
  }

  void FinishAll(std::function<void()> drained) {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
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

  asio::io_context& loop_;
  const std::shared_ptr<listener> listener_;
  const h2_options options_;
  const std::shared_ptr<admission> admit_;
  const uint32_t port_id_;
  const std::shared_ptr<const h2_handler> handler_;

  std::mutex mutex_;
  bool stopping_ = false;
  uint64_t next_id_ = 0;
  std::unordered_map<uint64_t, std::weak_ptr<h2_connection>> connections_;
  std::function<void()> drained_;
};

}  // namespace

result<std::shared_ptr<h2_server>> h2_server::Make(
    asio::io_context& loop,
    const std::string& ip,
    uint16_t port,
    h2_options options,
    h2_handler handler,
    std::shared_ptr<admission> admit) {
  auto from = listener::Make(loop, ip, port, options.socket_buffer_bytes);
  if (!from) {
    return from.last_reason();
  }
  const auto out = std::make_shared<h2_server_impl>(
      loop, *std::move(from), options, std::move(handler), std::move(admit));
  out->Start();
  return std::shared_ptr<h2_server>(out);
}

}  // namespace chiveglade::net
