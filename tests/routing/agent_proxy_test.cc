#include "chiveglade/routing/agent_proxy.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "chiveglade/routing/load_header.h"
#include "tests/routing/routing_fixture.h"

namespace chiveglade::routing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;

struct proxy_response {
  int status = 0;
  std::string verdict;
  std::string code;
  std::string body;
  net::header_list head;
  bool whole = false;  // ended without a reset
};

// An agent_proxy in front of a worker that the test scripts.
struct proxy_fixture {
  net::asio::io_context loop;
  config::manifest manifest = ExampleManifest();
  tcp::acceptor acceptor{loop, {asio::ip::make_address("127.0.0.1"), 0}};
  proxy_options options;
  std::shared_ptr<agent_proxy> proxy;
  std::shared_ptr<testing::memory_client> entry;
  uint32_t replicas = 1;
  bool in_service = true;
  std::vector<proxy_record> records;
  int accepted = 0;
  int running = 0;  // requests in the worker
  int max_running = 0;
  bool respond_before_body = false;  // the worker reads only the header
  // Writes the response to one request; false closes the connection.
  std::function<bool(const request&, tcp::socket&, net::yield)> worker =
      [](const request& got, tcp::socket& socket, const net::yield& yield) {
        return WriteResponse(socket, "", std::string(got.target()) + got.body(),
                             yield);
      };

  static bool WriteResponse(tcp::socket& socket,
                            const std::string& fields,
                            const std::string& body,
                            const net::yield& yield) {
    boost::system::error_code error;
    asio::async_write(
        socket,
        asio::buffer("HTTP/1.1 200 OK\r\n" + fields + "content-length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body),
        yield[error]);
    return !error;
  }

  void Run(const std::function<void(net::yield)>& body) {
    options.worker = {"127.0.0.1", acceptor.local_endpoint().port()};
    proxy = *agent_proxy::Make(
        loop, options,
        {[this] { return std::make_shared<const config::manifest>(manifest); },
         [this](const std::string& service) {
           return service == "s" ? replicas : 0;
         },
         [this] { return in_service; },
         [this](const proxy_record& each) { records.push_back(each); },
         boot_clock::now});
    entry = std::make_shared<testing::memory_client>(loop, proxy->Handler());
    asio::spawn(
        loop, [this](const net::yield& yield) { Accept(yield); },
        asio::detached);
    bool ended = false;
    asio::spawn(
        loop,
        [&](const net::yield& yield) {
          body(yield);
          ended = true;
          boost::system::error_code ignored;
          acceptor.close(ignored);
          entry.reset();
          proxy.reset();
          loop.stop();
        },
        asio::detached);
    loop.run_for(std::chrono::seconds(30));
    CHECK(ended);
  }

  void Accept(const net::yield& yield) {
    for (;;) {
      tcp::socket socket(loop);
      boost::system::error_code error;
      acceptor.async_accept(socket, yield[error]);
      if (error) {
        return;
      }
      ++accepted;
      asio::spawn(
          loop,
          [this, kept = std::make_shared<tcp::socket>(std::move(socket))](
              const net::yield& inner) { Serve(*kept, inner); },
          asio::detached);
    }
  }

  void Serve(tcp::socket& socket, const net::yield& yield) {
    boost::beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      boost::system::error_code error;
      if (respond_before_body) {
        http::async_read_header(socket, buffer, parser, yield[error]);
      } else {
        http::async_read(socket, buffer, parser, yield[error]);
      }
      if (error) {
        return;
      }
      max_running = std::max(max_running, ++running);
      const bool keep_open = worker(parser.get(), socket, yield);
      --running;
      if (!keep_open) {
        return;
      }
    }
  }

  net::h2_stream_ptr Open(const std::string& path,
                          bool end,
                          const net::yield& yield,
                          const std::string& deadline = "10000",
                          const std::string& klass = "normal") {
    return *entry->Open({{":method", "POST"},
                         {":path", path},
                         {":authority", "h"},
                         {"chiveglade-class", klass},
                         {"chiveglade-service", "s"},
                         {"chiveglade-request-id", "id"},
                         {"chiveglade-deadline-ms", deadline}},
                        end, yield);
  }
  static proxy_response Read(net::h2_stream& stream, const net::yield& yield) {
    proxy_response out;
    const auto head = stream.ReadHeaders(yield);
    if (!head) {
      return out;
    }
    out.head = *head;
    out.status = std::stoi(std::string(net::FindHeader(*head, ":status")));
    out.verdict = net::FindHeader(*head, "chiveglade-verdict");
    out.code = net::FindHeader(*head, "chiveglade-reason");
    char part[4'096];
    for (;;) {
      const auto got = stream.Read(part, sizeof(part), yield);
      out.whole = got && *got == 0;
      if (!got || *got == 0) {
        return out;
      }
      out.body.append(part, *got);
    }
  }
  proxy_response SendRequest(const std::string& path,
                             const std::string& body,
                             const net::yield& yield,
                             const std::string& deadline = "10000",
                             const std::string& klass = "normal") {
    const auto stream = Open(path, body.empty(), yield, deadline, klass);
    if (!body.empty()) {
      (void)stream->Write(body, true, yield);
    }
    return Read(*stream, yield);
  }
  void CheckRefused(const proxy_response& got,
                    const std::string& verdict,
                    const std::string& code) {
    CHECK(got.verdict == verdict);
    CHECK(got.code == code);
  }
};

}  // namespace

