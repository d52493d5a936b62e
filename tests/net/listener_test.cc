#include "src/net/listener.h"

#include <catch2/catch.hpp>

#include <atomic>

#include "tests/net/net_fixture.h"

namespace chiveglade::net {

namespace {

std::shared_ptr<listener> Listen(loop_runner& on) {
  auto out = listener::Make(on.loop(), "127.0.0.1", 0);
  REQUIRE(out);
  return *out;
}

}  // namespace

// Guards against a close that waits for its turn on a busy strand while the
// port still accepts.
TEST_CASE("the port of a closed listener refuses at once") {
  loop_runner runner;
  const auto listening = Listen(runner);
  std::promise<void> entered;
  std::promise<void> release;
  listening->Start([&](const asio::ip::tcp::socket&) {
    entered.set_value();
    release.get_future().wait();
  });
  const raw_peer peer(listening->port());
  entered.get_future().get();
  listening->Close();
  CHECK_FALSE(AcceptsConnections(listening->port()));
  listening->Close();
  release.set_value();
}

// Guards against connections that are reset although a drain could take them.
TEST_CASE("a drained listener passes on the connections of its backlog") {
  loop_runner runner;
  const auto listening = Listen(runner);
  std::promise<void> entered;
  std::promise<void> release;
  std::atomic<int> accepted = 0;
  listening->Start([&](const asio::ip::tcp::socket&) {
    if (++accepted == 1) {
      entered.set_value();
      release.get_future().wait();
    }
  });
  const raw_peer first(listening->port());
  entered.get_future().get();
  const raw_peer second(listening->port());
  const raw_peer third(listening->port());

  std::promise<int> at_end;
  listening->Drain([&] { at_end.set_value(accepted); });
  release.set_value();
  CHECK(at_end.get_future().get() == 3);
  CHECK_FALSE(AcceptsConnections(listening->port()));
}

// Guards against a server that is kept alive by a listener of a destroyed loop.
TEST_CASE("a listener releases its handler with the event loop") {
  const auto held = std::make_shared<int>();
  std::shared_ptr<listener> listening;
  {
    loop_runner runner;
    listening = Listen(runner);
    listening->Start([held](const asio::ip::tcp::socket&) {});
    CHECK(AcceptsConnections(listening->port()));
    runner.Stop();
    listening->Drain([held] {});
    listening.reset();
  }
  CHECK(held.use_count() == 1);
}

// Guards against a port in use that is taken for a listener that works.
TEST_CASE("a listener that cannot be opened says why") {
  loop_runner runner;
  const auto taken = Listen(runner);
  CHECK(listener::Make(runner.loop(), "127.0.0.1", taken->port())
            .last_reason()
            .code == "listen_failed");
  CHECK(listener::Make(runner.loop(), "localhost", 0).last_reason().code ==
        "bad_address");
}

}  // namespace chiveglade::net
