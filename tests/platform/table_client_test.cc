#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "chiveglade/net/http_server.h"
#include "platform/table_client.h"

namespace chiveglade::platform {

namespace {

constexpr millis kWait{200};

// A store that answers a watch without changes this long after its wait.
struct watch_world {
  watch_world() {
    server = *net::http_server::Make(
        loop, "127.0.0.1", 0, {},
        [this](const net::http_request&, const net::yield& yield) {
          net::asio::steady_timer timer(loop, kWait + delay);
          boost::system::error_code ignored;  // The timer is not cancelled.
          timer.async_wait(yield[ignored]);
          return net::http_reply{200, {}, R"({"rows":[],"ver":7,"now_ms":1})"};
        });
    store::http_store_options options;
    options.endpoints = {{"127.0.0.1", server->port()}};
    options.call_timeout = millis(600);
    options.slow_call_timeout = millis(1'500);
    table = *MakeTableClient(loop, loop.get_executor(), options);
  }

  // Returns how long the watch took, and whether it was answered.
  std::pair<millis, bool> Watch() {
    std::optional<bool> answered;
    const auto began = std::chrono::steady_clock::now();
    table.watch("operator/", 7, kWait,
                [&](const result<store::row_changes>& changes) {
                  answered = changes.has_value();
                });
    while (!answered) {
      loop.run_one();
    }
    return {std::chrono::duration_cast<millis>(
                std::chrono::steady_clock::now() - began),
            *answered};
  }

  net::asio::io_context loop;
  millis delay{0};
  std::shared_ptr<net::http_server> server;
  store::table_service table;
};

}  // namespace

// Regression: CONFIG on tetoszin-prod-grown. A lost answer cost each watch 2.2
// s whatever its wait.
TEST_CASE("a watch whose answer is lost is given up soon after its wait") {
  watch_world world;
  world.delay = millis(60'000);
  const auto [took, answered] = world.Watch();
  CHECK_FALSE(answered);
  CHECK(took >= kWait);
  CHECK(took < millis(1'200));
}

TEST_CASE("watches of a slow store are given more time") {
  watch_world world;
  world.delay = millis(500);
  CHECK_FALSE(world.Watch().second);
  CHECK(world.Watch().second);
  CHECK(world.Watch().second);
}

}  // namespace chiveglade::platform
