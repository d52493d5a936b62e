#include <catch2/catch.hpp>

#include <atomic>
#include <boost/asio/steady_timer.hpp>

#include "chiveglade/net/h2_client.h"
#include "chiveglade/net/h2_server.h"
#include "tests/net/h2_frames.h"
#include "tests/net/net_fixture.h"

namespace chiveglade::net {

namespace {

const header_list kGet = {{":method", "GET"},
                          {":scheme", "http"},
                          {":path", "/"},
                          {":authority", "a"}};

std::shared_ptr<h2_server> ServeOk(loop_runner& on, h2_options options = {}) {
  auto server = h2_server::Make(
      on.loop(), "127.0.0.1", 0, options,
      [](const h2_stream_ptr& stream, const yield& yield) {
        (void)stream->WriteHeaders({{":status", "200"}}, true, yield);
      });
  REQUIRE(server);
  return *server;
}

void CheckServes(loop_runner& on, uint16_t port) {
  on.Run([&](const yield& yield) {
    const auto client =
        h2_client::Make(on.loop(), "127.0.0.1", port, millis(1'000), {});
    CHECK(Exchange(*client, kGet, "", 9, millis(5'000), yield));
  });
}

}  // namespace

// Guards against a malformed connection that stays open, is obeyed, or takes
// the server down with it.
TEST_CASE("a malformed connection is closed and the server goes on") {
  loop_runner runner;
  const auto server = ServeOk(runner);
  const std::vector<std::string> starts = {
      "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
      std::string(kPreface) + "not a frame at all, nor settings",
      ClientStart() + Frame(kDataFrame, 0, 0, "data on stream 0"),
      ClientStart() + Frame(kDataFrame, 0, 1, "data on an idle stream"),
      ClientStart() + Frame(kHeadersFrame, kEndHeaders, 1, "\x80"),
      ClientStart() + RequestFrame(2, "GET"),
      ClientStart() + Frame(kSettingsFrame, kAck, 0, "not empty"),
      ClientStart() + std::string("\xff\xff\xff\0\0\0\0\0\1", 9),
  };
  for (const auto& start : starts) {
    raw_peer peer(server->port());
    peer.Send(start);
    peer.ReadAll();  // returns when the server closes the connection
    CheckServes(runner, server->port());
  }
}

// Guards against peers that stop reading and hold memory or streams for ever.
TEST_CASE("a peer that stops answering is disconnected") {
  loop_runner runner;
  h2_options options;
  options.idle_timeout = millis(400);
  const auto server = ServeOk(runner, options);
  raw_peer silent(server->port());
  silent.Send(ClientStart());
  CHECK(silent.ReadAll().find(Frame(6, 0, 0, std::string(8, '\0'))) !=
        std::string::npos);  // a PING was sent before
  raw_peer flooding(server->port());
  flooding.Send(ClientStart());
  const auto ping = Frame(6, 0, 0, "12345678");
  std::string pings;
  for (int i = 0; i < 10'000; ++i) {
    pings += ping;
  }
  boost::system::error_code error;
  while (!error) {  // ends when the server gives the connection up
    asio::write(flooding.socket(), asio::buffer(pings), error);
  }
  CheckServes(runner, server->port());
}

// Guards against a request above the last stream of a GOAWAY that is reported
// as possibly executed, and against one below it that is reported as not run.
TEST_CASE("the last stream of a GOAWAY decides the verdict") {
  loop_runner runner;
  asio::io_context blocking;
  asio::ip::tcp::acceptor acceptor(blocking,
                                   {asio::ip::address_v4::loopback(), 0});
  const auto client =
      h2_client::Make(runner.loop(), "127.0.0.1",
                      acceptor.local_endpoint().port(), millis(1'000), {});
  auto asked = runner.Start([&](const yield& yield) {
    const auto first = *client->Open(kGet, true, yield);
    const auto second = *client->Open(kGet, true, yield);
    CHECK(second->ReadHeaders(yield).last_reason().code == "stream_refused");
    CHECK(second->delivery() == verdict::kNotRun);
    CHECK(first->ReadHeaders(yield).last_reason().code == "connection_lost");
    CHECK(first->delivery() == verdict::kMayHaveRun);
  });
  auto socket = acceptor.accept();
  std::string received;
  while (received.find(std::string("\x05\0\0\0\x03", 5)) == std::string::npos) {
    char buffer[1'000];
    received.append(buffer, socket.read_some(asio::buffer(buffer)));
  }
  asio::write(socket, asio::buffer(Frame(kSettingsFrame, 0, 0, "") +
                                   Frame(kGoawayFrame, 0, 0,
                                         Number32(1) + Number32(0))));
  socket.shutdown(asio::socket_base::shutdown_send);
  asked.get();
}

// Guards against more streams or handlers at once than the limit allows, also
// when a peer resets its streams at once to get around it.
TEST_CASE("streams above the limit are refused") {
  loop_runner runner;
  h2_options options;
  options.max_streams = 4;
  std::atomic<int> running = 0;
  std::atomic<int> most = 0;
  std::promise<void> release;
  const auto released = release.get_future().share();
  auto server = h2_server::Make(
      runner.loop(), "127.0.0.1", 0, options,
      [&](const h2_stream_ptr& stream, const yield& yield) {
        most = std::max<int>(most, ++running);
        char byte = 0;
        asio::steady_timer poll(yield.get_executor());
        boost::system::error_code ignored;
        while (released.wait_for(millis(0)) != std::future_status::ready) {
          poll.expires_after(millis(1));
          poll.async_wait(yield[ignored]);
        }
        (void)stream->Read(&byte, 1, yield);
        --running;
      });
  REQUIRE(server);
  raw_peer peer((*server)->port());
  std::string flood = ClientStart();
  for (uint32_t stream = 1; stream < 200; stream += 2) {
    flood += RequestFrame(stream, "GET");
    flood += Frame(kResetFrame, 0, stream, Number32(8));
  }
  peer.Send(flood + RequestFrame(201, "GET"));
  std::string received;
  const auto refusal = Frame(kResetFrame, 0, 201, Number32(7));
  while (received.find(refusal) == std::string::npos) {
    char buffer[1'000];
    received.append(buffer, peer.socket().read_some(asio::buffer(buffer)));
  }
  CHECK(most <= 8);
  release.set_value();
}

}  // namespace chiveglade::net
