// Resets an HTTP/2 stream when its deadline passes.
#ifndef CHIVEGLADE_SRC_ROUTING_STREAM_DEADLINE_H_
#define CHIVEGLADE_SRC_ROUTING_STREAM_DEADLINE_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "chiveglade/core/clock.h"
#include "chiveglade/net/h2_stream.h"

namespace chiveglade::routing {

// Used on the strand of one coroutine. Pending calls of the stream fail when
// the deadline passes.
class stream_deadline {
 public:
  stream_deadline(net::h2_stream_ptr stream, const net::yield& yield)
      : state_(std::make_shared<state>(std::move(stream), yield)) {}
  ~stream_deadline() {
    state_->stopped = true;
    state_->timer.cancel();
  }
  stream_deadline(const stream_deadline&) = delete;
  stream_deadline& operator=(const stream_deadline&) = delete;

  // Sets the deadline to `time_left` from now and replaces an earlier one.
  void Set(millis time_left) {
    state_->timer.expires_after(time_left);
    state_->timer.async_wait([kept = state_](boost::system::error_code error) {
      // A wait that had expired when Set replaced it is not cancelled: its
      // handler still runs without an error. The new expiry tells.
      if (error || kept->stopped ||
          kept->timer.expiry() > net::asio::steady_timer::clock_type::now()) {
        return;
      }
      kept->passed = true;
      kept->stream->Reset(net::h2_error::kCancel);
    });
  }

  bool passed() const { return state_->passed; }

 private:
  struct state {
    state(net::h2_stream_ptr watched, const net::yield& yield)
        : stream(std::move(watched)), timer(yield.get_executor()) {}
    net::h2_stream_ptr stream;
    net::asio::steady_timer timer;
    bool passed = false;
    bool stopped = false;
  };
  std::shared_ptr<state> state_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_STREAM_DEADLINE_H_
