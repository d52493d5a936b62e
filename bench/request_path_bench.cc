// Latency that the entry and the agent add to a request, and memory per open
// request. Callers, entry, agents and worker run in this process, so the memory
// is that of all of them together.
#include <benchmark/benchmark.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "tests/routing/request_path.h"

namespace {

using namespace chiveglade;
using namespace chiveglade::routing;

double ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  double pages = 0;
  in >> pages >> pages;
  return pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

nlohmann::json Measure(uint16_t port, double rate) {
  load::run_options options;
  options.targets = {{"127.0.0.1", port}};
  options.connections = 256;
  options.rate = rate;
  options.length = millis(3'000);
  load::load_report report("");
  RunLoad(options, report);
  return nlohmann::json::parse(report.ToJson(options.length));
}

// Small GET requests at a fixed rate, sent directly to the worker and through
// entry and agent. The difference is the added latency.
void AddedLatency(benchmark::State& state) {
  path_fixture path;
  const auto rate = static_cast<double>(state.range(0));
  for (auto _ : state) {
    const auto direct = Measure(path.worker.port(), rate);
    const auto through = Measure(path.front->port(), rate);
    for (const std::string name : {"p50", "p99"}) {
      const double base = direct["latency_us"]["default"][name];
      const double all = through["latency_us"]["default"][name];
      state.counters[name + "_direct_us"] = base;
      state.counters[name + "_path_us"] = all;
    }
    state.counters["ran"] = through["verdicts"].value("ran", 0.0);
  }
}
BENCHMARK(AddedLatency)
    ->Arg(500)
    ->Arg(2'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Requests that are open at the front: first with half of each body received,
// then queued at the agents for a slot.
void OpenRequestMemory(benchmark::State& state) {
  const auto count = static_cast<size_t>(state.range(0));
  path_fixture path(static_cast<uint32_t>(count));
  path.worker.held = true;
  for (auto _ : state) {
    asio::io_context loop;
    std::vector<asio::ip::tcp::socket> callers;
    callers.reserve(count);
    const double before = ResidentBytes();
    for (size_t i = 0; i < count; ++i) {
      callers.emplace_back(loop).connect(
          {asio::ip::make_address("127.0.0.1"), path.front->port()});
      asio::write(callers.back(),
                  asio::buffer(std::string("POST /x HTTP/1.1\r\nhost: h\r\n"
                                           "content-length: 10\r\n\r\n12345")));
    }
    while (path.front->open_requests() < count) {
      std::this_thread::yield();
    }
    const double arriving = ResidentBytes();
    for (auto& each : callers) {
      asio::write(each, asio::buffer(std::string("67890")));
    }
    uint32_t waiting = 0;
    while (waiting < count) {
      waiting = 0;
      for (const auto& vm : path.vms) {
        const auto load = vm.proxy->Load().at(0);
        waiting += load.in_use + load.queued;
      }
    }
    const double all = ResidentBytes();
    state.counters["front_bytes_per_request"] =
        (arriving - before) / static_cast<double>(count);
    state.counters["path_bytes_per_request"] =
        (all - before) / static_cast<double>(count);
  }
  path.worker.held = false;
}
BENCHMARK(OpenRequestMemory)->Arg(1'000)->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
