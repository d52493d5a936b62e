#include "chiveglade/net/h2_client.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>
#include <vector>

#include "src/net/await.h"
#include "src/net/h2_connection.h"
#include "src/net/h2_stream_handle.h"
#include "src/net/listener.h"

namespace chiveglade::net {

namespace {

using opened = result<h2_stream_ptr>;

// The state of a client, which outlives it while calls are in progress. All of
// it is used on `strand_` only, which its connections share.
class h2_peer : public std::enable_shared_from_this<h2_peer> {
 public:
  h2_peer(asio::io_context& loop,
          std::string ip,
          uint16_t port,
          millis connect_timeout,
          const h2_options& options)
      : loop_(loop),
        strand_(asio::make_strand(loop)),
        ip_(std::move(ip)),
        port_(port),
        connect_timeout_(connect_timeout),
        options_(options) {}

  asio::any_io_executor strand() const { return strand_; }

  void Open(const header_list& fields, bool end, resume_fn<opened> then) {
    if (closed_) {
      then(reason{"client_closed", "the client was closed"});
    } else if (connection_ && connection_->usable()) {
      OpenOn(*connection_, {fields, end, std::move(then)});
    } else {
      waiting_.push_back({fields, end, std::move(then)});
      Connect();
    }
  }

  void Close() {
    closed_ = true;
    if (connection_) {
      connection_->Finish();
    }
  }

 private:
  struct waiting_call {
    header_list fields;
    bool end;
    resume_fn<opened> then;
  };
  struct attempt {
    explicit attempt(const asio::any_io_executor& on) : socket(on), timer(on) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    bool timed_out = false;
  };

  void OpenOn(h2_connection& on, const waiting_call& call) {
    auto state = on.session().Open(call.fields, call.end);
    if (!state) {
      call.then(state.last_reason());
      return;
    }
    // Without END_STREAM the headers wait for the first Write, so that both go
    // out together.
    if (call.end) {
      on.Flush();
    }
    call.then(h2_stream_ptr(std::make_shared<h2_stream_handle>(
        on.shared_from_this(), *std::move(state))));
  }

  void Connect() {
    if (connecting_) {
      return;
    }
    const auto endpoint = ParseEndpoint(ip_, port_);
    if (!endpoint) {
      FailWaiting(endpoint.last_reason());
      return;
    }
    connecting_ = true;
    const auto current = std::make_shared<attempt>(strand_);
    current->timer.expires_after(connect_timeout_);
    current->timer.async_wait(
        [current](const boost::system::error_code& error) {
          if (!error && current->socket.is_open()) {
            boost::system::error_code ignored;
            current->timed_out = true;
            current->socket.close(ignored);
          }
        });
    current->socket.async_connect(
        *endpoint, [self = shared_from_this(),
                    current](const boost::system::error_code& error) {
          current->timer.cancel();
          self->OnConnected(*current, error);
        });
  }

  void OnConnected(attempt& current, const boost::system::error_code& error) {
    connecting_ = false;
    if (current.timed_out) {
      FailWaiting({"connect_timeout", "no connection in time"});
    } else if (error) {
      FailWaiting({"connect_failed", error.message()});
    } else if (closed_) {
      FailWaiting({"client_closed", "the client was closed"});
    } else {
      connection_ = std::make_shared<h2_connection>(
          loop_, std::move(current.socket), h2_session::side::kClient, options_,
          nullptr, nullptr);
      connection_->Start();
      const auto on = connection_;
      for (const auto& call : std::exchange(waiting_, {})) {
        OpenOn(*on, call);
      }
    }
  }

  void FailWaiting(const reason& why) {
    for (const auto& call : std::exchange(waiting_, {})) {
      call.then(why);
    }
  }

  asio::io_context& loop_;
  const asio::any_io_executor strand_;
  const std::string ip_;
  const uint16_t port_;
  const millis connect_timeout_;
  const h2_options options_;

  bool closed_ = false;
  bool connecting_ = false;
  std::shared_ptr<h2_connection> connection_;
  std::vector<waiting_call> waiting_;
};

class h2_client_impl : public h2_client {
 public:
  explicit h2_client_impl(std::shared_ptr<h2_peer> peer)
      : peer_(std::move(peer)) {}
  ~h2_client_impl() override { ClosePeer(); }
  h2_client_impl(const h2_client_impl&) = delete;
  h2_client_impl& operator=(const h2_client_impl&) = delete;

  result<h2_stream_ptr> Open(const header_list& fields,
                             bool end,
                             yield yield) override {
    // A copy, since the client may be destroyed while the call is suspended.
    const auto peer = peer_;
    return Await<opened>(yield, [&](resume_fn<opened> then) {
      asio::dispatch(peer->strand(),
                     [peer, &fields, end, then = std::move(then)]() mutable {
                       peer->Open(fields, end, std::move(then));
                     });
    });
  }

  void Close() override { ClosePeer(); }

 private:
  void ClosePeer() {
    asio::dispatch(peer_->strand(), [peer = peer_] { peer->Close(); });
  }

  const std::shared_ptr<h2_peer> peer_;
};

}  // namespace

std::shared_ptr<h2_client> h2_client::Make(asio::io_context& loop,
                                           const std::string& ip,
                                           uint16_t port,
                                           millis connect_timeout,
                                           h2_options options) {
  return std::make_shared<h2_client_impl>(
      std::make_shared<h2_peer>(loop, ip, port, connect_timeout, options));
}

}  // namespace chiveglade::net