// Guards against altered responses, load that is not reported, a new connection
// for each request, and verdict headers of workers that are passed on.
TEST_CASE_METHOD(proxy_fixture, "requests and responses are forwarded") {
  std::string seen_service;
  const auto echo = worker;
  worker = [&](const request& got, tcp::socket& socket,
               const net::yield& yield) {
    seen_service = std::string(got["chiveglade-service"]);
    return echo(got, socket, yield);
  };
  Run([&](const net::yield& yield) {
    CHECK(proxy->Load() == std::vector<state::target_load>{{"s", 8}});
    const auto got = SendRequest("/a?b", "body", yield);
    CHECK(got.status == 200);
    CHECK(got.body == "/a?bbody");
    CHECK(got.whole);
    CHECK(seen_service == "s");
    CHECK(net::FindHeader(got.head, "content-length") == "8");
    CHECK(net::FindHeader(got.head, "chiveglade-request-id") == "id");
    const auto load =
        ReadLoadHeader(net::FindHeader(got.head, "chiveglade-load"));
    REQUIRE(load);
    CHECK(load->slots == 8);
    CHECK(SendRequest("/b", "", yield).body == "/b");
    CHECK(accepted == 1);
    worker = [](const request&, tcp::socket& socket, const net::yield& inner) {
      return WriteResponse(socket, "chiveglade-verdict: not_run\r\n", "x",
                           inner);
    };
    CHECK(SendRequest("/c", "", yield).verdict.empty());
    worker = [](const request&, tcp::socket& socket, const net::yield& inner) {
      return WriteResponse(socket, "", "x", inner) && false;
    };
    SendRequest("/closed-after", "", yield);
    worker = echo;
    CHECK(SendRequest("/d", "", yield).body == "/d");
  });
  CHECK(records.back().execution == verdict::kRan);
  CHECK_FALSE(ReadLoadHeader("in_use=1"));
  CHECK_FALSE(ReadLoadHeader("in_use=1, queued=2, slots=3, latency_us=4x"));
}

// Guards against refused requests that reach the worker, callers that reach its
// control interface, and slots that stay taken after the entry has given up.
TEST_CASE_METHOD(proxy_fixture,
                 "refused requests are not_run and not sent to the worker") {
  manifest.request_classes[0].queue_limit = 0;
  manifest.services[0].slots = 1;
  Run([&](const net::yield& yield) {
    CheckRefused(SendRequest("/tasks/start", "x", yield), "not_run",
                 "bad_target");
    CheckRefused(SendRequest("/a", "", yield, "0"), "not_run", "deadline");
    CheckRefused(SendRequest("/a", "", yield, "9", "none"), "not_run",
                 "unknown_class");
    in_service = false;
    CheckRefused(SendRequest("/a", "", yield), "not_run", "out_of_service");
    in_service = true;
    replicas = 0;
    CheckRefused(SendRequest("/a", "", yield), "not_run", "no_replica");
    CHECK(proxy->Load().empty());
    replicas = 1;
    // Holds the only slot until its body arrives.
    const auto holder = Open("/a", false, yield);
    net::asio::post(loop, yield);
    CheckRefused(SendRequest("/a", "", yield), "not_run", "queue_full");
    holder->Reset(net::h2_error::kCancel);
    net::asio::post(loop, yield);
    CHECK(accepted == 0);
    CHECK(SendRequest("/a", "", yield).status == 200);
    acceptor.close();
    worker = nullptr;
  });
}

// Guards against the verdict not_run after a byte was sent to the worker, and
// against may_have_run when none was.
TEST_CASE_METHOD(proxy_fixture,
                 "failures of the worker have the right verdict") {
  Run([&](const net::yield& yield) {
    worker = [](const request&, tcp::socket&, const net::yield&) {
      return false;
    };
    CheckRefused(SendRequest("/a", "b", yield), "may_have_run", "worker_lost");
    worker = [](const request&, tcp::socket& socket, const net::yield& inner) {
      return WriteResponse(socket, "content-length: 9\r\n", "x", inner) &&
             false;
    };
    CheckRefused(SendRequest("/a", "b", yield), "may_have_run", "worker_lost");
    worker = [](const request&, tcp::socket& socket, const net::yield& inner) {
      const std::string part = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nx";
      asio::async_write(socket, asio::buffer(part), inner);
      return false;
    };
    const auto cut = SendRequest("/a", "b", yield);
    CHECK(cut.status == 200);
    CHECK_FALSE(cut.whole);
    worker = [](const request&, tcp::socket& socket, const net::yield& inner) {
      char byte = 0;
      boost::system::error_code error;
      asio::async_read(socket, asio::buffer(&byte, 1), inner[error]);
      return false;  // sends nothing until the agent gives up
    };
    CheckRefused(SendRequest("/a", "b", yield, "30"), "may_have_run",
                 "deadline_passed");
    acceptor.close();
    CheckRefused(SendRequest("/a", "b", yield), "not_run",
                 "worker_unreachable");
  });
}

