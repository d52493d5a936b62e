#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "src/app/loop_monitor.h"

namespace chiveglade::app {

TEST_CASE("an event loop that runs late shows in the metrics and the log") {
  net::asio::io_context loop;
  observe::metrics metrics;
  boot_time now{millis(1'000'000)};
  std::vector<std::string> lines;
  loop_monitor monitor(
      net::asio::make_strand(loop), metrics, [&now] { return now; },
      [&lines](const char* event, const observe::log_fields& fields) {
        lines.push_back(std::string(event) + " " + fields.at(0).second);
      });
  monitor.Sample();
  for (int i = 0; i < 20; ++i) {
    now += millis(100);
    monitor.Sample();
  }
  CHECK(lines.empty());
  now += millis(1'700);
  monitor.Sample();
  CHECK(lines == std::vector<std::string>{"event_loop_late 1600"});
  CHECK(metrics.Text().find("chiveglade_event_loop_lag_seconds_count 21") !=
        std::string::npos);
}

}  // namespace chiveglade::app
