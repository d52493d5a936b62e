// Stand-in for the platform's table service and object store, on loopback.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "tools/platform_standin/platform.h"

int main(int argc, char** argv) {
  using chiveglade::standin::platform;
  chiveglade::standin::platform_options options;
  int64_t latency_ms = 0;
  CLI::App app("Serves a table and an object store from memory.");
  app.add_option("--port", options.port, "Port on 127.0.0.1; 0 picks one");
  app.add_option("--writes-per-second", options.writes_per_second,
                 "Rows or objects written; 0 for no limit");
  app.add_option("--reads-per-second", options.reads_per_second,
                 "Reads, scans or gets; 0 for no limit");
  app.add_option("--latency-ms", latency_ms, "Added to each call");
  app.add_option("--seed", options.faults.seed, "Seed of the injected faults");
  CLI11_PARSE(app, argc, argv);
  options.latency = chiveglade::millis(latency_ms);

  boost::asio::io_context loop(1);
  const auto made = platform::Make(
      loop, options, [] { return chiveglade::boot_clock::now(); });
  if (!made) {
    std::cerr << "level=error code=" << made.last_reason().code << " detail=\""
              << made.last_reason().detail << "\"\n";
    return 1;
  }
  std::cout << "listening port=" << (*made)->port() << std::endl;
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { loop.stop(); });
  loop.run();
  return 0;
}
