// HTTP/2 streams in memory, with scripted faults, for tests of both ends.
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

// What happens to a stream when it is opened.
enum class open_fault { kNone, kCannotConnect, kRefuseStream };

// Both ends of one stream. One thread.
struct memory_stream_state {
  static constexpr size_t kWindow = 65'536;
  struct direction {
    std::string bytes;
    bool end = false;
  };
  explicit memory_stream_state(net::asio::io_context& loop)
      : changed(loop, net::asio::steady_timer::time_point::max()) {}

  net::header_list request;
  std::optional<net::header_list> answer;
  direction up;
  direction down;
  bool reset = false;
  verdict delivery = verdict::kMayHaveRun;
  net::asio::steady_timer changed;  // cancelled to wake up all that wait

  void Wait(const net::yield& yield) {
    boost::system::error_code ignored;
    changed.async_wait(yield[ignored]);
  }
};

class memory_stream : public net::h2_stream {
 public:
  memory_stream(std::shared_ptr<memory_stream_state> state, bool client)
      : state_(std::move(state)),
        in_(client ? state_->down : state_->up),
        out_(client ? state_->up : state_->down) {}

  const net::header_list& request_headers() const override {
    return state_->request;
  }
  result<net::header_list> ReadHeaders(net::yield yield) override {
    while (!state_->answer) {
      if (state_->reset) {
        return Broken();
      }
      state_->Wait(yield);
    }
    return *state_->answer;
  }
  result<done> WriteHeaders(const net::header_list& fields,
                            bool end,
                            net::yield) override {
    if (state_->reset) {
      return Broken();
    }
    state_->answer = fields;
    out_.end = end;
    state_->changed.cancel();
    return done{};
  }
  result<size_t> Read(char* into, size_t size, net::yield yield) override {
    while (in_.bytes.empty()) {
      if (state_->reset && !in_.end) {
        return Broken();
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
        return Broken();
      }
      const size_t room =
          memory_stream_state::kWindow -
          std::min(out_.bytes.size(), memory_stream_state::kWindow);
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
  verdict delivery() const override { return state_->delivery; }

 private:
  static reason Broken() { return {"reset", "the stream was reset"}; }

  std::shared_ptr<memory_stream_state> state_;
  memory_stream_state::direction& in_;
  memory_stream_state::direction& out_;
};

// Opens streams that `handler` serves.
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
    state->up.end = end;
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
          if (!state->down.end) {
            stream->Reset(net::h2_error::kInternal);
          }
        },
        net::asio::detached);
    return net::h2_stream_ptr(out);
  }
  void Close() override {}

  std::function<open_fault()> faults;
  int opened = 0;

 private:
  net::asio::io_context& loop_;
  net::h2_handler handler_;
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_ROUTING_MEMORY_H2_H_
