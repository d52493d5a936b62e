#include "src/net/http_connection.h"

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <exception>
#include <utility>

#include "src/net/beast_fields.h"

namespace chiveglade::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadChunkBytes = 16UL * 1024;
constexpr millis kLingerTime{1'000};
constexpr size_t kLingerBytes = 4UL * 1024 * 1024;

http_reply RefusalFor(beast::error_code error) {
  if (error == http::error::header_limit) {
    return MakeRefusal(431, verdict::kNotRun, "header_too_large",
                       "the request line and header exceed the limit");
  }
  if (error == http::error::body_limit) {
    return MakeRefusal(413, verdict::kNotRun, "body_too_large",
                       "the request body exceeds the limit");
  }
  if (error == asio::error::operation_aborted) {
    return MakeRefusal(408, verdict::kNotRun, "request_timeout",
                       "the request did not arrive in time");
  }
  return MakeRefusal(400, verdict::kNotRun, "bad_request",
                     "malformed HTTP request: " + error.message());
}

http_request ToRequest(const http::request<http::string_body>& in) {
  return {std::string(in.method_string()), std::string(in.target()),
          FromFields(in), in.body()};
}

}  // namespace

http_connection::http_connection(asio::ip::tcp::socket socket,
                                 http_server_options options,
                                 std::shared_ptr<const http_handler> handler,
                                 bool refuse,
                                 std::function<void()> ended)
    : stream_(std::move(socket)),
      buffer_(options.max_header_bytes + kReadChunkBytes),
      options_(options),
      handler_(std::move(handler)),
      refuse_(refuse),
      ended_(std::move(ended)) {
  beast::error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

void http_connection::Start() {
  asio::post(stream_.get_executor(),
             [self = shared_from_this()] { self->AwaitRequest(); });
}

void http_connection::AwaitRequest() {
  if (finishing_) {
    End();
    return;
  }
  if (buffer_.size() > 0) {
    SpawnRequest();
    return;
  }
  idle_ = true;
  stream_.expires_after(options_.idle_timeout);
  stream_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](beast::error_code error, size_t size) {
        self->idle_ = false;
        self->buffer_.commit(size);
        error ? self->End() : self->SpawnRequest();
      });
}

void http_connection::SpawnRequest() {
  // Posted, because a spawned coroutine runs at once, and each of a row of
  // pipelined requests would run on top of the one before.
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    asio::spawn(
        self->stream_.get_executor(),
        [self](const yield& yield) {
          self->ServeRequest(yield) ? self->AwaitRequest() : self->End();
        },
        asio::detached);
  });
}

bool http_connection::ServeRequest(const yield& yield) {
  if (refuse_) {
    Write(MakeRefusal(503, verdict::kNotRun, "too_many_connections",
                      "the server has too many open connections"),
          false, yield);
    Linger(yield);
    return false;
  }
  parser request;
  request.header_limit(options_.max_header_bytes);
  request.body_limit(options_.max_body_bytes);
  if (!ReadRequest(request, yield)) {
    return false;
  }
  const auto reply = Handle(request, yield);
  const bool keep_alive = request.get().keep_alive() && !finishing_;
  return reply.status != 0 && Write(reply, keep_alive, yield) && keep_alive;
}

bool http_connection::ReadRequest(parser& into, const yield& yield) {
  beast::error_code error;
  // Beast closes a stream that exceeds its own timeout, so a timer that only
  // cancels the read is used where the peer is still to be answered.
  stream_.expires_never();
  asio::steady_timer limit(stream_.get_executor(), options_.request_timeout);
  const uint64_t id = ++reading_;
  limit.async_wait([self = shared_from_this(), id](beast::error_code) {
    if (self->reading_ == id) {
      self->stream_.cancel();
    }
  });
  http::async_read_header(stream_, buffer_, into, yield[error]);
  if (!error && http::token_list(into.get()[http::field::expect])
                    .exists("100-continue")) {
    http::response<http::empty_body> go_on(http::status::continue_, 11);
    http::async_write(stream_, go_on, yield[error]);
  }
  if (!error) {
    http::async_read(stream_, buffer_, into, yield[error]);
  }
  ++reading_;
  if (error) {
    RefuseAfter(error, yield);
  }
  return !error;
}

void http_connection::RefuseAfter(beast::error_code error, const yield& yield) {
  const bool by_parser =
      error.category() == make_error_code(http::error::bad_method).category();
  const bool timed_out = error == asio::error::operation_aborted && !finishing_;
  const bool refusable =
      timed_out || (by_parser && error != http::error::end_of_stream &&
                    error != http::error::partial_message);
  if (refusable && Write(RefusalFor(error), false, yield)) {
    Linger(yield);
  }
}

http_reply http_connection::Handle(const parser& request, const yield& yield) {
  // While the handler runs, the connection has no timeout of its own.
  stream_.expires_never();
  try {
    return (*handler_)(ToRequest(request.get()), yield);
  } catch (const std::exception& error) {
    return MakeRefusal(500, verdict::kMayHaveRun, "internal_error",
                       error.what());
  }
}

bool http_connection::Write(const http_reply& reply,
                            bool keep_alive,
                            const yield& yield) {
  http::response<http::string_body> out;
  out.version(11);
  out.result(static_cast<unsigned>(reply.status));
  if (AreFieldsValid(reply.headers)) {
    AddFields(reply.headers, out);
  }
  out.body() = reply.body;
  out.keep_alive(keep_alive);
  out.prepare_payload();
  beast::error_code error;
  stream_.expires_after(options_.write_timeout);
  http::async_write(stream_, out, yield[error]);
  return !error;
}

void http_connection::Linger(const yield& yield) {
  beast::error_code error;
  stream_.socket().shutdown(asio::socket_base::shutdown_send, error);
  stream_.expires_after(kLingerTime);
  std::array<char, kReadChunkBytes> dropped;
  for (size_t total = 0; !error && total < kLingerBytes;) {
    total += stream_.async_read_some(asio::buffer(dropped), yield[error]);
  }
}

void http_connection::Finish() {
  finishing_ = true;
  asio::dispatch(stream_.get_executor(), [self = shared_from_this()] {
    if (self->idle_) {
      self->Close();
    }
  });
}

void http_connection::Abort() {
  finishing_ = true;
  asio::dispatch(stream_.get_executor(),
                 [self = shared_from_this()] { self->Close(); });
}

void http_connection::Close() {
  beast::error_code ignored;
  stream_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
  stream_.close();
}

void http_connection::End() {
  Close();
  if (const auto ended = std::exchange(ended_, nullptr)) {
    ended();
  }
}

}  // namespace chiveglade::net
