// One HTTP/1.1 connection from a caller to the entry.
#ifndef CHIVEGLADE_SRC_ROUTING_CALLER_CONNECTION_H_
#define CHIVEGLADE_SRC_ROUTING_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

#include "front_state.h"

namespace chiveglade::routing {

// Serves requests one at a time, so that responses to pipelined requests keep
// their order. Runs on the strand of the socket.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(std::shared_ptr<front_state> front,
                    net::asio::ip::tcp::socket socket);

  // Serves until the connection ends, then calls `ended`.
  void Start(std::function<void()> ended);

  // Drain and Stop may be called from any thread. Drain closes the connection
  // if it stays idle for `drain_idle_timeout`.
  void Drain();
  void Stop();

 private:
  void Run(const net::yield& yield);
  // Returns whether another request may follow.
  bool ServeRequest(const net::yield& yield);
  // Shuts down the sending side, then discards input before it closes: a close
  // with unread input makes TCP send a reset, upon which the caller could lose
  // the response.
  void LingeringClose(const net::yield& yield);

  const std::shared_ptr<front_state> front_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  net::asio::steady_timer drain_timer_;
  bool idle_ = false;  // reading a header; no byte was buffered before
  bool stopped_ = false;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_CALLER_CONNECTION_H_
