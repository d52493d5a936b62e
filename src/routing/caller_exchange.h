// One request and its response on a caller's connection.
#ifndef CHIVEGLADE_SRC_ROUTING_CALLER_EXCHANGE_H_
#define CHIVEGLADE_SRC_ROUTING_CALLER_EXCHANGE_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chiveglade/net/h2_stream.h"
#include "chiveglade/routing/request_front.h"

namespace chiveglade::routing {

// Used by the coroutines of one connection, on its strand. At most one of them
// reads and at most one writes at a time.
class caller_exchange {
 public:
  // Result of reading a request header.
  enum class read_status { kRequest, kClosed, kMalformed, kHeaderTooLarge };

  caller_exchange(boost::beast::tcp_stream& stream,
                  boost::beast::flat_buffer& buffer,
                  const front_options& options,
                  const std::atomic<bool>& draining);

  read_status ReadHeader(const net::yield& yield);

  // Valid after ReadHeader returned kRequest.
  std::string_view method() const;
  std::string_view target() const;
  std::string_view Field(std::string_view name) const;
  const boost::beast::http::fields& fields() const { return parser_->get(); }
  std::optional<uint64_t> content_length() const;
  // Whether Transfer-Encoding is anything but "chunked". Proxies interpret
  // other values differently, which allows request smuggling.
  bool has_unsupported_encoding() const;
  // Whether the declared length exceeds `max_body_bytes`.
  bool body_too_large() const { return body_too_large_; }
  bool body_done() const { return parser_->is_done(); }

  // Reads at most `size` bytes of the body; returns 0 at its end. Fails with
  // "body_too_large", "body_timeout", "bad_body" or "caller_gone".
  result<size_t> ReadBody(char* into, size_t size, const net::yield& yield);

  // Cancels a pending ReadBody. The connection closes after this exchange.
  void CancelRead();

  // Prepares the response header, which is sent with the first part of the
  // body. A body without a length is sent chunked.
  void StartResponse(int status,
                     const net::header_list& fields,
                     std::optional<uint64_t> length);
  // Sends a part of the body. Returns false if the connection is lost or the
  // caller reads nothing for `stall_timeout`.
  bool WriteBody(std::string_view bytes, const net::yield& yield);
  bool EndResponse(const net::yield& yield);
  // Sends a response with a complete body.
  bool WriteResponse(int status,
                     const net::header_list& fields,
                     std::string_view body,
                     const net::yield& yield);

  // Resets the connection, so that the caller cannot mistake an incomplete
  // response for a complete one.
  void Abort();

  // Whether any byte of the response was passed to the connection.
  bool response_started() const { return response_started_; }
  // Closes the connection after this response. Call before StartResponse.
  void CloseAfterResponse() { close_after_response_ = true; }
  // Whether another request may follow on the connection.
  bool CanServeNextRequest() const;

 private:
  // Cancels a read that exceeds `stall_timeout`. The stream's own timer would
  // close the connection, and no response could be sent.
  struct read_timeout {
    explicit read_timeout(boost::beast::tcp_stream& stream)
        : timer(stream.get_executor()) {}
    boost::asio::steady_timer timer;
    bool passed = false;
  };
  std::shared_ptr<read_timeout> StartReadTimeout();

  bool SendContinue(const net::yield& yield);
  bool Send(std::string_view prefix,
            std::string_view bytes,
            std::string_view suffix,
            const net::yield& yield);

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buffer_;
  const front_options& options_;
  const std::atomic<bool>& draining_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::buffer_body>>
      parser_;
  std::string unsent_header_;
  bool body_too_large_ = false;
  bool close_after_response_ = false;
  bool chunked_ = false;
  bool continue_sent_ = false;
  bool response_started_ = false;
  bool response_ended_ = false;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_CALLER_EXCHANGE_H_
