// Cost of HTTP/2 streams between two processes on loopback.
#include <benchmark/benchmark.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <fstream>
#include <thread>
#include <vector>

#include "chiveglade/net/h2_client.h"
#include "chiveglade/net/h2_server.h"
#include "chiveglade/net/http_client.h"
#include "chiveglade/net/http_server.h"

namespace chiveglade::net {

namespace {

const header_list kGet = {{":method", "GET"},
                          {":scheme", "http"},
                          {":path", "/x"},
                          {":authority", "a"}};

// An event loop on one thread.
struct loop_thread {
  loop_thread() : thread([this] { loop.run(); }) {}
  ~loop_thread() {
    loop.stop();
    thread.join();
  }
  asio::io_context loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{
      loop.get_executor()};
  std::thread thread;
};

void Run(loop_thread& on, std::function<void(const yield&)> body) {
  asio::spawn(asio::make_strand(on.loop), std::move(body), asio::use_future)
      .get();
}

// Bytes of memory in use by this process.
size_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& in) {
    return static_cast<double>(in.tv_sec) +
           static_cast<double>(in.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::shared_ptr<h2_server> ServeOk(loop_thread& on) {
  return *h2_server::Make(
      on.loop, "127.0.0.1", 0, {},
      [](const h2_stream_ptr& stream, const yield& yield) {
        (void)stream->WriteHeaders({{":status", "200"}}, false, yield);
        (void)stream->Write("ok", true, yield);
      });
}

// One exchange after the other: the latency that a hop adds. The client and the
// server have one thread each.
void H2ExchangeLatency(benchmark::State& state) {
  loop_thread server_loop;
  loop_thread client_loop;
  const auto server = ServeOk(server_loop);
  const auto client = h2_client::Make(client_loop.loop, "127.0.0.1",
                                      server->port(), millis(1'000), {});
  Run(client_loop, [&](const yield& yield) {
    for (auto unused : state) {
      if (!Exchange(*client, kGet, "", 100, millis(60'000), yield)) {
        state.SkipWithError("exchange failed");
      }
    }
  });
}
BENCHMARK(H2ExchangeLatency)->UseRealTime();

// The same over HTTP/1.1, for comparison.
void HttpExchangeLatency(benchmark::State& state) {
  loop_thread server_loop;
  loop_thread client_loop;
  const auto server =
      *http_server::Make(server_loop.loop, "127.0.0.1", 0, {},
                         [](const http_request&, const yield&) -> http_reply {
                           return {200, {}, "ok"};
                         });
  const auto client =
      http_client::Make(client_loop.loop, "127.0.0.1", server->port(), {});
  Run(client_loop, [&](const yield& yield) {
    for (auto unused : state) {
      if (!client->Send({}, yield).reply) {
        state.SkipWithError("exchange failed");
      }
    }
  });
}
BENCHMARK(HttpExchangeLatency)->UseRealTime();

// Streams that one connection carries a second, with `range` at once. Reports
// the processor time of both ends together for each stream.
void H2StreamsPerSecond(benchmark::State& state) {
  loop_thread server_loop;
  loop_thread client_loop;
  const auto server = ServeOk(server_loop);
  const auto client = h2_client::Make(client_loop.loop, "127.0.0.1",
                                      server->port(), millis(1'000), {});
  constexpr int kEach = 20;
  const double before = CpuSeconds();
  for (auto unused : state) {
    std::vector<std::future<void>> running;
    for (int64_t i = 0; i < state.range(0); ++i) {
      running.push_back(asio::spawn(
          asio::make_strand(client_loop.loop),
          [&](const yield& yield) {
            for (int j = 0; j < kEach; ++j) {
              char bytes[16];
              const auto stream = *client->Open(kGet, true, yield);
              (void)stream->ReadHeaders(yield);
              while (stream->Read(bytes, sizeof(bytes), yield).optional() >
                     size_t{0}) {
              }
            }
          },
          asio::use_future));
    }
    for (auto& one : running) {
      one.get();
    }
  }
  const double streams = static_cast<double>(state.iterations()) *
                         static_cast<double>(state.range(0)) * kEach;
  state.SetItemsProcessed(static_cast<int64_t>(streams));
  state.counters["cpu_us_per_stream"] = (CpuSeconds() - before) * 1e6 / streams;
}
BENCHMARK(H2StreamsPerSecond)->Arg(1)->Arg(32)->Arg(256)->UseRealTime();

// Resident memory of both ends together for each stream that is open and waits
// for its answer, with the coroutine on each side.
void H2MemoryPerStream(benchmark::State& state) {
  constexpr int kStreams = 1'000;
  double bytes = 0;
  for (auto unused : state) {
    loop_thread server_loop;
    loop_thread client_loop;
    std::atomic<int> open = 0;
    const auto server =
        *h2_server::Make(server_loop.loop, "127.0.0.1", 0, {},
                         [&](const h2_stream_ptr& stream, const yield& yield) {
                           char byte = 0;
                           ++open;
                           (void)stream->Read(&byte, 1, yield);
                         });
    const auto client = h2_client::Make(client_loop.loop, "127.0.0.1",
                                        server->port(), millis(1'000), {});
    const size_t before = ResidentBytes();
    for (int i = 0; i < kStreams; ++i) {
      asio::spawn(
          asio::make_strand(client_loop.loop),
          [&](const yield& yield) {
            const auto stream = *client->Open(kGet, false, yield);
            (void)stream->ReadHeaders(yield);
          },
          asio::detached);
    }
    while (open < kStreams) {
      std::this_thread::yield();
    }
    bytes = static_cast<double>(ResidentBytes() - before) / kStreams;
    server_loop.loop.stop();
    client_loop.loop.stop();
  }
  state.counters["bytes_per_stream"] = bytes;
}
BENCHMARK(H2MemoryPerStream)->Iterations(1);

}  // namespace

}  // namespace chiveglade::net

BENCHMARK_MAIN();
