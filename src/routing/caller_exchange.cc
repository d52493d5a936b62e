#include "caller_exchange.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <utility>

#include "http_fields.h"

namespace chiveglade::routing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;
using boost::system::error_code;

std::string_view View(beast::string_view in) {
  return {in.data(), in.size()};
}

std::string HexSize(size_t size) {
  std::array<char, 16> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), size, 16).ptr;
  return {text.data(), end};
}

}  // namespace

caller_exchange::caller_exchange(beast::tcp_stream& stream,
                                 beast::flat_buffer& buffer,
                                 const front_options& options,
                                 const std::atomic<bool>& draining)
    : stream_(stream), buffer_(buffer), options_(options), draining_(draining) {
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(options_.max_header_bytes));
  parser_->body_limit(options_.max_body_bytes);
}

caller_exchange::read_status caller_exchange::ReadHeader(
    const net::yield& yield) {
  error_code error;
  stream_.expires_after(draining_ ? options_.drain_idle_timeout
                                  : options_.idle_timeout);
  http::async_read_header(stream_, buffer_, *parser_, yield[error]);
  if (!error) {
    close_after_response_ = !parser_->keep_alive();
    return read_status::kRequest;
  }
  if (error == http::error::header_limit) {
    return read_status::kHeaderTooLarge;
  }
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message ||
      error.category() !=
          http::make_error_code(http::error::end_of_stream).category()) {
    return read_status::kClosed;
  }
  // The parser checks a declared length against the limit with the header.
  body_too_large_ = error == http::error::body_limit;
  return body_too_large_ ? read_status::kRequest : read_status::kMalformed;
}

std::string_view caller_exchange::method() const {
  return View(parser_->get().method_string());
}

std::string_view caller_exchange::target() const {
  return View(parser_->get().target());
}

std::string_view caller_exchange::Field(std::string_view name) const {
  return View(parser_->get()[beast::string_view(name.data(), name.size())]);
}

std::optional<uint64_t> caller_exchange::content_length() const {
  const auto length = parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

bool caller_exchange::has_unsupported_encoding() const {
  const auto& fields = parser_->get();
  const auto count = fields.count(http::field::transfer_encoding);
  return count > 1 ||
         (count == 1 &&
          !beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

bool caller_exchange::SendContinue(const net::yield& yield) {
  if (continue_sent_ ||
      !beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    return true;
  }
  continue_sent_ = true;
  error_code error;
  stream_.expires_after(options_.stall_timeout);
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(stream_, asio::buffer(kContinue), yield[error]);
  return !error;
}

std::shared_ptr<caller_exchange::read_timeout>
caller_exchange::StartReadTimeout() {
  auto out = std::make_shared<read_timeout>(stream_);
  out->timer.expires_after(options_.stall_timeout);
  out->timer.async_wait([out, &stream = stream_](error_code error) {
    // ReadBody marks the timeout as passed before the stream can be destroyed.
    if (!error && !out->passed) {
      out->passed = true;
      stream.cancel();
    }
  });
  return out;
}

result<size_t> caller_exchange::ReadBody(char* into,
                                         size_t size,
                                         const net::yield& yield) {
  const reason gone{"caller_gone", "the connection to the caller was lost"};
  if (!parser_->is_done() && !SendContinue(yield)) {
    return gone;
  }
  auto& body = parser_->get().body();
  body.data = into;
  body.size = size;
  while (body.size == size && !parser_->is_done()) {
    error_code error;
    stream_.expires_never();
    const auto timeout = StartReadTimeout();
    http::async_read_some(stream_, buffer_, *parser_, yield[error]);
    const bool timed_out = std::exchange(timeout->passed, true);
    timeout->timer.cancel();
    if (!error || error == http::error::need_buffer) {
      continue;
    }
    close_after_response_ = true;
    if (error == http::error::body_limit) {
      return reason{"body_too_large", "the body exceeds the size limit"};
    }
    if (timed_out) {
      return reason{"body_timeout", "the body did not arrive in time"};
    }
    if (error != http::error::partial_message &&
        error.category() ==
            http::make_error_code(http::error::bad_chunk).category()) {
      return reason{"bad_body", "the body is malformed"};
    }
    return gone;
  }
  return size - body.size;
}

void caller_exchange::CancelRead() {
  close_after_response_ = true;
  stream_.cancel();
}

void caller_exchange::StartResponse(int status,
                                    const net::header_list& fields,
                                    std::optional<uint64_t> length) {
  const bool has_body = HasResponseBody(method(), status);
  const bool http_1_1 = parser_->get().version() >= 11;
  chunked_ = has_body && !length && http_1_1;
  // The unread rest of the request could be parsed as the next request.
  close_after_response_ =
      close_after_response_ || !parser_->is_done() || !http_1_1 || draining_;
  const auto reason_phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  unsent_header_ = "HTTP/1.1 " + std::to_string(status) + " " +
                   std::string(reason_phrase) + "\r\n";
  AppendFields(fields, unsent_header_);
  if (chunked_) {
    unsent_header_ += "transfer-encoding: chunked\r\n";
  } else if (length && status != 204) {
    unsent_header_ += "content-length: " + std::to_string(*length) + "\r\n";
  }
  unsent_header_ +=
      close_after_response_ ? "connection: close\r\n\r\n" : "\r\n";
}

bool caller_exchange::Send(std::string_view prefix,
                           std::string_view bytes,
                           std::string_view suffix,
                           const net::yield& yield) {
  const std::string head = std::exchange(unsent_header_, {});
  response_started_ = true;
  const std::array<asio::const_buffer, 4> parts = {
      asio::buffer(head), asio::buffer(prefix), asio::buffer(bytes),
      asio::buffer(suffix)};
  error_code error;
  stream_.expires_after(options_.stall_timeout);
  asio::async_write(stream_, parts, yield[error]);
  close_after_response_ = close_after_response_ || error;
  return !error;
}

bool caller_exchange::WriteBody(std::string_view bytes,
                                const net::yield& yield) {
  if (!chunked_) {
    return Send({}, bytes, {}, yield);
  }
  return bytes.empty() ||
         Send(HexSize(bytes.size()) + "\r\n", bytes, "\r\n", yield);
}

bool caller_exchange::EndResponse(const net::yield& yield) {
  const std::string_view last = chunked_ ? "0\r\n\r\n" : "";
  response_ended_ =
      (unsent_header_.empty() && last.empty()) || Send({}, last, {}, yield);
  return response_ended_;
}

bool caller_exchange::WriteResponse(int status,
                                    const net::header_list& fields,
                                    std::string_view body,
                                    const net::yield& yield) {
  StartResponse(status, fields, body.size());
  const bool with_body = HasResponseBody(method(), status);
  response_ended_ = WriteBody(with_body ? body : std::string_view(), yield);
  return response_ended_;
}

void caller_exchange::Abort() {
  close_after_response_ = true;
  error_code ignored;
  // A linger time of 0 sends a reset instead of a FIN, which an HTTP/1.0 caller
  // would interpret as the end of the body.
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream_.close();
}

bool caller_exchange::CanServeNextRequest() const {
  return !close_after_response_ && response_ended_ && parser_->is_done();
}

}  // namespace chiveglade::routing
