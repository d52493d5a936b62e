#include "src/net/http_connection.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <exception>
#include <iterator>
#include <sstream>
#include <utility>

#include "chiveglade/net/coroutine_stack.h"
#include "src/net/beast_fields.h"

namespace chiveglade::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t kReadChunkBytes = 16UL * 1024;
// Most requests fit; an idle connection holds no more.
constexpr size_t kIdleReadBytes = 2UL * 1024;
// An idle connection: its objects and the buffer of its read.
constexpr size_t kConnectionBytes = 4UL * 1024;
// A request: the stack of its coroutine and the parsed fields. 1,500 unfinished
// requests of 2 KB took 14.5 KiB each, buffers and body included.
constexpr size_t kRequestBytes = 12UL * 1024;
constexpr millis kLingerTime{1'000};
constexpr size_t kLingerBytes = 4UL * 1024 * 1024;
constexpr char kRetryAfterSeconds[] = "1";

http_reply RefusalFor(limit_kind kind) {
  http_reply out;
  switch (kind) {
    case limit_kind::kBodySize:
      return MakeRefusal(413, verdict::kNotRun, "body_too_large",
                         "the request body exceeds the limit");
    case limit_kind::kHeaderSize:
      return MakeRefusal(431, verdict::kNotRun, "header_too_large",
                         "the request line and header exceed the limit");
    case limit_kind::kFieldCount:
      return MakeRefusal(431, verdict::kNotRun, "too_many_fields",
                         "the header has too many fields");
    case limit_kind::kChunkHeader:
      return MakeRefusal(431, verdict::kNotRun, "chunk_header_too_large",
                         "the size lines of the chunks exceed the limit");
    case limit_kind::kReceiveTime:
    case limit_kind::kSendTime:
      return MakeRefusal(408, verdict::kNotRun, "request_timeout",
                         "the request did not arrive in time");
    case limit_kind::kAddress:
      out = MakeRefusal(429, verdict::kNotRun, "too_many_connections",
                        "the address has too many open connections");
      break;
    case limit_kind::kConnections:
    case limit_kind::kIdleConnections:
      out = MakeRefusal(503, verdict::kNotRun, "too_many_connections",
                        "the server has too many open connections");
      break;
    case limit_kind::kMemory:
      out = MakeRefusal(503, verdict::kNotRun, "overloaded",
                        "the server has no memory for the request");
      break;
  }
  out.headers.emplace_back("retry-after", kRetryAfterSeconds);
  return out;
}

http::response<http::string_body> ToResponse(http_reply in, bool keep_alive) {
  http::response<http::string_body> out;
  out.version(11);
  out.result(static_cast<unsigned>(in.status));
  if (AreFieldsValid(in.headers)) {
    AddFields(in.headers, out);
  }
  out.body() = std::move(in.body);
  out.keep_alive(keep_alive);
  out.prepare_payload();
  return out;
}

// An answer after which the connection is closed, as it is sent.
std::string ToText(http_reply in) {
  std::ostringstream out;
  out << ToResponse(std::move(in), false);
  return out.str();
}

http_reply Malformed(beast::error_code error) {
  return MakeRefusal(400, verdict::kNotRun, "bad_request",
                     "malformed HTTP request: " + error.message());
}

// Takes the body out of `in`.
http_request ToRequest(http::request<http::string_body>& in) {
  return {std::string(in.method_string()), std::string(in.target()),
          FromFields(in), std::move(in.body())};
}

}  // namespace

http_connection::http_connection(asio::ip::tcp::socket socket,
                                 http_server_options options,
                                 std::shared_ptr<const http_handler> handler,
                                 std::shared_ptr<const http_server_hooks> hooks,
                                 std::string address,
                                 std::function<void()> ended)
    : stream_(std::move(socket)),
      buffer_(options.max_header_bytes + kReadChunkBytes),
      options_(options),
      handler_(std::move(handler)),
      hooks_(std::move(hooks)),
      address_(std::move(address)),
      ended_(std::move(ended)),
      timer_(stream_.get_executor()) {
  beast::error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

std::optional<limit_kind> http_connection::Admit(uint32_t port,
                                                 const port_limits& limits) {
  limit_kind why{};
  account_ = hooks_->admit->Open(
      port, limits, address_,
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          asio::post(self->stream_.get_executor(), [self] { self->Evict(); });
        }
      },
      why);
  return account_ ? std::nullopt : std::optional(why);
}

void http_connection::Start(std::optional<limit_kind> refuse) {
  refuse_ = refuse;
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
  if (buffer_.capacity() > kIdleReadBytes) {
    buffer_.shrink_to_fit();
  }
  if (!Charge(phase::kIdle, 0) && !refuse_) {
    refuse_ = limit_kind::kMemory;  // so that its client is told
  }
  // A connection that is refused must not hold its place for long.
  stream_.expires_after(refuse_ ? kLingerTime : options_.idle_timeout);
  stream_.async_read_some(
      buffer_.prepare(kIdleReadBytes),
      [self = shared_from_this()](beast::error_code error, size_t size) {
        self->phase_ = phase::kReading;
        self->buffer_.commit(size);
        if (error) {
          self->End();
        } else if (self->refuse_) {
          self->RefuseConnection();
        } else {
          self->SpawnRequest();
        }
      });
}

