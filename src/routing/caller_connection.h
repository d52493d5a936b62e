// One connection of a caller to the entry.
#ifndef CHIVEGLADE_SRC_ROUTING_CALLER_CONNECTION_H_
#define CHIVEGLADE_SRC_ROUTING_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

#include "front_state.h"

namespace chiveglade::routing {

// Serves requests one after the other, so that answers keep their order also
// for callers that send requests without waiting. Runs on the strand of the
// socket.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(std::shared_ptr<front_state> front,
                    net::asio::ip::tcp::socket socket);

  // Serves until the connection ends, then calls `ended`.
  void Start(std::function<void()> ended);

  // Both may be called from any thread.
  void Drain();
  void Stop();

 private:
  void Run(const net::yield& yield);
  // Whether another request may follow.
  bool ServeRequest(const net::yield& yield);
  // Reads what the caller is still sending, so that closing does not discard
  // the answer at its side.
  void LingeringClose(const net::yield& yield);

  const std::shared_ptr<front_state> front_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  net::asio::steady_timer drain_timer_;
  bool idle_ = false;
  bool stopped_ = false;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_CALLER_CONNECTION_H_
