#include "chiveglade/net/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <chrono>
#include <deque>
#include <mutex>
#include <utility>

#include "chiveglade/net/coroutine_stack.h"
#include "src/net/await.h"
#include "src/net/beast_fields.h"
#include "src/net/listener.h"

namespace chiveglade::net {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using steady = std::chrono::steady_clock;

struct connection {
  explicit connection(asio::io_context& loop)
      : stream(asio::make_strand(loop)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  steady::time_point idle_since;
  // When the exchange in progress began or last received a byte.
  steady::time_point last_progress;
};
using connection_ptr = std::shared_ptr<connection>;

// True if the peer has neither closed the connection nor sent anything.
bool IsQuiet(connection& in) {
  char byte = 0;
  const auto size = ::recv(in.stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

http::request<http::string_body> ToBeast(const http_request& in,
                                         const std::string& host) {
  http::request<http::string_body> out;
  out.version(11);
  out.method_string(in.method);
  out.target(in.target);
  if (FindHeader(in.headers, "host").empty()) {
    out.set(http::field::host, host);
  }
  AddFields(in.headers, out);
  out.body() = in.body;
  out.prepare_payload();
  return out;
}

bool IsSendable(const http_request& in) {
  const auto is_plain = [](char c) {
    return static_cast<unsigned char>(c) > 0x20 && c != 0x7f;
  };
  return !in.method.empty() && !in.target.empty() &&
         std::all_of(in.method.begin(), in.method.end(), is_plain) &&
         std::all_of(in.target.begin(), in.target.end(), is_plain) &&
         AreFieldsValid(in.headers);
}

reason ToReason(const std::string& call, beast::error_code error) {
  if (error == beast::error::timeout) {
    return {call + "_timeout", "no progress in time"};
  }
  return {call + "_failed", error.message()};
}

class http_client_impl : public http_client,
                         public std::enable_shared_from_this<http_client_impl> {
 public:
  http_client_impl(asio::io_context& loop,
                   std::string ip,
                   uint16_t port,
                   http_client_options options)
      : loop_(loop), ip_(std::move(ip)), port_(port), options_(options) {
    host_ = ip_.find(':') == std::string::npos ? ip_ : "[" + ip_ + "]";
    host_ += ":" + std::to_string(port_);
  }

  http_outcome Send(const http_request& request, yield yield) override {
    return Send(request, {options_.answer_timeout, options_.answer_timeout},
                yield);
  }

  // The exchange runs in a coroutine on the strand of its connection, because
  // the timer of a Beast stream must not run at the same time as its calls.
  http_outcome Send(const http_request& request,
                    const http_time_limits& limits,
                    yield yield) override {
    if (!IsSendable(request)) {
      return {verdict::kNotRun,
              reason{"bad_request", "the request cannot be sent as HTTP/1.1"}};
    }
    const auto self = shared_from_this();
    const auto message = std::make_shared<http::request<http::string_body>>(
        ToBeast(request, host_));
    for (;;) {
      const auto kept = TakeIdle();
      const auto used = kept ? kept : std::make_shared<connection>(loop_);
      const bool fresh = !kept;
      auto outcome = Await<http_outcome>(
          yield, [&](std::function<void(http_outcome)> then) {
            asio::spawn(
                used->stream.get_executor(), std::allocator_arg,
                coroutine_stack(),
                [self, used, fresh, message, limits,
                 then = std::move(then)](const net::yield& inner) {
                  then(self->Exchange(used, fresh, *message, limits, inner));
                },
                asio::detached);
          });
      if (fresh || outcome.delivery != verdict::kNotRun) {
        return outcome;
      }
    }
  }

  void Close() override {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    idle_.clear();
  }

 private:
  http_outcome Exchange(const connection_ptr& on,
                        bool fresh,
                        const http::request<http::string_body>& message,
                        const http_time_limits& limits,
                        const yield& yield) {
    if (fresh) {
      if (auto connected = Connect(*on, yield); !connected) {
        return {verdict::kNotRun, connected.last_reason()};
      }
    }
    on->last_progress = steady::now();
    const auto until = on->last_progress + limits.total;
    http::request_serializer<http::string_body> out(message);
    beast::error_code error;
    size_t sent = 0;
    while (!error && !out.is_done()) {
      ExpectProgress(*on, limits, until);
      sent += http::async_write_some(on->stream, out, yield[error]);
    }
    if (error) {
      OnFailure(*on, error, limits);
      return {sent == 0 && error != beast::error::timeout
                  ? verdict::kNotRun
                  : verdict::kMayHaveRun,
              ToReason("send", error)};
    }
    return Receive(on, message.method(), limits, until, yield);
  }

  static void ExpectProgress(connection& on,
                             const http_time_limits& limits,
                             steady::time_point until) {
    on.stream.expires_at(std::min(steady::now() + limits.silence, until));
  }

  http_outcome Receive(const connection_ptr& on,
                       http::verb method,
                       const http_time_limits& limits,
                       steady::time_point until,
                       const yield& yield) {
    http::response_parser<http::string_body> answer;
    answer.header_limit(options_.max_header_bytes);
    answer.body_limit(options_.max_body_bytes);
    answer.skip(method == http::verb::head);
    beast::error_code error;
    while (!error && !answer.is_done()) {
      ExpectProgress(*on, limits, until);
      if (http::async_read_some(on->stream, on->buffer, answer, yield[error]) >
          0) {
        on->last_progress = steady::now();
      }
    }
    if (error) {
      OnFailure(*on, error, limits);
      return {verdict::kMayHaveRun, ToReason("answer", error)};
    }
    const bool keep = answer.get().keep_alive() && on->buffer.size() == 0;
    auto message = answer.release();
    http_reply reply{static_cast<int>(message.result_int()),
                     FromFields(message), std::move(message.body())};
    if (keep) {
      Keep(on);
    }
    return {verdict::kRan, std::move(reply)};
  }

  result<done> Connect(connection& on, const yield& yield) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_) {
        return reason{"client_closed", "the client was closed"};
      }
    }
    const auto endpoint = ParseEndpoint(ip_, port_);
    if (!endpoint) {
      return endpoint.last_reason();
    }
    beast::error_code error;
    on.stream.expires_after(options_.connect_timeout);
    on.stream.async_connect(*endpoint, yield[error]);
    if (error) {
      return ToReason("connect", error);
    }
    on.stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    return done{};
  }

