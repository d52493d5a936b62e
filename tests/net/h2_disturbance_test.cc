#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "chiveglade/net/h2_client.h"
#include "chiveglade/net/h2_server.h"
#include "tests/net/net_fixture.h"

namespace chiveglade::net {

namespace {

const header_list kPost = {{":method", "POST"},
                           {":scheme", "http"},
                           {":path", "/x"},
                           {":authority", "a"}};
constexpr uint32_t kSocketBuffer = 4 * 1024;  // of the smallest VMs
constexpr millis kIdleTimeout{240};
constexpr millis kCallTimeout{60};
constexpr millis kCallInterval{5};
constexpr size_t kMaxBody = size_t{128} * 1024;
// The connect timeout, the idle timeout and one interval of its check.
constexpr millis kConnectTimeout{1'000};
constexpr millis kRecovery = kConnectTimeout + kIdleTimeout + kIdleTimeout / 8;

h2_options Options() {
  h2_options out;
  out.idle_timeout = kIdleTimeout;
  out.socket_buffer_bytes = kSocketBuffer;
  return out;
}

bool ReadWhole(h2_stream& from, const yield& yield) {
  std::array<char, 4'096> chunk;
  auto size = from.Read(chunk.data(), chunk.size(), yield);
  while (size && *size > 0) {
    size = from.Read(chunk.data(), chunk.size(), yield);
  }
  return size.has_value();
}

void Answer(const h2_stream_ptr& stream, const yield& yield) {
  if (ReadWhole(*stream, yield)) {
    (void)stream->WriteHeaders({{":status", "200"}}, true, yield);
  }
}

std::shared_ptr<h2_server> Serve(loop_runner& on, uint16_t port = 0) {
  auto made = h2_server::Make(on.loop(), "127.0.0.1", port, Options(), Answer);
  REQUIRE(made);
  return *made;
}

bool Ask(h2_client& client,
         size_t body_size,
         millis timeout,
         const yield& yield) {
  return Exchange(client, kPost, std::string(body_size, 'x'), 100, timeout,
                  yield)
      .has_value();
}

// Occupies the only thread of a loop: the kernel goes on for its sockets, as
// for a process that is stopped.
std::future<void> Freeze(loop_runner& what, millis time) {
  return asio::post(what.loop(), std::packaged_task<void()>([time] {
                      std::this_thread::sleep_for(time);
                    }));
}

// Makes calls until `disturb` has returned, and then checks that one is
// answered in time.
void CallThrough(loop_runner& on,
                 h2_client& client,
                 uint32_t seed,
                 const std::function<void()>& disturb) {
  std::atomic<bool> ended = false;
  auto caller = std::async(std::launch::async, [&] {
    std::mt19937 random(seed);
    std::vector<std::future<void>> calls;
    while (!ended) {
      const size_t size = random() % kMaxBody;
      calls.emplace_back(on.Start([&client, size](const yield& yield) {
        (void)Ask(client, size, kCallTimeout, yield);
      }));
      std::this_thread::sleep_for(kCallInterval);
    }
    for (auto& call : calls) {
      call.get();
    }
  });
  std::this_thread::sleep_for(kIdleTimeout / 2);
  disturb();
  ended = true;
  const auto until = std::chrono::steady_clock::now() + kRecovery;
  on.Run([&](const yield& yield) {
    bool answered = false;
    while (!answered && std::chrono::steady_clock::now() < until) {
      answered = Ask(client, 1, kCallTimeout, yield);
    }
    CHECK(answered);
  });
  caller.get();
}

}  // namespace

// Guards against a connection, or its flow-control windows, that stays blocked
// after one of its processes was stopped.
TEST_CASE("calls are answered again after a process was stopped") {
  const auto seed = GENERATE(range(1U, 4U));
  const millis time = kIdleTimeout * seed / 2;
  loop_runner server_runner(1);
  loop_runner client_runner(1);
  const auto server = Serve(server_runner);
  const auto client =
      h2_client::Make(client_runner.loop(), "127.0.0.1", server->port(),
                      kConnectTimeout, Options());
  std::function<void()> disturb;
  SECTION("the server") {
    disturb = [&] { Freeze(server_runner, time).get(); };
  }
  SECTION("the client") {
    disturb = [&] { Freeze(client_runner, time).get(); };
  }
  SECTION("both") {
    disturb = [&] {
      auto other = Freeze(server_runner, time);
      Freeze(client_runner, time + kIdleTimeout / 4).get();
      other.get();
    };
  }
  SECTION("the server, again and again") {
    disturb = [&] {
      for (millis passed{0}; passed < time; passed += millis(20)) {
        Freeze(server_runner, millis(17)).get();
        std::this_thread::sleep_for(millis(3));
      }
    };
  }
  CallThrough(client_runner, *client, seed, disturb);
  server_runner.Stop();
  client_runner.Stop();
}

// Guards against a client that goes on with the connection to a process that
// is gone, or that makes no new one.
TEST_CASE("calls are answered again after the server was replaced") {
  const auto seed = GENERATE(range(1U, 4U));
  loop_runner client_runner(1);
  auto server_runner = std::make_unique<loop_runner>(1);
  auto server = Serve(*server_runner);
  const uint16_t port = server->port();
  const auto client = h2_client::Make(client_runner.loop(), "127.0.0.1", port,
                                      kConnectTimeout, Options());
  const bool stops = GENERATE(false, true);
  CallThrough(client_runner, *client, seed, [&] {
    if (stops) {
      server->Stop();
    }
    server_runner->Stop();
    server.reset();
    server_runner.reset();
    std::this_thread::sleep_for(kIdleTimeout * (seed - 1) / 2);
    server_runner = std::make_unique<loop_runner>(1);
    server = Serve(*server_runner, port);
  });
  server_runner->Stop();
  client_runner.Stop();
}

// Guards against bytes of cancelled calls that are never given back to the
// window of their connection: its calls would all time out from then on.
TEST_CASE("cancelled calls take nothing from the window of a connection") {
  const auto seed = GENERATE(range(1U, 4U));
  constexpr uint32_t kWindow = 256 * 1024;
  constexpr size_t kCallers = 8;
  constexpr int kCalls = 150;  // of each; 75 windows on average
  loop_runner server_runner(1);
  loop_runner client_runner(1);
  auto options = Options();
  options.idle_timeout = millis(60'000);
  options.connection_window_bytes = kWindow;
  std::atomic<uint32_t> received = 0;
  const auto server = h2_server::Make(
      server_runner.loop(), "127.0.0.1", 0, options,
      [&](const h2_stream_ptr& stream, const yield& yield) {
        if (FindHeader(stream->request_headers(), ":path") == "/x") {
          Answer(stream, yield);
          return;
        }
        std::mt19937 random(seed * 100'003 + received++);
        std::array<char, 700> chunk;
        switch (random() % 4) {
          case 0:
            stream->Reset(h2_error::kEnhanceYourCalm);
            break;
          case 1:  // answered without its body having been read
            (void)stream->WriteHeaders({{":status", "200"}}, true, yield);
            break;
          case 2:
            for (auto left = random() % 50; left > 0; --left) {
              (void)stream->Read(chunk.data(), chunk.size(), yield);
            }
            break;
          default:
            Answer(stream, yield);
        }
      });
  REQUIRE(server);
  const auto client =
      h2_client::Make(client_runner.loop(), "127.0.0.1", (*server)->port(),
                      kConnectTimeout, options);
  std::vector<std::future<void>> callers;
  callers.reserve(kCallers);
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(client_runner.Start([&, i](const yield& yield) {
      std::mt19937 random(seed * 7'919 + static_cast<uint32_t>(i));
      auto fields = kPost;
      fields[2].second = "/random";
      for (int call = 0; call < kCalls; ++call) {
        const std::string body(random() % kMaxBody, 'x');
        (void)Exchange(*client, fields, body, 100, millis(1 + random() % 20),
                       yield);
      }
    }));
  }
  for (auto& caller : callers) {
    caller.get();
  }
  client_runner.Run([&](const yield& yield) {
    CHECK(Exchange(*client, kPost, std::string(kWindow, 'x'), 100,
                   millis(5'000), yield));
  });
  server_runner.Stop();
  client_runner.Stop();
}

}  // namespace chiveglade::net
