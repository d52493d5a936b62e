#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "chiveglade/net/h2_client.h"
#include "chiveglade/net/h2_server.h"
#include "tests/net/net_fixture.h"
#include "tests/net/silent_relay.h"

namespace chiveglade::net {

namespace {

const header_list kPost = {{":method", "POST"},
                           {":scheme", "http"},
                           {":path", "/x"},
                           {":authority", "a"}};
constexpr millis kTimeout{200};
// Far longer than a test, so that only timeouts of calls show a silence.
constexpr millis kIdleTimeout{60'000};

// Answers whole requests, the first after `first` and others after `later`.
h2_handler AnswerAfter(millis first, millis later) {
  const auto received = std::make_shared<std::atomic<int>>(0);
  return [=](const h2_stream_ptr& stream, const yield& yield) {
    const millis delay = ++*received == 1 ? first : later;
    std::array<char, 4'096> chunk;
    auto size = stream->Read(chunk.data(), chunk.size(), yield);
    while (size && *size > 0) {
      size = stream->Read(chunk.data(), chunk.size(), yield);
    }
    asio::steady_timer timer(yield.get_executor(), delay);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    (void)stream->WriteHeaders({{":status", "200"}}, true, yield);
  };
}

// A client and a server with a relay in between.
struct relayed_pair {
  explicit relayed_pair(h2_handler handler) {
    h2_options options;
    options.idle_timeout = kIdleTimeout;
    auto made = h2_server::Make(runner.loop(), "127.0.0.1", 0, options,
                                std::move(handler));
    REQUIRE(made);
    server = *made;
    relay = std::make_unique<silent_relay>(runner.loop(), server->port());
    client = h2_client::Make(runner.loop(), "127.0.0.1", relay->port(),
                             millis(1'000), options);
  }
  ~relayed_pair() { runner.Stop(); }
  relayed_pair(const relayed_pair&) = delete;
  relayed_pair& operator=(const relayed_pair&) = delete;

  bool Ask(const yield& yield, millis timeout = kTimeout) const {
    return Exchange(*client, kPost, "body", 100, timeout, yield).has_value();
  }

  loop_runner runner;
  std::shared_ptr<h2_server> server;
  std::unique_ptr<silent_relay> relay;
  std::shared_ptr<h2_client> client;
};

}  // namespace

// Guards against calls that all time out until a silent connection is closed:
// orders for a VM were lost for 2.7 s in a row.
TEST_CASE("a silent HTTP/2 connection costs one timeout") {
  const auto which =
      GENERATE(silence::kToServer, silence::kToClient, silence::kBoth);
  relayed_pair pair(AnswerAfter(millis(0), millis(0)));
  pair.runner.Run([&](const yield& yield) {
    REQUIRE(pair.Ask(yield, millis(5'000)));
    pair.relay->SilenceOpen(which);
    CHECK_FALSE(pair.Ask(yield));
    CHECK(pair.Ask(yield, millis(5'000)));
  });
  CHECK(pair.relay->accepted() == 2);
}

// Guards against a connection that goes silent while a call is in progress that
// began before: its timeout says nothing of the calls that came later.
TEST_CASE("calls in progress on a silent HTTP/2 connection end it once") {
  relayed_pair pair(AnswerAfter(millis(0), millis(0)));
  pair.runner.Run(
      [&](const yield& yield) { REQUIRE(pair.Ask(yield, millis(5'000))); });
  pair.relay->SilenceOpen(silence::kToServer);
  constexpr size_t kCalls = 20;
  std::vector<std::future<void>> calls;
  calls.reserve(kCalls);
  for (size_t i = 0; i < kCalls; ++i) {
    calls.push_back(pair.runner.Start(
        [&](const yield& yield) { CHECK_FALSE(pair.Ask(yield)); }));
  }
  for (auto& call : calls) {
    call.get();
  }
  pair.runner.Run([&](const yield& yield) {
    CHECK(pair.Ask(yield, millis(5'000)));
    CHECK(pair.Ask(yield, millis(5'000)));
  });
  CHECK(pair.relay->accepted() == 2);
}

// Guards against a handler that is slow being taken for a silent connection.
TEST_CASE("a slow answer does not end an HTTP/2 connection that is well") {
  relayed_pair pair(AnswerAfter(millis(1'000), millis(1'000)));
  pair.runner.Run([&](const yield& yield) {
    REQUIRE(pair.Ask(yield, millis(10'000)));
    for (int i = 0; i < 3; ++i) {
      CHECK_FALSE(pair.Ask(yield, millis(500)));
    }
    CHECK(pair.Ask(yield, millis(10'000)));
  });
  CHECK(pair.relay->accepted() == 1);
}

// Guards against a long call that is cut off because a short one timed out.
TEST_CASE("calls in progress go on when their connection takes no new ones") {
  relayed_pair pair(AnswerAfter(millis(1'000), millis(0)));
  auto long_call = pair.runner.Start(
      [&](const yield& yield) { CHECK(pair.Ask(yield, millis(10'000))); });
  pair.runner.Run(
      [&](const yield& yield) { REQUIRE(pair.Ask(yield, millis(5'000))); });
  pair.relay->SilenceOpen(silence::kToServer);
  pair.runner.Run([&](const yield& yield) {
    CHECK_FALSE(pair.Ask(yield));
    CHECK(pair.Ask(yield, millis(5'000)));
  });
  long_call.get();
  CHECK(pair.relay->accepted() == 2);
}

}  // namespace chiveglade::net
