#include "chiveglade/routing/request_front.h"

#include "tests/routing/routing_fixture.h"

namespace chiveglade::routing {

using testing::open_fault;

// Guards against altered requests and responses, and against callers that forge
// header fields of this project.
TEST_CASE_METHOD(front_fixture,
                 "a request and its response are forwarded unchanged") {
  net::header_list seen;
  auto echo = agent;
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    seen = stream->request_headers();
    echo(stream, yield);
  };
  Run([&](const net::yield& yield) {
    const auto response = Post("/a?b=c", "hello",
                               "chiveglade-class: forged\r\nx-own: 1\r\n"
                               "chiveglade-request-id: id-7\r\n",
                               yield);
    CHECK(Matches(response, "200"));
    CHECK(response.find("POST /a?b=c hello") != std::string::npos);
    CHECK(response.find("chiveglade-request-id: id-7\r\n") !=
          std::string::npos);
    CHECK(net::FindHeader(seen, "chiveglade-class") == "normal");
    CHECK(net::FindHeader(seen, "chiveglade-service") == "s");
    CHECK(net::FindHeader(seen, "chiveglade-request-id") == "id-7");
    CHECK(net::FindHeader(seen, "x-own") == "1");
    CHECK(net::FindHeader(seen, "content-length") == "5");
    CHECK(std::stoi(std::string(
              net::FindHeader(seen, "chiveglade-deadline-ms"))) > 9'000);
    CHECK(net::FindHeader(seen, "connection").empty());
  });
  CHECK(records.at(0).execution == verdict::kRan);
  CHECK(records.at(0).workspace == "t");
}

// Guards against a retry although the first try may have run (invariant 7), and
// against giving up where a retry is safe.
TEST_CASE_METHOD(front_fixture, "retries follow the verdict table") {
  int faults_left = 1;
  std::string agent_says;
  auto echo = agent;
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    if (faults_left-- <= 0) {
      echo(stream, yield);
    } else if (agent_says == "lost") {
      ReadAll(*stream, yield);
      stream->Reset(net::h2_error::kInternal);
    } else {
      RespondWith(
          *stream, "503",
          {{"chiveglade-verdict", agent_says}, {"chiveglade-reason", "why"}},
          "", yield);
    }
  };
  const auto both = [&](const net::yield& yield, const char* says,
                        bool get_again, bool post_again) {
    CAPTURE(says);
    agent_says = says;
    faults_left = 1;
    CHECK(Matches(Get("/x", yield), get_again ? "200" : "502"));
    faults_left = 1;
    const int before = opened();
    CHECK(Matches(Post("/x", "b", "", yield), post_again ? "200" : "502"));
    CHECK(opened() - before == (post_again ? 2 : 1));
  };
  Run([&](const net::yield& yield) {
    both(yield, "not_run", true, true);
    both(yield, "may_have_run", true, false);
    both(yield, "lost", true, false);
    both(yield, "not_runx", true, false);
    for (auto fault : {open_fault::kCannotConnect, open_fault::kRefuseStream}) {
      int times = 1;
      SetFaults([&] { return times-- > 0 ? fault : open_fault::kNone; });
      CHECK(Matches(Post("/x", "b", "", yield), "200"));
      SetFaults([fault] { return fault; });
      const int before = opened();
      const auto response = Post("/x", "b", "", yield);
      CHECK(Matches(response, "503", "not_run",
                    fault == open_fault::kCannotConnect ? "agent_unreachable"
                                                        : "stream_refused"));
      CHECK(response.find("retry-after: ") != std::string::npos);
      CHECK(opened() - before == 3);
      SetFaults(nullptr);
    }
  });
}

// Guards against not_run for a request whose first try may have run.
TEST_CASE_METHOD(front_fixture, "a refused retry does not undo may_have_run") {
  int calls = 0;
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    ReadAll(*stream, yield);
    if (++calls == 1) {
      stream->Reset(net::h2_error::kInternal);
    } else {
      RespondWith(*stream, "503",
                  {{"chiveglade-verdict", "not_run"},
                   {"chiveglade-reason", "queue_full"}},
                  "", yield);
    }
  };
  Run([&](const net::yield& yield) {
    CHECK(Matches(Get("/x", yield), "502", "may_have_run", "queue_full"));
  });
}

