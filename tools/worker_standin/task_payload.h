// What a job's payload tells the worker stand-in to do.
#ifndef CHIVEGLADE_TOOLS_WORKER_STANDIN_TASK_PAYLOAD_H_
#define CHIVEGLADE_TOOLS_WORKER_STANDIN_TASK_PAYLOAD_H_

#include <cstdint>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"

namespace chiveglade::standin {

// Read from a JSON object with the same keys; times end in "_ms". An empty
// payload has the defaults.
struct task_payload {
  millis run{1'000};          // "run_ms": work until the task finishes
  bool fail = false;          // "fail": fails when the work is done
  double fail_share = 0;      // "fail_share": probability of failing
  bool never_ends = false;    // "never_ends"
  bool ignores_stop = false;  // "ignores_stop": only a hard stop ends it
  millis checkpoint{50};      // "checkpoint_ms": time to make a checkpoint
  uint32_t used_pct = 80;     // "used_pct": measured use of the declared size
  std::string service;        // "service": the task is a replica of it
  uint32_t slots = 8;         // "slots"
  uint32_t connections = 64;  // "connections"
  millis execution{5};        // "execution_ms": of one request
};

result<task_payload> ParsePayload(const std::string& text);

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_WORKER_STANDIN_TASK_PAYLOAD_H_
