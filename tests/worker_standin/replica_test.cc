#include <catch2/catch.hpp>

#include <optional>

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>

#include "chiveglade/net/http_client.h"
#include "worker_standin.h"

namespace chiveglade::standin {

namespace {

namespace asio = net::asio;

struct fixture {
  fixture() {
    standin_options options;
    options.table.capacity = {4'000, 4'096, 0};
    options.table.boot = 5;
    worker = *worker_standin::Make(loop, options);
    client = net::http_client::Make(loop, "127.0.0.1", worker->port(), {});
    agent::worker_call start;
    start.kind = agent::worker_call_kind::kStart;
    start.boot = 5;
    start.attempt = {{"service:s", 0}, 1};
    start.order.spec.per_task = {1'000, 1'000, 0};
    start.order.spec.payload = R"({"service": "s", "slots": 1})";
    const auto now = boot_clock::now();
    start.not_after = now + millis(500);
    start.lease_until = start.grant_until = now + millis(60'000);
    REQUIRE(worker->tasks().Handle(start, now).status ==
            agent::worker_call_status::kDone);
  }

  ~fixture() {
    worker->Stop();
    client->Close();
    loop.run_for(std::chrono::milliseconds(0));
  }

  net::http_reply Send(net::http_request request) {
    std::optional<net::http_outcome> outcome;
    asio::spawn(
        loop,
        [&](const net::yield& yield) {
          outcome = client->Send(request, yield);
        },
        asio::detached);
    while (!outcome) {
      loop.run_one();
    }
    REQUIRE(outcome->reply);
    return *outcome->reply;
  }

  asio::io_context loop{1};
  std::unique_ptr<worker_standin> worker;
  std::shared_ptr<net::http_client> client;
};

net::http_request Request(const std::string& id) {
  return {"POST",
          "/shade",
          {{"chiveglade-service", "s"},
           {"chiveglade-request-id", id},
           {"idempotency-key", "k-" + id}},
          "blue"};
}

}  // namespace

// Guards against a checker that cannot tell whose answer a caller received.
TEST_CASE("a replica echoes the request and records it") {
  fixture at;
  const auto reply = at.Send(Request("r1"));
  CHECK(reply.status == 200);
  CHECK(net::FindHeader(reply.headers, "chiveglade-request-id") == "r1");
  CHECK(reply.body.find("\"body_bytes\":4") != std::string::npos);
  auto stream = Request("r2");
  stream.headers.emplace_back("chiveglade-answer-bytes", "100000");
  const auto long_reply = at.Send(stream);
  CHECK(long_reply.body.size() == 100'000);
  CHECK(long_reply.body.substr(0, 3) == "abc");
  const auto& requests = at.worker->past().requests();
  REQUIRE(requests.size() == 2);
  CHECK(requests[0].idempotency_key == "k-r1");
  CHECK(requests[1].answered);
  const auto history = at.Send({"GET", "/history?from=1", {}, ""});
  CHECK(history.body.find("\"request_id\":\"r2\"") != std::string::npos);
  CHECK(history.body.find("\"request_id\":\"r1\"") == std::string::npos);
}

// Guards against requests that run where no replica is.
TEST_CASE("a request without a replica is refused and not recorded") {
  fixture at;
  auto request = Request("r1");
  request.headers[0].second = "other";
  CHECK(at.Send(request).status == 503);
  CHECK(at.worker->past().requests().empty());
}

}  // namespace chiveglade::standin
