// A request_front with in-memory targets and callers over loopback TCP.
#ifndef CHIVEGLADE_TESTS_ROUTING_ROUTING_FIXTURE_H_
#define CHIVEGLADE_TESTS_ROUTING_ROUTING_FIXTURE_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/routing/request_front.h"
#include "tests/routing/example_manifest.h"
#include "tests/routing/memory_h2.h"
#include "tests/support/memory_store.h"

namespace chiveglade::routing {

// Reads the whole body of a stream.
inline std::string ReadAll(net::h2_stream& stream, const net::yield& yield) {
  std::string out;
  char part[4'096];
  for (;;) {
    const auto got = stream.Read(part, sizeof(part), yield);
    if (!got || *got == 0) {
      return out;
    }
    out.append(part, *got);
  }
}

// Sends a response as an agent does, with the request's ID.
inline void RespondWith(net::h2_stream& stream,
                        const std::string& status,
                        net::header_list fields,
                        const std::string& body,
                        const net::yield& yield) {
  const auto& request = stream.request_headers();
  fields.insert(fields.begin(), {":status", status});
  fields.emplace_back("chiveglade-request-id",
                      net::FindHeader(request, "chiveglade-request-id"));
  (void)stream.WriteHeaders(fields, body.empty(), yield);
  if (!body.empty()) {
    (void)stream.Write(body, true, yield);
  }
}

struct front_fixture {
  using tcp = net::asio::ip::tcp;

  net::asio::io_context loop;
  testing::memory_store store;
  random_engine engine{5};
  config::manifest manifest = ExampleManifest();
  std::shared_ptr<target_directory> directory =
      *target_directory::Make({"east"}, boot_clock::now);
  front_options options;
  std::vector<request_record> records;
  std::map<std::string, std::shared_ptr<testing::memory_client>> agents;
  std::shared_ptr<request_front> front;
  std::vector<std::string> served;  // "method path", in order of execution
  // Handles requests at all agents ("10.0.0.N:1"). By default, echoes the
  // method, the path and the body.
  net::h2_handler agent = [this](const net::h2_stream_ptr& stream,
                                 const net::yield& yield) {
    const auto body = ReadAll(*stream, yield);
    const auto& fields = stream->request_headers();
    served.push_back(std::string(net::FindHeader(fields, ":method")) + " " +
                     std::string(net::FindHeader(fields, ":path")));
    RespondWith(*stream, "200", {}, served.back() + " " + body, yield);
  };

  front_fixture() {
    options.entry = "e";
    options.listen = {"127.0.0.1", 0};
    AddTargets(4);
  }

  void AddTargets(int count) {
    for (int i = 0; i < count; ++i) {
      state::heartbeat heartbeat;
      heartbeat.vm = {"vm" + std::to_string(i), 1};
      heartbeat.data_centre = "east";
      heartbeat.address = "10.0.0." + std::to_string(i) + ":1";
      heartbeat.targets = {{"s", 8, 0, 0, 0}};
      directory->OnHeartbeat(heartbeat);
      agents[heartbeat.address] = std::make_shared<testing::memory_client>(
          loop, [this](net::h2_stream_ptr stream, const net::yield& yield) {
            agent(std::move(stream), yield);
          });
    }
  }
  void SetFaults(const std::function<testing::open_fault()>& faults) {
    for (const auto& [address, client] : agents) {
      client->faults = faults;
    }
  }
  int opened() const {
    int out = 0;
    for (const auto& [address, client] : agents) {
      out += client->opened;
    }
    return out;
  }

  front_hooks Hooks() {
    front_hooks out;
    out.manifest = [shared = std::make_shared<const config::manifest>(
                        manifest)] { return shared; };
    out.directory = directory;
    out.claims = claim_table::Make(
        {"e"},
        {store.table(), boot_clock::now, [] { return int64_t{1}; },
         [this] { return engine(); },
         [this](millis wait, std::function<void()> then) {
           auto timer = std::make_shared<net::asio::steady_timer>(loop, wait);
           timer->async_wait([timer, then = std::move(then)](auto) { then(); });
         }});
    out.connect = [this](const config::endpoint& at) {
      return agents.at(config::ToString(at));
    };
    out.record = [this](const request_record& each) {
      records.push_back(each);
    };
    out.clock = boot_clock::now;
    out.random = [this] { return engine(); };
    return out;
  }

  // Starts the front, runs `body` as a coroutine, then stops the front.
  void Run(const std::function<void(net::yield)>& body) {
    auto made = request_front::Make(loop, options, Hooks());
    REQUIRE(made);
    front = *made;
    bool ended = false;
    net::asio::spawn(
        loop,
        [&](const net::yield& yield) {
          body(yield);
          ended = true;
          front->Stop();
        },
        net::asio::detached);
    // The timeout ends a test that would otherwise hang.
    loop.run_for(std::chrono::seconds(30));
    CHECK(ended);
  }

  tcp::socket Connect(const net::yield& yield) {
    tcp::socket out(loop);
    out.async_connect({net::asio::ip::make_address("127.0.0.1"), front->port()},
                      yield);
    return out;
  }
  // Sends bytes and reads until the connection closes. Appends "RESET" if the
  // connection was aborted.
  std::string Ask(const std::string& bytes, const net::yield& yield) {
    auto socket = Connect(yield);
    net::asio::async_write(socket, net::asio::buffer(bytes), yield);
    return ReadToEnd(socket, yield);
  }
  static std::string ReadToEnd(tcp::socket& socket, const net::yield& yield) {
    std::string out;
    boost::system::error_code error;
    net::asio::async_read(socket, net::asio::dynamic_buffer(out), yield[error]);
    return error == net::asio::error::eof ? out : out + "RESET";
  }
  std::string Get(const std::string& path, const net::yield& yield) {
    return Ask(
        "GET " + path + " HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
        yield);
  }
  std::string Post(const std::string& path,
                   const std::string& body,
                   const std::string& more_fields,
                   const net::yield& yield) {
    return Ask(
        "POST " + path + " HTTP/1.1\r\nhost: h\r\nconnection: close\r\n" +
            more_fields + "content-length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body,
        yield);
  }
};

// Returns whether a response has the status and, for refusals, the verdict and
// the reason code.
inline bool Matches(const std::string& response,
                    const std::string& status,
                    const std::string& verdict = "",
                    const std::string& code = "") {
  const auto has = [&](const std::string& text) {
    return response.find(text) != std::string::npos;
  };
  const bool out =
      response.rfind("HTTP/1.1 " + status, 0) == 0 &&
      (verdict.empty() ||
       (has("\"verdict\":\"" + verdict + "\"") &&
        has("chiveglade-verdict: " + verdict) &&
        has("\"reason\":\"" + code + "\"") && has("\"request_id\":")));
  if (!out) {
    UNSCOPED_INFO(response);
  }
  return out;
}

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_TESTS_ROUTING_ROUTING_FIXTURE_H_
