// Sends requests over HTTP/1.1 and checks every answer.
#ifndef CHIVEGLADE_TOOLS_LOAD_LOAD_RUN_H_
#define CHIVEGLADE_TOOLS_LOAD_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chiveglade/config/settings.h"
#include "tools/load/load_report.h"
#include "tools/load/mix.h"

namespace chiveglade::load {

struct run_options {
  std::vector<config::endpoint> targets;
  // Above zero: requests a second, sent whether or not earlier ones were
  // answered, with latency counted from the time at which each was due.
  double rate = 0;
  // Without a rate: connections that each send one request after the other.
  // With one: most requests open at once.
  uint32_t connections = 16;
  std::chrono::milliseconds length{10'000};
  uint64_t max_requests = 1'000'000;
  std::chrono::milliseconds timeout{30'000};  // for one answer
  std::string id_prefix = "load";  // unique among runs whose records are merged
  bool body_has_id =
      false;  // answers with a body must contain the request's ID
  mix requests = {request_kind{}};
};

// Runs until the time or the number of requests is reached and the last answer
// is in, or has timed out. Counts requests that were due while too many were
// open as "not_sent".
void RunLoad(const run_options& options, load_report& report);

}  // namespace chiveglade::load

#endif  // CHIVEGLADE_TOOLS_LOAD_LOAD_RUN_H_
