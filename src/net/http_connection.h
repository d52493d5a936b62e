// One accepted HTTP/1.1 connection.
#ifndef CHIVEGLADE_SRC_NET_HTTP_CONNECTION_H_
#define CHIVEGLADE_SRC_NET_HTTP_CONNECTION_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "chiveglade/net/http_server.h"

namespace chiveglade::net {

// Serves requests until the peer closes, a limit is exceeded, or Finish or
// Abort is called. Keeps itself alive until then. A coroutine exists only while
// a request is read, handled and answered, not while the connection is idle.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  // `ended` is called once, on the strand of the socket. `address` is that of
  // the client, for reports.
  http_connection(asio::ip::tcp::socket socket,
                  http_server_options options,
                  std::shared_ptr<const http_handler> handler,
                  std::shared_ptr<const http_server_hooks> hooks,
                  std::string address,
                  std::function<void()> ended);

  // Opens the account of the connection; the reason if it has to be refused.
  // Call before Start, if at all.
  std::optional<limit_kind> Admit(uint32_t port, const port_limits& limits);

  // Starts serving. With `refuse`, the first request is refused and the
  // connection closed. Call once, from any thread.
  void Start(std::optional<limit_kind> refuse);

  // Closes the connection after the answer in progress, or now if it is idle.
  // Thread-safe.
  void Finish();

  // Closes the connection now. Thread-safe.
  void Abort();

  // True once a refusal of the connection has been sent. Thread-safe.
  bool was_refused() const { return was_refused_; }

 private:
  enum class phase { kIdle, kReading, kHandling, kWriting, kLingering };

  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Waits for the first byte of a request.
  void AwaitRequest();
  void SpawnRequest();
  // Reads, handles and answers one request; false if the connection is to be
  // closed.
  bool ServeRequest(const yield& yield);
  // False: a refusal has been sent if there was something to refuse.
  bool ReadRequest(parser& into, const yield& yield);
  void ReadHeader(parser& into,
                  boost::beast::error_code& error,
                  const yield& yield);
  // Parses what has been received, after receiving more if there is nothing to
  // parse. http::async_read_some would go on receiving, and growing the body,
  // without a look at the limits while the header of a chunk is incomplete.
  void ReadSome(parser& into,
                boost::beast::error_code& error,
                const yield& yield);
  void ReceiveSome(boost::beast::error_code& error, const yield& yield);
  // Cancels reading when the request has made no progress, or has not ended,
  // in time.
  void WatchRequest(uint64_t id);
  void RefuseAfter(parser& request,
                   boost::beast::error_code error,
                   const yield& yield);
  // Sends a refusal; the connection then lingers.
  void Refuse(const http_reply& with, const yield& yield);
  // The same for a connection that is refused whatever it sends, without a
  // coroutine.
  void RefuseConnection();
  http_reply Handle(const http_request& request, const yield& yield);
  bool Write(http_reply reply, bool keep_alive, const yield& yield);
  // Charges the connection with `body_bytes` and what it holds besides.
  bool Charge(phase now, size_t body_bytes);
  void Report(limit_kind kind);
  // Makes room for other connections. On the strand.
  void Evict();
  // Closes the sending side and reads what the peer still sends, for a short
  // time, then ends. Closing with unread bytes would reset the connection, and
  // the peer could lose the refusal that it has not read yet.
  void Linger();
  void DiscardNext(size_t discarded);
  void Close();
  void End();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  const http_server_options options_;
  const std::shared_ptr<const http_handler> handler_;
  const std::shared_ptr<const http_server_hooks> hooks_;
  const std::string address_;
  std::optional<limit_kind> refuse_;
  std::function<void()> ended_;
  // Used on the strand only. `reading_` changes when a request begins and ends,
  // so that a late timer does not cancel anything else.
  phase phase_ = phase::kIdle;
  uint64_t reading_ = 0;
  uint64_t max_body_bytes_ = 0;      // of the request being read
  std::optional<limit_kind> limit_;  // reached by the request being read
  bool needs_more_ = false;          // what was received cannot be parsed yet
  bool lingers_ = false;             // a refusal was sent
  std::chrono::steady_clock::time_point progress_;
  std::chrono::steady_clock::time_point request_end_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<admission::account> account_;  // null: refused, or no limits
  std::atomic<bool> finishing_ = false;
  std::atomic<bool> was_refused_ = false;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_HTTP_CONNECTION_H_
