#include <catch2/catch.hpp>

#include "src/net/h2_session.h"
#include "tests/net/h2_frames.h"

namespace chiveglade::net {

// Guards against a request that runs although the GOAWAY, which was queued but
// not sent when it arrived, tells its sender that it has not.
TEST_CASE("a request that arrives after the GOAWAY was queued does not run") {
  int started = 0;
  h2_session server(h2_session::side::kServer, {},
                    [&](const h2_stream_state_ptr&) { ++started; });
  REQUIRE(server.Feed(ClientStart() + RequestFrame(1, "GET")));
  server.Goaway();
  REQUIRE(server.Feed(RequestFrame(3, "GET")));
  CHECK(started == 1);
  std::string sent;
  REQUIRE(server.Collect(sent, 1'000'000));
  CHECK(sent.find(Frame(kGoawayFrame, 0, 0, Number32(1) + Number32(0))) !=
        std::string::npos);
}

// Guards against a request that is reported as possibly executed although it
// was given up before any of it was sent.
TEST_CASE("a stream reset before its first call sends nothing") {
  h2_session client(h2_session::side::kClient, {}, nullptr);
  std::string sent;
  REQUIRE(client.Collect(sent, 1'000'000));
  const auto stream = *client.Open({{":method", "POST"},
                                    {":scheme", "http"},
                                    {":path", "/"},
                                    {":authority", "a"}},
                                   false);
  client.Reset(stream, 8);
  sent.clear();
  REQUIRE(client.Collect(sent, 1'000'000));
  CHECK(sent.empty());
  CHECK_FALSE(stream->handed_over);
}

}  // namespace chiveglade::net