// Guards against a truncated response that looks complete, and against the
// response to another request (invariant 5).
TEST_CASE_METHOD(front_fixture,
                 "truncated or mismatched responses are not passed on") {
  int part = 0;
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    const net::header_list id = {
        {":status", "200"},
        {"chiveglade-request-id",
         part == 4 ? "other"
                   : std::string(net::FindHeader(stream->request_headers(),
                                                 "chiveglade-request-id"))}};
    auto with_length = id;
    with_length.emplace_back("content-length", "10");
    (void)stream->WriteHeaders(part == 0 ? id : with_length, false, yield);
    (void)stream->Write(part == 2 ? "0123456789x" : "01234", part != 0, yield);
  };
  Run([&](const net::yield& yield) {
    for (part = 0; part < 3; ++part) {
      CAPTURE(part);
      const auto response = Post("/x", "b", "", yield);
      CHECK((Matches(response, "502", "may_have_run", "answer_truncated") ||
             response.substr(response.size() - 5) == "RESET"));
    }
    part = 4;
    CHECK(Matches(Post("/x", "b", "", yield), "502", "may_have_run",
                  "connection_lost"));
  });
  for (const auto& each : records) {
    CHECK(each.execution == verdict::kMayHaveRun);
    CHECK(each.tries == 1);
  }
}

// Guards against responses to the wrong request when targets respond out of
// order (invariant 5).
TEST_CASE_METHOD(front_fixture, "out-of-order responses reach their callers") {
  constexpr int kCallers = 20;
  std::vector<std::pair<std::string, net::h2_stream_ptr>> waiting;
  net::asio::steady_timer all_here(loop,
                                   net::asio::steady_timer::time_point::max());
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    const auto path =
        std::string(net::FindHeader(stream->request_headers(), ":path"));
    const auto turn = std::stoi(path.substr(2));
    waiting.emplace_back(path, stream);
    // Responds in descending order of the numbers in the paths.
    while (waiting.size() < kCallers ||
           static_cast<int>(served.size()) != kCallers - 1 - turn) {
      boost::system::error_code ignored;
      all_here.cancel();
      all_here.async_wait(yield[ignored]);
    }
    served.push_back(path);
    all_here.cancel();
    RespondWith(*stream, "200", {}, "answer to " + path + ".", yield);
  };
  Run([&](const net::yield& yield) {
    int answered = 0;
    for (int i = 0; i < kCallers; ++i) {
      net::asio::spawn(
          loop,
          [&, i](const net::yield& inner) {
            const auto path = "/n" + std::to_string(i);
            CHECK(Get(path, inner).find("answer to " + path + ".") !=
                  std::string::npos);
            if (++answered == kCallers) {
              all_here.cancel();
            }
          },
          net::asio::detached);
    }
    while (answered < kCallers) {
      boost::system::error_code ignored;
      all_here.async_wait(yield[ignored]);
    }
    // Pipelined requests are answered in order.
    agent = [](const net::h2_stream_ptr& stream, const net::yield& inner) {
      RespondWith(
          *stream, "200", {},
          std::string(net::FindHeader(stream->request_headers(), ":path")),
          inner);
    };
    const auto both =
        Ask("GET /first HTTP/1.1\r\nhost: h\r\n\r\n"
            "GET /second HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
            yield);
    CHECK(both.find("/first") < both.find("/second"));
    CHECK(both.find("/second") != std::string::npos);
  });
}

