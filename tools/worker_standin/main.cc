// Stands in for one worker of the platform; see worker_standin.h.
#include <cstdio>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "worker_standin.h"

namespace chiveglade::standin {

namespace {

struct arguments {
  standin_options options;
  std::string listen = "127.0.0.1:0";
  std::string object_store;
  int64_t lag_ms = 1'000;
  std::vector<std::string> slowdowns;  // "CLASS,CLASS,PERCENT"
};

void Declare(CLI::App& app, arguments& in) {
  auto& table = in.options.table;
  table.capacity = {16'000, 61'440, 0};
  app.add_option("--listen", in.listen, "IP address and port; port 0: any");
  app.add_option("--object-store", in.object_store,
                 "Address of the object store; none: checkpoints in memory");
  app.add_option("--millicores", table.capacity.millicores);
  app.add_option("--memory-mib", table.capacity.memory_mib);
  app.add_option("--accelerators", table.capacity.accelerators);
  app.add_option("--seed", in.options.seed, "Seed of all random choices");
  app.add_option("--lag-ms", in.lag_ms, "Age of the measurements reported");
  app.add_flag("--fail-all", table.fail_all, "Every task fails");
  app.add_option("--lose-answers", in.options.server.lose_answers_pct,
                 "Percent of control calls whose answer is lost")
      ->check(CLI::Range(0, 100));
  app.add_option("--slowdown", in.slowdowns,
                 "CLASS,CLASS,PERCENT: what the second adds to the first");
}

bool ReadSlowdown(const std::string& text, table_options& out) {
  const auto first = text.find(',');
  const auto last = text.rfind(',');
  if (first == std::string::npos || first == last) {
    return false;
  }
  const auto digits = text.substr(last + 1);
  if (digits.empty() || digits.size() > 6 ||
      digits.find_first_not_of("0123456789") != std::string::npos) {
    return false;
  }
  out.slowdowns[{text.substr(0, first),
                 text.substr(first + 1, last - first - 1)}] =
      static_cast<uint32_t>(std::stoul(digits));
  return true;
}

bool Complete(arguments& in) {
  const auto listen = config::ParseEndpoint(in.listen);
  if (!listen) {
    std::cerr << "--listen: not an address: " << in.listen << "\n";
    return false;
  }
  in.options.server.ip = listen->ip;
  in.options.server.port = listen->port;
  if (!in.object_store.empty()) {
    in.options.object_store = config::ParseEndpoint(in.object_store);
    if (!in.options.object_store) {
      std::cerr << "--object-store: not an address: " << in.object_store
                << "\n";
      return false;
    }
  }
  for (const auto& text : in.slowdowns) {
    if (!ReadSlowdown(text, in.options.table)) {
      std::cerr << "--slowdown: not CLASS,CLASS,PERCENT: " << text << "\n";
      return false;
    }
  }
  in.options.table.lag = millis(in.lag_ms);
  // A restarted worker must be told apart whatever its seed is.
  std::random_device device;
  in.options.table.boot = (uint64_t{device()} << 31 | device()) + 1;
  return true;
}

int Main(int argc, char** argv) {
  arguments in;
  CLI::App app("Stands in for one worker of the platform.");
  Declare(app, in);
  CLI11_PARSE(app, argc, argv);
  if (!Complete(in)) {
    return 2;
  }
  net::asio::io_context loop(1);
  const auto standin = worker_standin::Make(loop, in.options);
  if (!standin) {
    std::cerr << standin.last_reason().detail << "\n";
    return 1;
  }
  // Read by whoever started the program with port 0.
  std::cout << "port=" << (*standin)->port() << std::endl;
  net::asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&loop](auto, int) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace

}  // namespace chiveglade::standin

int main(int argc, char** argv) {
  return chiveglade::standin::Main(argc, argv);
}
