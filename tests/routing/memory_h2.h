// In-memory HTTP/2 streams with scripted faults, for tests of clients and
// servers.
#ifndef CHIVEGLADE_TESTS_ROUTING_MEMORY_H2_H_
#define CHIVEGLADE_TESTS_ROUTING_MEMORY_H2_H_

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "chiveglade/net/h2_client.h"
#include "chiveglade/net/h2_server.h"

namespace chiveglade::testing {

// The fault that hits a stream when it is opened.
enum class open_fault { kNone, kCannotConnect, kRefuseStream };

// State that both ends of one stream share. Not thread-safe.
struct memory_stream_state {
  static constexpr size_t kWindowBytes = 65'536;
  struct direction {
    std::string bytes;  // written and not yet read
    bool end = false;   // the writer has ended its side
  };
  explicit memory_stream_state(net::asio::io_context& loop)
      : changed(loop, net::asio::steady_timer::time_point::max()) {}

  net::header_list request;
  std::optional<net::header_list> response;
  direction to_server;
  direction to_client;
  bool reset = false;
  verdict delivery = verdict::kMayHaveRun;
  // Never expires; cancelled to wake up all coroutines in Wait.
  net::asio::steady_timer changed;

  void Wait(const net::yield& yield) {
    boost::system::error_code ignored;
    changed.async_wait(yield[ignored]);
  }
};

class memory_stream : public net::h2_stream {
 public:
  memory_stream(std::shared_ptr<memory_stream_state> state, bool client)
      : state_(std::move(state)),
        in_(client ? state_->to_client : state_->to_server),
        out_(client ? state_->to_server : state_->to_client) {}

  const net::header_list& request_headers() const override {
    return state_->request;
  }
  result<net::header_list> ReadHeaders(net::yield yield) override {
    while (!state_->response) {
      if (state_->reset) {
        return ResetError();
      }
      state_->Wait(yield);
    }
    return *state_->response;
  }
  result<done> WriteHeaders(const net::header_list& fields,
                            bool end,
                            net::yield) override {
    if (state_->reset) {
      return ResetError();
    }
    state_->response = fields;
    out_.end = end;
    state_->changed.cancel();
    return done{};
  }
  result<size_t> Read(char* into, size_t size, net::yield yield) override {
    while (in_.bytes.empty()) {
      if (state_->reset && !in_.end) {
        return ResetError();
      }
      if (in_.end) {
        return size_t{0};
      }
      state_->Wait(yield);
    }
    const size_t out = in_.bytes.copy(into, size);
    in_.bytes.erase(0, out);
    state_->changed.cancel();
    return out;
  }
  result<done> Write(std::string_view bytes,
                     bool end,
                     net::yield yield) override {
    while (!bytes.empty() || end) {
      if (state_->reset) {
        return ResetError();
      }
      const size_t room =
          memory_stream_state::kWindowBytes -
          std::min(out_.bytes.size(), memory_stream_state::kWindowBytes);
      const auto part = bytes.substr(0, room);
      if (part.empty() && !bytes.empty()) {
        state_->Wait(yield);
        continue;
      }
      out_.bytes += part;
      bytes.remove_prefix(part.size());
      out_.end = end && bytes.empty();
      end = end && !out_.end;
      state_->changed.cancel();
    }
    return done{};
  }
  void Reset(net::h2_error) override {
    state_->reset = true;
    state_->changed.cancel();
  }
  void Probe() override {}
  void TimeOut() override { Reset(net::h2_error::kCancel); }
  verdict delivery() const override { return state_->delivery; }

 private:
  static reason ResetError() { return {"reset", "the stream was reset"}; }

  std::shared_ptr<memory_stream_state> state_;
  memory_stream_state::direction& in_;
  memory_stream_state::direction& out_;
};

// Opens streams and runs `handler` as the server of each.
class memory_client : public net::h2_client {
 public:
  memory_client(net::asio::io_context& loop, net::h2_handler handler)
      : loop_(loop), handler_(std::move(handler)) {}

  result<net::h2_stream_ptr> Open(const net::header_list& fields,
                                  bool end,
                                  net::yield) override {
    ++opened;
    const auto fault = faults ? faults() : open_fault::kNone;
    if (fault == open_fault::kCannotConnect) {
      return reason{"connect", "connection refused"};
    }
    auto state = std::make_shared<memory_stream_state>(loop_);
    state->request = fields;
    state->to_server.end = end;
    auto out = std::make_shared<memory_stream>(state, true);
    if (fault == open_fault::kRefuseStream) {
      state->reset = true;
      state->delivery = verdict::kNotRun;
      return net::h2_stream_ptr(out);
    }
    net::asio::spawn(
        loop_,
        [state, handler = handler_](const net::yield& yield) {
          auto stream = std::make_shared<memory_stream>(state, false);
          handler(stream, yield);
          if (!state->to_client.end) {
            stream->Reset(net::h2_error::kInternal);
          }
        },
        net::asio::detached);
    return net::h2_stream_ptr(out);
  }
  void Close() override {}

  std::function<open_fault()> faults;  // asked at each Open; may be empty
  int opened = 0;                      // calls of Open

 private:
  net::asio::io_context& loop_;
  net::h2_handler handler_;
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_ROUTING_MEMORY_H2_H_
