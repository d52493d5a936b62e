#include "chiveglade/net/http_server.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "src/net/http_connection.h"
#include "src/net/listener.h"

namespace chiveglade::net {

namespace {

// Share of the connections that is kept for refusals: connections above the
// limit that stay open until they have been told so. If more come, the oldest
// are closed.
constexpr uint32_t kRefusedShare = 8;
constexpr uint32_t kLeastRefused = 64;

class http_server_impl : public http_server,
                         public std::enable_shared_from_this<http_server_impl> {
 public:
  http_server_impl(std::shared_ptr<listener> from,
                   http_server_options options,
                   http_handler handler,
                   http_server_hooks to)
      : listener_(std::move(from)),
        options_(options),
        max_refused_(
            std::max(options.max_connections / kRefusedShare, kLeastRefused)),
        max_accepted_(options.max_connections -
                      options.max_connections / kRefusedShare),
        hooks_(std::make_shared<const http_server_hooks>(std::move(to))),
        port_id_(hooks_->admit ? hooks_->admit->AddPort() : 0),
        handler_(std::make_shared<const http_handler>(std::move(handler))) {}

  void Start() {
    listener_->Start([self = shared_from_this()](asio::ip::tcp::socket socket) {
      self->Add(std::move(socket));
    });
  }

  uint16_t port() const override { return listener_->port(); }

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
  void Add(asio::ip::tcp::socket socket) {
    const uint64_t id = next_id_++;
    std::string address;
    if (options_.max_connections_per_address > 0 || hooks_->admit) {
      boost::system::error_code ignored;
      address = socket.remote_endpoint(ignored).address().to_string();
    }
    std::optional<limit_kind> refuse;
    const auto connection = std::make_shared<http_connection>(
        std::move(socket), options_, handler_, hooks_, std::move(address),
        [self = shared_from_this(), id] { self->Remove(id); });
    if (hooks_->admit) {
      refuse = connection->Admit(
          port_id_, {max_accepted_, options_.max_connections_per_address});
    }
    std::shared_ptr<http_connection> oldest;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return;
      }
      if (!hooks_->admit &&
          connections_.size() - refused_.size() >= max_accepted_) {
        refuse = limit_kind::kConnections;
      }
      connections_.emplace(id, connection);
      if (refuse) {
        if (refused_.size() >= max_refused_) {
          oldest = TakeRefused();
        }
        refused_.emplace(id);
      }
    }
    if (oldest) {
      oldest->Abort();
    }
    connection->Start(refuse);
  }

  // Takes the oldest refused connection that has been answered, or the oldest
  // of all. Call with the lock held.
  std::shared_ptr<http_connection> TakeRefused() {
    auto chosen =
        std::find_if(refused_.begin(), refused_.end(), [this](uint64_t id) {
          const auto open = connections_.at(id).lock();
          return !open || open->was_refused();
        });
    if (chosen == refused_.end()) {
      chosen = refused_.begin();
    }
    auto out = connections_.at(*chosen).lock();
    refused_.erase(chosen);
    return out;
  }

  void Remove(uint64_t id) {
    std::unique_lock lock(mutex_);
    connections_.erase(id);
    refused_.erase(id);
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

  // Comes before any connection is closed: a peer that connects again must be
  // refused, not accepted and cut off.
  void StopAccepting() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    listener_->Close();
  }

  const std::shared_ptr<listener> listener_;
  const http_server_options options_;
  const uint32_t max_refused_;
  const uint32_t max_accepted_;
  const std::shared_ptr<const http_server_hooks> hooks_;
  const uint32_t port_id_;
  const std::shared_ptr<const http_handler> handler_;
  uint64_t next_id_ = 0;  // used while accepting only

  std::mutex mutex_;
  bool stopping_ = false;
  std::unordered_map<uint64_t, std::weak_ptr<http_connection>> connections_;
  std::set<uint64_t> refused_;  // ids of those that are refused, oldest first
  std::function<void()> drained_;
};

}  // namespace

result<std::shared_ptr<http_server>> http_server::Make(
    asio::io_context& loop,
    const std::string& ip,
    uint16_t port,
    http_server_options options,
    http_handler handler,
    http_server_hooks to) {
  auto from = listener::Make(loop, ip, port, options.socket_buffer_bytes);
  if (!from) {
    return from.last_reason();
  }
  const auto out = std::make_shared<http_server_impl>(
      *std::move(from), options, std::move(handler), std::move(to));
  out->Start();
  return std::shared_ptr<http_server>(out);
}

}  // namespace chiveglade::net