  // The connections of a peer share a path, so silence on one of them makes all
  // suspect that have been idle since before it. A call that keeps receiving
  // bytes until its total limit shows that the path is well.
  void OnFailure(const connection& on,
                 beast::error_code error,
                 const http_time_limits& limits) {
    if (error != beast::error::timeout ||
        steady::now() - on.last_progress < limits.silence) {
      return;
    }
    const std::lock_guard lock(mutex_);
    std::erase_if(idle_, [&on](const connection_ptr& kept) {
      return kept->idle_since < on.last_progress;
    });
  }

  // A kept connection that can be used, or null.
  connection_ptr TakeIdle() {
    const std::lock_guard lock(mutex_);
    while (!idle_.empty()) {
      auto out = std::move(idle_.back());
      idle_.pop_back();
      if (steady::now() - out->idle_since < options_.keep_alive &&
          IsQuiet(*out)) {
        return out;
      }
    }
    return nullptr;
  }

  void Keep(const connection_ptr& on) {
    on->stream.expires_never();
    on->idle_since = steady::now();
    const std::lock_guard lock(mutex_);
    if (closed_) {
      return;
    }
    idle_.push_back(on);
    if (idle_.size() > options_.max_idle_connections) {
      idle_.pop_front();
    }
  }

  asio::io_context& loop_;
  const std::string ip_;
  const uint16_t port_;
  const http_client_options options_;
  std::string host_;

  std::mutex mutex_;
  bool closed_ = false;
  std::deque<connection_ptr> idle_;
};

}  // namespace

std::shared_ptr<http_client> http_client::Make(asio::io_context& loop,
                                               const std::string& ip,
                                               uint16_t port,
                                               http_client_options options) {
  return std::make_shared<http_client_impl>(loop, ip, port, options);
}

}  // namespace chiveglade::net
