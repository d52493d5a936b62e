#include <optional>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>

#include "src/app/peer_call.h"
#include "src/app/request_relay.h"

namespace chiveglade::app {

namespace {

// A relay whose peer is played by hand: it answers with `status`, or not at
// all.
struct relay_world {
  void Probe(int times = 1) {
    net::asio::spawn(
        control,
        [this, times](const net::yield& yield) {
          for (int i = 0; i < times; ++i) {
            relay.Probe(yield);
          }
        },
        net::asio::detached);
    loop.restart();
    loop.run();
  }

  net::asio::io_context loop;
  strand control = net::asio::make_strand(loop);
  bool away = true;
  bool hears_others = true;
  std::string coordinator = "10.0.0.1:7000";
  std::optional<int> status = 200;
  std::string last_path;
  std::string last_body;
  request_relay relay{
      control,
      request_relay::hooks{
          [this] { return away; }, [this] { return coordinator; },
          [this] { return hears_others; },
          [this](const std::string&,
                 const char* path,
                 const std::string& body,
                 millis,
                 const net::yield&) -> result<net::h2_reply> {
            last_path = path;
            last_body = body;
            if (!status) {
              return reason{"answer_timeout", "no progress in time"};
            }
            return net::h2_reply{
                *status, {{":status", "200"}, {"retry-after", "1"}}, "body"};
          },
          [](const char*, const observe::log_fields&) {}}};
};

}  // namespace

TEST_CASE("requests take the way that the peer's answer leaves open") {
  relay_world world;
  SECTION("the store is in reach") {
    world.away = false;
    world.Probe();
    CHECK(world.last_path.empty());
    CHECK(world.relay.access() == store_access::kDirect);
  }
  SECTION("only this process is cut off") {
    world.Probe();
    CHECK(world.relay.access() == store_access::kThroughPeer);
  }
  SECTION("the peer does not reach it either") {
    world.status = 503;
    world.Probe();
    CHECK(world.relay.access() == store_access::kAwayForAll);
  }
  SECTION("the peer stays silent") {
    world.status.reset();
    world.Probe(2);
    CHECK(world.relay.access() == store_access::kAwayForAll);
    world.Probe();
    CHECK(world.relay.access() == store_access::kIsolated);
  }
  SECTION("this process coordinates") {
    world.coordinator.clear();
    world.Probe();
    CHECK(world.relay.access() == store_access::kAwayForAll);
    world.hears_others = false;
    world.Probe();
    CHECK(world.relay.access() == store_access::kIsolated);
  }
}

TEST_CASE("each outage is judged anew") {
  relay_world world;
  world.Probe();
  REQUIRE(world.relay.access() == store_access::kThroughPeer);
  world.away = false;
  world.Probe();
  world.away = true;
  CHECK(world.relay.access() == store_access::kAwayForAll);
}

TEST_CASE("a peer that falls silent is not relied on any longer") {
  relay_world world;
  world.Probe();
  world.status.reset();
  world.Probe();
  CHECK(world.relay.access() == store_access::kAwayForAll);
}

TEST_CASE("a forwarded request arrives whole and brings the peer's reply") {
  relay_world world;
  const net::http_request request{
      "POST", "/jobs/1", {{"host", "h"}, {"x", "y"}}, std::string("a\0b", 3)};
  std::optional<result<net::http_reply>> reply;
  net::asio::spawn(
      world.control,
      [&](const net::yield& yield) {
        reply = world.relay.Forward(request, millis(100), yield);
      },
      net::asio::detached);
  world.loop.run();
  CHECK(world.last_path == kRequestPath);
  CHECK(*DecodeRequest(world.last_body) == request);
  REQUIRE(reply);
  REQUIRE(*reply);
  CHECK((*reply)->status == 200);
  CHECK((*reply)->headers == net::header_list{{"retry-after", "1"}});
}

TEST_CASE("a damaged request is not acted on") {
  CHECK_FALSE(DecodeRequest("x"));
  const auto bytes = EncodeRequest({"GET", "/", {{"host", "h"}}, ""});
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(DecodeRequest(bytes.substr(0, length)));
  }
}

}  // namespace chiveglade::app
