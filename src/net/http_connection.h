// One accepted HTTP/1.1 connection.
#ifndef CHIVEGLADE_SRC_NET_HTTP_CONNECTION_H_
#define CHIVEGLADE_SRC_NET_HTTP_CONNECTION_H_

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

#include "chiveglade/net/http_server.h"

namespace chiveglade::net {

// Serves requests until the peer closes, a limit is exceeded, or Finish or
// Abort is called. Keeps itself alive until then. A coroutine exists only while
// a request is read, handled and answered, not while the connection is idle.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  // With `refuse`, the first request is answered with 503 (too many
  // connections) and the connection closed. `ended` is called once, on the
  // strand of the socket.
  http_connection(asio::ip::tcp::socket socket,
                  http_server_options options,
                  std::shared_ptr<const http_handler> handler,
                  bool refuse,
                  std::function<void()> ended);

  // Starts serving. Call once, from any thread.
  void Start();

  // Closes the connection after the answer in progress, or now if it is idle.
  // Thread-safe.
  void Finish();

  // Closes the connection now. Thread-safe.
  void Abort();

 private:
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
  void RefuseAfter(boost::beast::error_code error, const yield& yield);
  http_reply Handle(const parser& request, const yield& yield);
  bool Write(const http_reply& reply, bool keep_alive, const yield& yield);
  // Closes the sending side and reads what the peer still sends, for a short
  // time. Closing with unread bytes would reset the connection, and the peer
  // could lose the refusal that it has not read yet.
  void Linger(const yield& yield);
  void Close();
  void End();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  const http_server_options options_;
  const std::shared_ptr<const http_handler> handler_;
  const bool refuse_;
  std::function<void()> ended_;
  // Used on the strand only. `reading_` changes when a request begins and ends,
  // so that a late timer does not cancel anything else.
  bool idle_ = true;
  uint64_t reading_ = 0;
  std::atomic<bool> finishing_ = false;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_HTTP_CONNECTION_H_