// Guards against more requests and connections at the worker than the replica
// has slots, and against slots that are not given back.
TEST_CASE_METHOD(proxy_fixture,
                 "the worker gets no more requests than it has slots") {
  manifest.services[0].slots = 3;
  worker = [this](const request& got, tcp::socket& socket,
                  const net::yield& yield) {
    for (int i = 0; i < 10; ++i) {
      net::asio::post(loop, yield);
    }
    return WriteResponse(socket, "", std::string(got.target()), yield);
  };
  Run([&](const net::yield& yield) {
    constexpr int kRequests = 30;
    int done = 0;
    for (int i = 0; i < kRequests; ++i) {
      asio::spawn(
          loop,
          [&, i](const net::yield& inner) {
            const auto path = "/n" + std::to_string(i);
            CHECK(SendRequest(path, "", inner).body == path);
            ++done;
          },
          asio::detached);
    }
    while (done < kRequests) {
      net::asio::post(loop, yield);
    }
    CHECK(max_running == 3);
    CHECK(accepted <= 3);
    CHECK(proxy->Load().at(0).in_use == 0);
  });
}

// Guards against truncated bodies.
TEST_CASE_METHOD(proxy_fixture, "long bodies are streamed in both directions") {
  const std::string large(2'000'000, 'q');
  Run([&](const net::yield& yield) {
    const auto got = SendRequest("/a", large, yield);
    CHECK(got.body == "/a" + large);
    CHECK(got.whole);
  });
}

// Guards against an upload that never ends after an early response or refusal.
TEST_CASE_METHOD(proxy_fixture,
                 "a response may begin before the request body has ended") {
  respond_before_body = true;
  Run([&](const net::yield& yield) {
    for (const bool responds : {true, false}) {
      worker = [&](const request&, tcp::socket& socket,
                   const net::yield& inner) {
        return responds && WriteResponse(socket, "", "early", inner) && false;
      };
      const auto stream = Open("/a", false, yield);
      (void)stream->Write(std::string(30'000, 'q'), false, yield);
      const auto early = Read(*stream, yield);
      CHECK(early.body == (responds ? "early" : ""));
      CHECK(early.code == (responds ? "" : "worker_lost"));
      const size_t before = records.size();
      stream->Reset(net::h2_error::kCancel);
      while (records.size() == before) {
        net::asio::post(loop, yield);
      }
    }
  });
}

// Guards against slow readers that hold a slot while the worker is idle.
TEST_CASE_METHOD(proxy_fixture,
                 "a slow reader loses its slot to the next request") {
  manifest.services[0].slots = 1;
  options.slow_reader_timeout = millis(5);
  options.stall_timeout = millis(200);
  worker = [](const request& got, tcp::socket& socket,
              const net::yield& yield) {
    return WriteResponse(
        socket, "", std::string(got.target() == "/large" ? 20'000'000 : 1, 'x'),
        yield);
  };
  Run([&](const net::yield& yield) {
    const auto slow = Open("/large", true, yield);
    REQUIRE(slow->ReadHeaders(yield));
    CHECK(SendRequest("/small", "", yield).body == "x");
    CHECK(records.size() == 1);
    while (records.size() < 2) {
      net::asio::post(loop, yield);
    }
    CHECK(records.back().code == "entry_lost");
  });
}

// Guards against a planned stop that interrupts a request (invariant 9) or
// accepts a new one (invariant 8).
TEST_CASE_METHOD(proxy_fixture,
                 "draining finishes accepted requests and refuses new ones") {
  manifest.services[0].slots = 1;
  bool may_respond = false;
  worker = [&](const request&, tcp::socket& socket, const net::yield& yield) {
    while (!may_respond) {
      net::asio::post(loop, yield);
    }
    return WriteResponse(socket, "", "late", yield);
  };
  Run([&](const net::yield& yield) {
    const auto first = Open("/a", true, yield);
    const auto queued = Open("/b", true, yield);
    while (running == 0) {
      net::asio::post(loop, yield);
    }
    bool drained = false;
    proxy->Drain([&] { drained = true; });
    CheckRefused(SendRequest("/c", "", yield), "not_run", "leaving");
    CHECK_FALSE(drained);
    may_respond = true;
    CHECK(Read(*first, yield).body == "late");
    CHECK(Read(*queued, yield).body == "late");
    while (!drained) {
      net::asio::post(loop, yield);
    }
  });
}

}  // namespace chiveglade::routing
