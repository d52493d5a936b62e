#include <catch2/catch.hpp>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "chiveglade/net/h2_client.h"
#include "chiveglade/net/h2_server.h"
#include "tests/net/net_fixture.h"

namespace chiveglade::net {

namespace {

const header_list kPost = {{":method", "POST"},
                           {":scheme", "http"},
                           {":path", "/x"},
                           {":authority", "a"}};
const header_list kOk = {{":status", "200"}};

// Reads up to the end of the body; the reason if there is none.
result<std::string> ReadAll(h2_stream& from, const yield& yield) {
  std::string out;
  std::string chunk(10'000, ' ');
  for (;;) {
    const auto size = from.Read(chunk.data(), chunk.size(), yield);
    if (!size) {
      return size.last_reason();
    }
    if (*size == 0) {
      return out;
    }
    out.append(chunk, 0, *size);
  }
}

void Echo(const h2_stream_ptr& stream, const yield& yield) {
  if (!stream->WriteHeaders(kOk, false, yield)) {
    return;
  }
  std::string chunk(10'000, ' ');
  for (;;) {
    const auto size = stream->Read(chunk.data(), chunk.size(), yield);
    if (!size || !stream->Write({chunk.data(), *size}, *size == 0, yield) ||
        *size == 0) {
      return;
    }
  }
}

std::shared_ptr<h2_server> Serve(loop_runner& on,
                                 h2_handler handler,
                                 h2_options options = {},
                                 uint16_t port = 0) {
  auto server = h2_server::Make(on.loop(), "127.0.0.1", port, options,
                                std::move(handler));
  REQUIRE(server);
  return *server;
}

std::shared_ptr<h2_client> Connect(loop_runner& on,
                                   uint16_t port,
                                   h2_options options = {}) {
  return h2_client::Make(on.loop(), "127.0.0.1", port, millis(1'000), options);
}

std::string Pattern(size_t size, uint64_t seed) {
  std::string out(size, ' ');
  for (size_t i = 0; i < size; ++i) {
    out[i] = static_cast<char>((i * 2'654'435'761U + seed) >> 13);
  }
  return out;
}

}  // namespace

// Guards against bytes that are lost, reordered or taken from another stream.
TEST_CASE("concurrent streams echo large bodies whole") {
  loop_runner runner(3);
  const auto server = Serve(runner, Echo);
  const auto client = Connect(runner, server->port());
  std::vector<std::future<void>> running;
  std::atomic<int> equal = 0;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    running.push_back(runner.Start([&, seed](const yield& yield) {
      const auto body = Pattern(700'000 + seed, seed);
      const auto stream = client->Open(kPost, false, yield);
      REQUIRE(stream);
      auto sender = runner.Start([&](const net::yield& inner) {
        REQUIRE((*stream)->Write(body, true, inner));
      });
      const auto answer = ReadAll(**stream, yield);
      sender.get();
      equal += answer && *answer == body ? 1 : 0;
      CHECK((*stream)->delivery() == verdict::kRan);
    }));
  }
  for (auto& one : running) {
    one.get();
  }
  CHECK(equal == 20);
}

// Guards against memory that grows with what a fast sender sends to a slow
// reader.
TEST_CASE("a slow reader stops the sender at its window") {
  loop_runner runner;
  std::promise<void> go_on;
  const auto server =
      Serve(runner, [](const h2_stream_ptr& stream, const yield& yield) {
        const std::string chunk(1'000, 'x');
        (void)stream->WriteHeaders(kOk, false, yield);
        size_t sent = 0;
        // Ends when the client has reset the stream.
        while (stream->Write(chunk, false, yield)) {
          sent += chunk.size();
          CHECK(sent <= 64UL * 1024 + chunk.size());
        }
      });
  const auto client = Connect(runner, server->port());
  runner.Run([&](const yield& yield) {
    const auto stuck = *client->Open(kPost, true, yield);
    REQUIRE(stuck->ReadHeaders(yield));
    // Other streams of the connection go on meanwhile. Each exchange gives the
    // sender another chance to exceed the window.
    for (int i = 0; i < 200; ++i) {
      const auto other = *client->Open(kPost, true, yield);
      char byte = 0;
      REQUIRE(other->ReadHeaders(yield));
      REQUIRE(other->Read(&byte, 1, yield));
    }
  });
}

// Guards against not_run for work that ran, and may_have_run for work that
// another target could safely take.
TEST_CASE("delivery tells refused, lost and unsent requests apart") {
  loop_runner runner;
  std::shared_ptr<h2_server> server;
  server = Serve(runner, [&](const h2_stream_ptr& stream, const yield& yield) {
    const auto path = FindHeader(stream->request_headers(), ":path");
    if (path == "/refuse") {
      stream->Reset(h2_error::kRefusedStream);
    } else if (path == "/late") {
      char byte = 0;
      (void)stream->WriteHeaders(kOk, false, yield);
      (void)stream->Read(&byte, 1, yield);
      stream->Reset(h2_error::kRefusedStream);
    } else if (path == "/stop") {
      server->Stop();
    }
  });
  const auto client = Connect(runner, server->port());
  const auto with = [](const std::string& path) {
    return header_list{{":method", "GET"},
                       {":scheme", "http"},
                       {":path", path},
                       {":authority", "a"}};
  };
  runner.Run([&](const yield& yield) {
    const auto refused = *client->Open(with("/refuse"), true, yield);
    CHECK(refused->ReadHeaders(yield).last_reason().code == "stream_refused");
    CHECK(refused->delivery() == verdict::kNotRun);

    // Refused only after its answer had begun.
    const auto late = *client->Open(with("/late"), false, yield);
    REQUIRE(late->ReadHeaders(yield));
    REQUIRE(late->Write("x", false, yield));
    CHECK_FALSE(ReadAll(*late, yield));
    CHECK(late->delivery() == verdict::kMayHaveRun);

    const auto returned = *client->Open(with("/return"), true, yield);
    CHECK(returned->ReadHeaders(yield).last_reason().code == "stream_reset");
    CHECK(returned->delivery() == verdict::kMayHaveRun);

    const auto unsent = *client->Open(with("/x"), false, yield);
    unsent->Reset(h2_error::kCancel);
    CHECK_FALSE(unsent->ReadHeaders(yield));
    CHECK(unsent->delivery() == verdict::kNotRun);

    const auto lost = *client->Open(with("/stop"), true, yield);
    CHECK(lost->ReadHeaders(yield).last_reason().code == "connection_lost");
    CHECK(lost->delivery() == verdict::kMayHaveRun);

    CHECK(client->Open(with("/x"), true, yield).last_reason().code ==
          "connect_failed");
  });
}

// Guards against a stop that closes connections while the port still accepts
// new ones: a client that connects again is cut off, and a request that never
// ran has to be taken for one that may have run.
TEST_CASE("a stopped HTTP/2 server refuses connections before it closes any") {
  for (int round = 0; round < 100; ++round) {
    loop_runner runner(4);
    const auto server = Serve(runner, Echo);
    raw_peer peer(server->port());
    const connection_flood flood(server->port());
    std::string settings(9, ' ');
    asio::read(peer.socket(), asio::buffer(settings));
    server->Stop();
    (void)peer.ReadAll();
    REQUIRE_FALSE(AcceptsConnections(server->port()));
  }
}

// Guards against a departure that cuts requests in flight, or that leaves a
// client without a way to the successor.
TEST_CASE("GOAWAY lets open streams finish and the client reconnects") {
  loop_runner runner;
  std::promise<void> drained;
  std::atomic<int> started = 0;
  int asked = 0;
  int not_run = 0;
  const auto server =
      Serve(runner, [&](const h2_stream_ptr& stream, const yield& yield) {
        ++started;
        Echo(stream, yield);
      });
  const auto client = Connect(runner, server->port());
  std::shared_ptr<h2_server> successor;
  runner.Run([&](const yield& yield) {
    const auto open = *client->Open(kPost, false, yield);
    REQUIRE(open->Write("before ", false, yield));
    REQUIRE(open->ReadHeaders(yield));
    server->Drain([&] { drained.set_value(); });
    // Until the listening socket is closed, new streams are answered or not.
    for (int i = 0; i < 10'000 && !successor; ++i) {
      const auto later = client->Open(kPost, true, yield);
      if (!later) {
        successor = Serve(runner, Echo, {}, server->port());
      } else {
        (void)(*later)->ReadHeaders(yield);
        not_run += (*later)->delivery() == verdict::kNotRun ? 1 : 0;
        ++asked;
      }
    }
    REQUIRE(successor);
    CHECK(started <= 1 + asked - not_run);
    const auto reply =
        Exchange(*client, kPost, "new", 100, millis(5'000), yield);
    REQUIRE(reply);
    CHECK(reply->body == "new");
    REQUIRE(open->Write("after", true, yield));
    CHECK(*ReadAll(*open, yield) == "before after");
    CHECK(open->delivery() == verdict::kRan);
  });
  drained.get_future().get();
}

// Guards against a heartbeat that waits for ever or takes unlimited memory.
TEST_CASE("Exchange obeys its timeout and size limit") {
  loop_runner runner;
  const auto server =
      Serve(runner, [](const h2_stream_ptr& stream, const yield& yield) {
        if (FindHeader(stream->request_headers(), ":method") == "POST") {
          Echo(stream, yield);
          return;
        }
        char byte = 0;
        (void)stream->ReadHeaders(yield);
        (void)stream->Read(&byte, 1, yield);
        asio::steady_timer never(yield.get_executor(), std::chrono::hours(1));
        boost::system::error_code ignored;
        never.async_wait(yield[ignored]);
      });
  const auto client = Connect(runner, server->port());
  runner.Run([&](const yield& yield) {
    const auto reply =
        Exchange(*client, kPost, "body", 4, millis(5'000), yield);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(reply->body == "body");
    CHECK(Exchange(*client, kPost, "body", 3, millis(5'000), yield)
              .last_reason()
              .code == "answer_too_large");
    CHECK(Exchange(*client,
                   {{":method", "GET"},
                    {":scheme", "http"},
                    {":path", "/"},
                    {":authority", "a"}},
                   "", 3, millis(20), yield)
              .last_reason()
              .code == "exchange_timeout");
  });
}

// Guards against headers that exhaust memory on either side, and against a
// refusal that looks as if the request had run.
TEST_CASE("oversized headers are refused on both sides") {
  loop_runner runner;
  h2_options small;
  small.max_header_bytes = 1'000;
  const auto server = Serve(
      runner,
      [](const h2_stream_ptr& stream, const yield& yield) {
        (void)stream->WriteHeaders(
            {{":status", "200"}, {"x", std::string(2'000, 'x')}}, true, yield);
      },
      {});
  const auto strict_server = Serve(runner, Echo, small);
  const auto strict_client = Connect(runner, server->port(), small);
  const auto client = Connect(runner, strict_server->port());
  auto large = kPost;
  large.emplace_back("x", std::string(2'000, 'x'));
  runner.Run([&](const yield& yield) {
    const auto refused = Exchange(*client, large, "", 9, millis(5'000), yield);
    REQUIRE(refused);
    CHECK(refused->status == 431);
    CHECK(FindHeader(refused->headers, "chiveglade-verdict") == "not_run");
    CHECK(strict_client->Open(large, true, yield).last_reason().code ==
          "headers_too_large");
    const auto answered = *strict_client->Open(kPost, true, yield);
    CHECK(answered->ReadHeaders(yield).last_reason().code ==
          "headers_too_large");
    CHECK(answered->delivery() == verdict::kMayHaveRun);
  });
}

// Guards against coroutines or connections that outlive the event loop.
TEST_CASE("an event loop can be destroyed while streams are open") {
  std::shared_ptr<h2_client> client;
  {
    loop_runner runner;
    std::promise<void> entered;
    const auto server =
        Serve(runner, [&](const h2_stream_ptr& stream, const yield& yield) {
          char byte = 0;
          entered.set_value();
          (void)stream->Read(&byte, 1, yield);
        });
    const auto client = Connect(runner, server->port());
    auto open = runner.Start([&](const yield& yield) {
      const auto stream = client->Open(kPost, false, yield);
      (void)(*stream)->Write("x", false, yield);
      (void)(*stream)->ReadHeaders(yield);
    });
    entered.get_future().get();
    runner.Stop();
  }
  SUCCEED();
}

}  // namespace chiveglade::net
