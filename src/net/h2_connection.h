// One HTTP/2 connection over TCP.
#ifndef CHIVEGLADE_SRC_NET_H2_CONNECTION_H_
#define CHIVEGLADE_SRC_NET_H2_CONNECTION_H_

#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "chiveglade/net/h2_server.h"
#include "src/net/h2_session.h"

namespace chiveglade::net {

// Moves bytes between a socket and an h2_session. Everything runs on the strand
// of the socket; the calls below must be made on it. Keeps itself alive until
// the connection has ended.
class h2_connection : public std::enable_shared_from_this<h2_connection> {
 public:
  // `handler` is null on the client side. `ended` is called once.
  h2_connection(asio::io_context& loop,
                asio::ip::tcp::socket socket,
                h2_session::side side,
                const h2_options& options,
                std::shared_ptr<const h2_handler> handler,
                std::function<void()> ended);

  // Server: charged for what the connection holds. Call before Start.
  void SetAccount(std::unique_ptr<admission::account> account);

  // Closes the connection for the sake of others. Requests that have not begun
  // to run do not begin any more. Thread-safe.
  void Evict();

  // Starts reading. Call once, after construction.
  void Start();

  // Sends what the session has queued, together with what is queued before the
  // event loop comes around.
  void Flush();

  // Sends GOAWAY and closes once no stream is open.
  void Finish();

  // Client: resets a stream whose answer is late, and calls Finish if the peer
  // has answered nothing since its request was sent.
  void TimeOut(const h2_stream_state_ptr& stream);

  // Fails all streams and closes now.
  void Abort(const reason& why);

  // Client: true if a new stream may be opened.
  bool usable() const;

  h2_session& session() { return session_; }
  asio::any_io_executor strand() { return socket_.get_executor(); }

 private:
  enum class phase { kOpen, kLingering, kEnded };
  using steady = std::chrono::steady_clock;

  void ReadNext(std::shared_ptr<void> life);
  void OnRead(const boost::system::error_code& error, size_t size);
  void WriteNext();
  void OnWritten(const boost::system::error_code& error);
  void OnRequest(const h2_stream_state_ptr& stream);
  // False: there is no room for what the connection holds.
  bool Charge();
  void OnHandlerEnd();
  void ScheduleCheck();
  void CheckIdle();
  void CloseIfFinished();
  // Closes the sending side and waits a short time for the peer to close too:
  // closing with unread bytes would reset the connection, and the peer could
  // lose the last frames.
  void Linger(const reason& why);
  void End();

  asio::io_context& loop_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const h2_options options_;
  const std::shared_ptr<const h2_handler> handler_;
  std::function<void()> ended_;
  h2_session session_;

  phase phase_ = phase::kOpen;
  bool finishing_ = false;
  bool broken_ = false;  // protocol error; the GOAWAY is being sent
  bool flush_scheduled_ = false;
  bool writing_ = false;
  bool ping_sent_ = false;
  reason close_reason_{"connection_lost", "the connection was closed"};
  steady::time_point last_received_;
  steady::time_point write_started_;
  // Kept until the last handler has ended, which may be after the connection.
  std::unique_ptr<admission::account> account_;
  size_t handlers_ = 0;  // running
  std::atomic<bool> evicted_ = false;
  bool overloaded_ = false;  // new requests are refused until it is closed
  std::string out_;
  std::array<char, 16UL * 1024> in_;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_H2_CONNECTION_H_
