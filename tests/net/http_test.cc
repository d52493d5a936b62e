#include <catch2/catch.hpp>

#include <atomic>

#include "chiveglade/net/http_client.h"
#include "chiveglade/net/http_server.h"
#include "tests/net/net_fixture.h"

namespace chiveglade::net {

namespace {

http_reply Echo(const http_request& request, const yield&) {
  return {200,
          {{"x-method", request.method}, {"x-target", request.target}},
          request.body};
}

std::shared_ptr<http_server> Serve(loop_runner& on,
                                   http_server_options options,
                                   http_handler handler = Echo) {
  auto server =
      http_server::Make(on.loop(), "127.0.0.1", 0, options, std::move(handler));
  REQUIRE(server);
  return *server;
}

std::shared_ptr<http_client> Connect(loop_runner& on, uint16_t port) {
  return http_client::Make(on.loop(), "127.0.0.1", port, {});
}

}  // namespace

// Guards against bodies that are cut or mixed up on a kept connection.
TEST_CASE("HTTP/1.1 bodies arrive whole over one kept connection") {
  loop_runner runner;
  const auto server = Serve(runner, {});
  const auto client = Connect(runner, server->port());
  runner.Run([&](const yield& yield) {
    for (const size_t size : {0, 1, 70'000, 3'000'000}) {
      const std::string body(size, static_cast<char>('a' + size % 26));
      const auto outcome =
          client->Send({"POST", "/x?y=1", {{"a", "b"}}, body}, yield);
      REQUIRE(outcome.reply);
      CHECK(outcome.delivery == verdict::kRan);
      CHECK(outcome.reply->body == body);
      CHECK(FindHeader(outcome.reply->headers, "x-target") == "/x?y=1");
    }
  });
}

// Guards against a server that a malformed or oversized request can confuse,
// exhaust or silence.
TEST_CASE("requests outside the limits get a JSON refusal") {
  loop_runner runner;
  http_server_options options;
  options.max_header_bytes = 1'000;
  options.max_body_bytes = 2'000;
  const auto server = Serve(runner, options);
  options.request_timeout = millis(50);
  const auto hasty = Serve(runner, options);
  const auto answer_to = [&](const std::string& request, uint16_t port) {
    raw_peer peer(port);
    peer.Send(request);
    return peer.ReadAll();
  };
  const auto refused = [](const std::string& answer, const std::string& status,
                          const std::string& code) {
    CAPTURE(answer);
    CHECK(answer.rfind("HTTP/1.1 " + status, 0) == 0);
    CHECK(answer.find("\"verdict\":\"not_run\"") != std::string::npos);
    CHECK(answer.find("\"reason\":\"" + code + "\"") != std::string::npos);
  };
  refused(
      answer_to("GET / HTTP/1.1\r\nx: " + std::string(5'000, 'x') + "\r\n\r\n",
                server->port()),
      "431", "header_too_large");
  refused(answer_to("POST / HTTP/1.1\r\ncontent-length: 2001\r\n\r\n",
                    server->port()),
          "413", "body_too_large");
  refused(answer_to("nonsense\r\n\r\n", server->port()), "400", "bad_request");
  refused(answer_to("POST / HTTP/1.1\r\ncontent-length: 1x\r\n\r\n",
                    server->port()),
          "400", "bad_request");
  refused(answer_to("POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
                    hasty->port()),
          "408", "request_timeout");
}

// Guards against pipelined requests that are lost, or that take a stack each.
TEST_CASE("pipelined requests are all answered") {
  loop_runner runner;
  std::atomic<int> answered = 0;
  const auto server =
      Serve(runner, {}, [&](const http_request&, const yield&) -> http_reply {
        ++answered;
        return {};
      });
  raw_peer peer(server->port());
  std::string requests;
  for (int i = 0; i < 5'000; ++i) {
    requests += "GET / HTTP/1.1\r\n\r\n";
  }
  auto answers = std::async(std::launch::async, [&] { return peer.ReadAll(); });
  peer.Send(requests + "GET / HTTP/1.1\r\nconnection: close\r\n\r\n");
  CHECK(answers.get().size() > 5'000UL * 15);
  CHECK(answered == 5'001);
}

// Guards against a limit on connections that is not enforced.
TEST_CASE("connections above the limit are refused") {
  loop_runner runner;
  http_server_options options;
  options.max_connections = 1;
  const auto server = Serve(runner, options);
  raw_peer first(server->port());
  first.Send("GET / HTTP/1.1\r\n\r\n");
  std::string answer(15, ' ');
  asio::read(first.socket(), asio::buffer(answer));
  CHECK(answer == "HTTP/1.1 200 OK");
  raw_peer second(server->port());
  second.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK(second.ReadAll().rfind("HTTP/1.1 503", 0) == 0);
}

// Guards against idle and slow peers that use up the connections for ever.
TEST_CASE("an idle connection is closed") {
  loop_runner runner;
  http_server_options options;
  options.idle_timeout = millis(50);
  const auto server = Serve(runner, options);
  raw_peer peer(server->port());
  CHECK(peer.ReadAll().empty());  // returns when the server closes
}

// Guards against a stop that cuts off a request in flight.
TEST_CASE("draining answers the request in progress and then reports") {
  loop_runner runner;
  std::promise<void> entered;
  std::promise<void> drained;
  std::shared_ptr<http_server> server;
  server =
      Serve(runner, {}, [&](const http_request&, const yield&) -> http_reply {
        server->Drain([&] { drained.set_value(); });
        entered.set_value();
        return {200, {}, "late"};
      });
  const auto client = Connect(runner, server->port());
  runner.Run([&](const yield& yield) {
    const auto outcome = client->Send({}, yield);
    REQUIRE(outcome.reply);
    CHECK(outcome.reply->body == "late");
  });
  entered.get_future().get();
  drained.get_future().get();
  runner.Run([&](const yield& yield) {
    CHECK(client->Send({}, yield).delivery == verdict::kNotRun);
  });
}

// Guards against a refusal that says not_run although the request may have
// been executed, and against the opposite.
TEST_CASE("the client tells requests that may have run from unsent ones") {
  loop_runner runner;
  std::shared_ptr<http_server> server;
  server =
      Serve(runner, {}, [&](const http_request&, const yield&) -> http_reply {
        server->Stop();
        return {};
      });
  const auto client = Connect(runner, server->port());
  runner.Run([&](const yield& yield) {
    const auto lost = client->Send({}, yield);
    CHECK(lost.delivery == verdict::kMayHaveRun);
    CHECK_FALSE(lost.reply);
    const auto refused = client->Send({}, yield);
    CHECK(refused.delivery == verdict::kNotRun);
    CHECK(refused.reply.last_reason().code == "connect_failed");
    const auto injected =
        client->Send({"GET", "/", {{"a", "b\r\nc: d"}}, ""}, yield);
    CHECK(injected.reply.last_reason().code == "bad_request");
  });
}

// Guards against a stop that closes connections while the port still accepts
// new ones: a client that connects again is cut off, and a request that never
// ran has to be taken for one that may have run.
TEST_CASE("a stopped HTTP server refuses connections before it closes any") {
  for (int round = 0; round < 100; ++round) {
    loop_runner runner(4);
    const auto server = Serve(runner, {});
    raw_peer peer(server->port());
    const connection_flood flood(server->port());
    peer.Send("GET / HTTP/1.1\r\n\r\n");
    std::string answer(15, ' ');
    asio::read(peer.socket(), asio::buffer(answer));
    server->Stop();
    (void)peer.ReadAll();
    REQUIRE_FALSE(AcceptsConnections(server->port()));
  }
}

// Guards against the same fault in a drain, which closes idle connections.
TEST_CASE("a draining HTTP server refuses connections before it closes any") {
  for (int round = 0; round < 100; ++round) {
    loop_runner runner(4);
    const auto server = Serve(runner, {});
    raw_peer peer(server->port());
    const connection_flood flood(server->port());
    std::atomic<bool> refused = false;
    std::promise<void> drained;
    server->Drain([&] {
      refused = !AcceptsConnections(server->port());
      drained.set_value();
    });
    CHECK(peer.ReadAll().empty());
    REQUIRE_FALSE(AcceptsConnections(server->port()));
    drained.get_future().get();
    REQUIRE(refused);
  }
}

// Guards against a client that waits for ever for a stuck server.
TEST_CASE("an answer that does not come in time may have run") {
  loop_runner runner;
  asio::ip::tcp::acceptor silent(runner.loop(),
                                 {asio::ip::address_v4::loopback(), 0});
  const auto client = Connect(runner, silent.local_endpoint().port());
  runner.Run([&](const yield& yield) {
    const auto outcome = client->Send({}, {millis(200), millis(200)}, yield);
    CHECK(outcome.delivery == verdict::kMayHaveRun);
    CHECK(outcome.reply.last_reason().code == "answer_timeout");
  });
}

}  // namespace chiveglade::net