void http_connection::SpawnRequest() {
  phase_ = phase::kReading;
  // Posted, because a spawned coroutine runs at once, and each of a row of
  // pipelined requests would run on top of the one before.
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    asio::spawn(
        self->stream_.get_executor(), std::allocator_arg, coroutine_stack(),
        [self](const yield& yield) {
          if (self->ServeRequest(yield)) {
            self->AwaitRequest();
          } else if (self->lingers_) {
            self->Linger();
          } else {
            self->End();
          }
        },
        asio::detached);
  });
}

bool http_connection::ServeRequest(const yield& yield) {
  parser request;
  request.header_limit(options_.max_header_bytes);
  max_body_bytes_ = hooks_->max_body_bytes ? hooks_->max_body_bytes()
                                           : options_.max_body_bytes;
  request.body_limit(max_body_bytes_);
  if (!ReadRequest(request, yield)) {
    return false;
  }
  const bool asked_to_stay = request.get().keep_alive();
  auto reply = Handle(ToRequest(request.get()), yield);
  const bool keep_alive = asked_to_stay && !finishing_;
  return reply.status != 0 && Write(std::move(reply), keep_alive, yield) &&
         keep_alive;
}

bool http_connection::Charge(phase now, size_t body_bytes) {
  phase_ = now;
  if (!account_) {
    return true;
  }
  const size_t bytes =
      now == phase::kIdle || now == phase::kLingering
          ? kConnectionBytes
          : kConnectionBytes + kRequestBytes + buffer_.capacity() + body_bytes;
  // A connection that lingers ends soon, and its client may not have read the
  // refusal.
  return account_->Set(bytes,
                       now == phase::kHandling || now == phase::kLingering);
}

void http_connection::Report(limit_kind kind) {
  if (hooks_->admit) {
    hooks_->admit->Report(kind, address_);
  }
}

void http_connection::Evict() {
  if (phase_ == phase::kReading) {
    limit_ = limit_kind::kMemory;
    stream_.cancel();
  } else if (phase_ == phase::kHandling) {
    finishing_ = true;  // closed after the answer
  } else {
    Close();
  }
}

bool http_connection::ReadRequest(parser& into, const yield& yield) {
  limit_.reset();
  needs_more_ = false;
  size_t spare = options_.max_chunk_extension_bytes;
  // The callback is kept by reference, and must outlive the reading.
  auto on_chunk = [this, &spare](uint64_t size, std::string_view extensions,
                                 beast::error_code& error) {
    (void)size;
    if (extensions.size() > spare) {
      limit_ = limit_kind::kChunkHeader;
      error = http::error::bad_chunk_extension;
    } else {
      spare -= extensions.size();
    }
  };
  into.on_chunk_header(on_chunk);
  // Beast closes a stream that exceeds its own timeout, so a timer that only
  // cancels the read is used where the peer is still to be answered.
  stream_.expires_never();
  progress_ = std::chrono::steady_clock::now();
  request_end_ = progress_ + options_.request_timeout;
  WatchRequest(++reading_);
  beast::error_code error;
  if (Charge(phase::kReading, 0)) {
    ReadHeader(into, error, yield);
  } else {
    limit_ = limit_kind::kMemory;
  }
  into.eager(true);
  while (!error && !limit_ && !into.is_done()) {
    ReadSome(into, error, yield);
  }
  ++reading_;
  timer_.cancel();
  if (error || limit_) {
    RefuseAfter(into, error, yield);
    return false;
  }
  return true;
}

void http_connection::ReadHeader(parser& into,
                                 beast::error_code& error,
                                 const yield& yield) {
  while (!error && !limit_ && !into.is_header_done()) {
    ReadSome(into, error, yield);
  }
  if (error || limit_) {
    return;
  }
  const auto& fields = into.get();
  if (static_cast<size_t>(std::distance(fields.begin(), fields.end())) >
      options_.max_header_fields) {
    limit_ = limit_kind::kFieldCount;
  } else if (http::token_list(fields[http::field::expect])
                 .exists("100-continue")) {
    http::response<http::empty_body> go_on(http::status::continue_, 11);
    http::async_write(stream_, go_on, yield[error]);
  }
}

void http_connection::ReadSome(parser& into,
                               beast::error_code& error,
                               const yield& yield) {
  if (buffer_.size() == 0 || needs_more_) {
    ReceiveSome(error, yield);
    if (error == asio::error::eof) {
      error = {};
      if (into.got_some()) {
        into.put_eof(error);
      } else {
        error = http::error::end_of_stream;
      }
      return;
    }
  }
  if (error || limit_) {
    return;
  }
  buffer_.consume(into.put(buffer_.data(), error));
  needs_more_ = error == http::error::need_more;
  if (needs_more_) {
    error = {};
  }
  const auto& body = into.get().body();
  if (!Charge(phase::kReading, body.capacity())) {
    limit_ = limit_kind::kMemory;
  }
}