// Guards against malformed input that reaches a target, in particular ambiguous
// framing (request smuggling), and against unbounded input.
TEST_CASE_METHOD(front_fixture, "malformed and oversized input is refused") {
  options.max_body_bytes = 100'000;
  options.max_claimed_body_bytes = 50'000;
  Run([&](const net::yield& yield) {
    const std::string h = " HTTP/1.1\r\nhost: h\r\nconnection: close\r\n";
    CHECK(
        Matches(Ask("nonsense\r\n\r\n", yield), "400", "not_run", "malformed"));
    CHECK(Matches(Ask("GET /a HTTP/1.1\r\nbad header\r\n\r\n", yield), "400"));
    CHECK(Matches(Get("/a/../b", yield), "400", "not_run", "bad_target"));
    CHECK(Matches(
        Ask("GET /a HTTP/1.1\r\nhost: a b\r\nconnection: close\r\n\r\n", yield),
        "400", "not_run", "bad_host"));
    CHECK(Matches(Ask("GET /a" + h + "host: i\r\n\r\n", yield), "400",
                  "not_run", "bad_host"));
    CHECK(Matches(Ask("CONNECT /a" + h + "\r\n", yield), "400", "not_run",
                  "bad_method"));
    CHECK(Matches(Get("/tasks/start", yield), "404", "not_run", "no_route"));
    CHECK(Matches(Ask("GET /" + std::string(20'000, 'a') + h + "\r\n", yield),
                  "431", "not_run", "header_too_large"));
    CHECK(Matches(
        Ask("POST /a" + h +
                "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
            yield),
        "400"));
    CHECK(Matches(Ask("POST /a" + h +
                          "transfer-encoding: gzip, chunked\r\n\r\n"
                          "0\r\n\r\n",
                      yield),
                  "501", "not_run", "bad_encoding"));
    CHECK(Matches(Ask("POST /a" + h +
                          "content-length: 3\r\n"
                          "content-length: 4\r\n\r\nabcd",
                      yield),
                  "400"));
    CHECK(Matches(Post("/a", std::string(100'001, 'a'), "", yield), "413",
                  "not_run", "body_too_large"));
    CHECK(Matches(
        Post("/a", std::string(50'001, 'a'), "idempotency-key: k\r\n", yield),
        "413", "not_run", "body_too_large"));
    CHECK(Matches(
        Ask("POST /a" + h + "transfer-encoding: chunked\r\n\r\nzz\r\n", yield),
        "400", "not_run", "bad_body"));
    CHECK(Matches(
        Post("/a", "b", "idempotency-key: " + std::string(256, 'k') + "\r\n",
             yield),
        "400", "not_run", "bad_key"));
    CHECK(opened() == 0);
    CHECK(Matches(Get("/ok", yield), "200"));
    // A chunked body exceeds the limit only after part of it was forwarded.
    const std::string chunk = "4000\r\n" + std::string(16'384, 'a') + "\r\n";
    std::string large = "POST /a" + h + "transfer-encoding: chunked\r\n\r\n";
    for (int i = 0; i < 8; ++i) {
      large += chunk;
    }
    CHECK(Matches(Ask(large + "0\r\n\r\n", yield), "413", "may_have_run",
                  "body_too_large"));
  });
}

// Guards against bodies that are truncated or buffered whole.
TEST_CASE_METHOD(front_fixture, "long bodies stream both ways") {
  const std::string body(3'000'000, 'q');
  Run([&](const net::yield& yield) {
    const auto sized = Post("/x", body, "", yield);
    CHECK(sized.find("POST /x ") != std::string::npos);
    CHECK(std::count(sized.begin(), sized.end(), 'q') >= 3'000'000);
    CHECK(sized.substr(sized.size() - 7) == "\r\n0\r\n\r\n");
    std::string chunks =
        "POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
        "expect: 100-continue\r\n"
        "transfer-encoding: chunked\r\n\r\n";
    for (int i = 0; i < 30; ++i) {
      chunks += "186a0\r\n" + body.substr(0, 100'000) + "\r\n";
    }
    const auto chunked = Ask(chunks + "0\r\n\r\n", yield);
    CHECK(chunked.rfind("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200", 0) == 0);
    CHECK(std::count(chunked.begin(), chunked.end(), 'q') >= 3'000'000);
  });
}

// Guards against a request that fails during a planned stop only because its
// body is too long to be buffered (invariant 9).
TEST_CASE_METHOD(
    front_fixture,
    "long requests are retried if refused before the body is read") {
  int refusals = 2;
  const auto echo = agent;
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    if (refusals-- <= 0) {
      echo(stream, yield);
      return;
    }
    for (int i = 0; i < 100; ++i) {
      net::asio::post(loop, yield);
    }
    RespondWith(
        *stream, "503",
        {{"chiveglade-verdict", "not_run"}, {"chiveglade-reason", "leaving"}},
        "", yield);
  };
  const std::string body(1'000'000, 'q');
  Run([&](const net::yield& yield) {
    const auto response = Post("/x", body, "", yield);
    CHECK(Matches(response, "200"));
    CHECK(std::count(response.begin(), response.end(), 'q') >= 1'000'000);
  });
  CHECK(records.at(0).tries == 3);
  // The refusal arrives after more of the body than is buffered was read.
  options.replay_bytes = 16'384;
  refusals = 1;
  loop.restart();
  Run([&](const net::yield& yield) {
    CHECK(Matches(Post("/x", body, "", yield), "503", "not_run", "leaving"));
  });
}

// Guards against a caller that stops reading or sending and so holds memory and
// a target indefinitely.
TEST_CASE_METHOD(front_fixture, "stalled callers time out") {
  options.stall_timeout = millis(50);
  bool stream_ended = false;
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    std::string large;
    large.resize(50'000'000, 'x');
    RespondWith(*stream, "200", {}, large, yield);
    stream_ended = true;
  };
  Run([&](const net::yield& yield) {
    auto socket = Connect(yield);
    net::asio::async_write(
        socket,
        net::asio::buffer(std::string("GET /x HTTP/1.1\r\nhost: h\r\n\r\n")),
        yield);
    while (records.empty()) {
      net::asio::post(loop, yield);
    }
    CHECK(records.at(0).code == "caller_gone");
    CHECK(ReadToEnd(socket, yield).size() < 50'000'000);
    CHECK(Matches(
        Ask("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab",
            yield),
        "408", "not_run", "body_timeout"));
    CHECK(front->open_requests() == 0);
  });
  CHECK(stream_ended);
}

// Guards against a non-idempotent request that runs twice, or that is reported
// as not_run although it ran (invariants 6 and 7).
TEST_CASE_METHOD(front_fixture,
                 "a request with an idempotency key runs at most once") {
  const std::string key = "idempotency-key: k\r\n";
  Run([&](const net::yield& yield) {
    const auto first = Post("/x", "b", key, yield);
    CHECK(Matches(first, "200"));
    CHECK(Post("/x", "b", key, yield).find("POST /x b") != std::string::npos);
    CHECK(served.size() == 1);
    CHECK(
        Matches(Post("/x", "c", key, yield), "422", "not_run", "key_mismatch"));
    // On an idempotent route, the key is ignored.
    CHECK(Matches(Ask("GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n" +
                          key + "\r\n",
                      yield),
                  "200"));
    SetFaults([] { return open_fault::kCannotConnect; });
    const std::string other = "idempotency-key: l\r\n";
    CHECK(Matches(Post("/x", "b", other, yield), "503", "not_run",
                  "agent_unreachable"));
    SetFaults(nullptr);
    CHECK(Matches(Post("/x", "b", other, yield), "200"));
    const auto echo = agent;
    agent = [](const net::h2_stream_ptr& stream, const net::yield&) {
      stream->Reset(net::h2_error::kInternal);
    };
    const std::string lost =
        "idempotency-key: m\r\nchiveglade-deadline-ms: 200\r\n";
    CHECK(Matches(Post("/x", "b", lost, yield), "502", "may_have_run",
                  "connection_lost"));
    agent = echo;
    const int before = opened();
    CHECK(Matches(Post("/x", "b", lost, yield), "409", "may_have_run",
                  "claimed"));
    store.SetFaults(
        [](const auto&, const auto&) { return testing::store_fault::kRefuse; });
    CHECK(Matches(Post("/x", "b", "idempotency-key: n\r\n", yield), "503",
                  "not_run", "store_unavailable"));
    CHECK(opened() == before);
    CHECK(Matches(Get("/x", yield), "200"));
  });
}

// Guards against a planned stop that interrupts a request (invariant 9).
TEST_CASE_METHOD(front_fixture, "draining completes requests in flight") {
  options.drain_idle_timeout = millis(20);
  net::asio::steady_timer go(loop, net::asio::steady_timer::time_point::max());
  agent = [&](const net::h2_stream_ptr& stream, const net::yield& yield) {
    boost::system::error_code ignored;
    served.emplace_back("arrived");
    go.async_wait(yield[ignored]);
    RespondWith(*stream, "200", {}, "late answer", yield);
  };
  Run([&](const net::yield& yield) {
    auto busy = Connect(yield);
    auto idle = Connect(yield);
    net::asio::async_write(
        busy,
        net::asio::buffer(std::string("GET /x HTTP/1.1\r\nhost: h\r\n\r\n")),
        yield);
    while (served.empty()) {
      net::asio::post(loop, yield);
    }
    bool drained = false;
    front->Drain([&] { drained = true; });
    CHECK(ReadToEnd(idle, yield).empty());
    CHECK_FALSE(drained);
    go.cancel();
    const auto response = ReadToEnd(busy, yield);
    CHECK(response.find("connection: close\r\n") != std::string::npos);
    CHECK(response.find("late answer") != std::string::npos);
    busy.close();
    while (!drained) {
      net::asio::post(loop, yield);
    }
    boost::system::error_code refused;
    tcp::socket late(loop);
    late.async_connect(
        {net::asio::ip::make_address("127.0.0.1"), front->port()},
        yield[refused]);
    CHECK(refused);
  });
}

// Guards against more open requests than configured, and against forwarding
// without a target or past the deadline.
TEST_CASE_METHOD(front_fixture, "open requests are limited") {
  options.max_open_requests = 0;
  Run([&](const net::yield& yield) {
    CHECK(Matches(Get("/x", yield), "503", "not_run", "overloaded"));
  });
  directory->SetOutOfService({"east"}, {});
  options.max_open_requests = 1;
  loop.restart();
  Run([&](const net::yield& yield) {
    CHECK(Matches(Get("/x", yield), "503", "not_run", "no_target"));
    CHECK(Matches(Ask("GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
                      "chiveglade-deadline-ms: 0\r\n\r\n",
                      yield),
                  "504", "not_run", "deadline"));
  });
}

}  // namespace chiveglade::routing
