#include <chrono>
#include <csignal>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "src/app/lifecycle.h"

namespace chiveglade::app {

TEST_CASE("a slow step of the stop does not prolong a delay after it") {
  constexpr millis kStepTime{1'500};
  constexpr millis kDelay{2'000};
  net::asio::io_context loop;
  lifecycle cycle(loop, millis(30'000));
  net::asio::steady_timer step_timer(loop);
  cycle.AddStopStep("release", [&](const std::function<void()>& done) {
    step_timer.expires_after(kStepTime);
    step_timer.async_wait([done](const boost::system::error_code&) { done(); });
  });
  cycle.AddStopDelay("balancer", kDelay);
  const auto began = std::chrono::steady_clock::now();
  net::asio::post(loop, [] { std::raise(SIGTERM); });
  CHECK(cycle.Run(1));
  const auto took = std::chrono::steady_clock::now() - began;
  CHECK(took >= kDelay);
  CHECK(took < kStepTime + kDelay);
}

}  // namespace chiveglade::app