void http_connection::ReceiveSome(beast::error_code& error,
                                  const yield& yield) {
  const size_t size = beast::read_size(buffer_, kReadChunkBytes);
  if (size == 0) {
    error = http::error::buffer_overflow;
    return;
  }
  buffer_.commit(stream_.async_read_some(buffer_.prepare(size), yield[error]));
  progress_ = std::chrono::steady_clock::now();
}

void http_connection::WatchRequest(uint64_t id) {
  timer_.expires_at(std::min(progress_ + options_.receive_stall, request_end_));
  timer_.async_wait([self = shared_from_this(), id](beast::error_code error) {
    if (error || self->reading_ != id) {
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now < self->request_end_ &&
        now < self->progress_ + self->options_.receive_stall) {
      self->WatchRequest(id);
      return;
    }
    self->limit_ = limit_kind::kReceiveTime;
    self->stream_.cancel();
  });
}

void http_connection::RefuseAfter(parser& request,
                                  beast::error_code error,
                                  const yield& yield) {
  if (!limit_ && error == http::error::header_limit) {
    limit_ = limit_kind::kHeaderSize;
  } else if (!limit_ && error == http::error::body_limit) {
    limit_ = limit_kind::kBodySize;
  } else if (!limit_ && error == http::error::buffer_overflow) {
    limit_ = request.is_header_done() ? limit_kind::kChunkHeader
                                      : limit_kind::kHeaderSize;
  }
  // The client is still answered, so its request must not be kept meanwhile. An
  // assignment would keep the capacity.
  std::string().swap(request.get().body());
  buffer_.clear();
  buffer_.shrink_to_fit();
  const bool by_parser =
      error.category() == make_error_code(http::error::bad_method).category();
  if (limit_) {
    if (*limit_ != limit_kind::kMemory) {
      Report(*limit_);
    }
    if (!finishing_ || *limit_ != limit_kind::kReceiveTime) {
      Refuse(RefusalFor(*limit_), yield);
    }
  } else if (by_parser && error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    Refuse(Malformed(error), yield);
  }
}

void http_connection::Refuse(const http_reply& with, const yield& yield) {
  lingers_ = Write(with, false, yield);
}

void http_connection::RefuseConnection() {
  if (*refuse_ != limit_kind::kMemory) {
    Report(*refuse_);
  }
  const auto text =
      std::make_shared<const std::string>(ToText(RefusalFor(*refuse_)));
  asio::async_write(
      stream_, asio::buffer(*text),
      [self = shared_from_this(), text](beast::error_code error, size_t) {
        self->was_refused_ = true;
        error ? self->End() : self->Linger();
      });
}

http_reply http_connection::Handle(const http_request& request,
                                   const yield& yield) {
  // While the handler runs, the connection has no timeout of its own.
  stream_.expires_never();
  (void)Charge(phase::kHandling, request.body.size());
  try {
    return (*handler_)(request, yield);
  } catch (const std::exception& error) {
    return MakeRefusal(500, verdict::kMayHaveRun, "internal_error",
                       error.what());
  }
}

bool http_connection::Write(http_reply reply,
                            bool keep_alive,
                            const yield& yield) {
  // Its handler has run, so an answer without room for it is sent all the same;
  // it can be cut off later, like any that is not read.
  (void)Charge(phase::kWriting, reply.body.size());
  auto out = ToResponse(std::move(reply), keep_alive);
  beast::error_code error;
  stream_.expires_after(options_.write_timeout);
  http::async_write(stream_, out, yield[error]);
  if (error == beast::error::timeout) {
    Report(limit_kind::kSendTime);
  }
  return !error;
}

void http_connection::Linger() {
  beast::error_code ignored;
  stream_.socket().shutdown(asio::socket_base::shutdown_send, ignored);
  buffer_.clear();
  buffer_.shrink_to_fit();
  stream_.expires_after(kLingerTime);
  (void)Charge(phase::kLingering, 0);
  DiscardNext(0);
}

void http_connection::DiscardNext(size_t discarded) {
  stream_.async_read_some(buffer_.prepare(kIdleReadBytes),
                          [self = shared_from_this(), discarded](
                              beast::error_code error, size_t size) {
                            if (error || discarded + size >= kLingerBytes) {
                              self->End();
                            } else {
                              self->DiscardNext(discarded + size);
                            }
                          });
}

void http_connection::Finish() {
  finishing_ = true;
  asio::dispatch(stream_.get_executor(), [self = shared_from_this()] {
    if (self->phase_ == phase::kIdle) {
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
  timer_.cancel();
  account_.reset();
  if (const auto ended = std::exchange(ended_, nullptr)) {
    ended();
  }
}

}  // namespace chiveglade::net
