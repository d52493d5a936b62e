// What a runner says to the worker on its VM, and hears from it.
#ifndef CHIVEGLADE_WORKFLOW_WORKER_PORT_H_
#define CHIVEGLADE_WORKFLOW_WORKER_PORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chiveglade/core/result.h"
#include "chiveglade/workflow/message.h"

namespace chiveglade::workflow {

// A worker's heartbeat.
struct worker_heartbeat {
  std::string instance;
  int64_t born = 0;  // start of this life of the worker; orders lives
  uint64_t sequence = 0;
  bool draining = false;
  millis remaining{0};
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;

  friend bool operator==(const worker_heartbeat&,
                         const worker_heartbeat&) = default;
};

// Times of the worker are milliseconds of its own steady clock.
struct start_call {
  std::string instance;  // refused by any other life of the worker
  run_key run;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  int64_t lease_until_ms = 0;
  uint64_t token = 0;  // fencing token; the worker refuses a lower one

  friend bool operator==(const start_call&, const start_call&) = default;
};

struct stop_call {
  std::string instance;
  run_key run;
  uint64_t token = 0;

  friend bool operator==(const stop_call&, const stop_call&) = default;
};

struct pace_call {
  std::string instance;
  run_key run;
  uint32_t percent = 100;
  uint64_t token = 0;

  friend bool operator==(const pace_call&, const pace_call&) = default;
};

// Prolongs the lease of everything on the worker, acknowledges ends, and asks
// for the lists.
struct lease_call {
  std::string instance;        // empty: whichever life there is
  int64_t lease_until_ms = 0;  // 0: leaves the lease as it is
  uint64_t token = 0;
  uint64_t acknowledged = 0;
  millis wait{0};  // the answer waits so long for an end

  friend bool operator==(const lease_call&, const lease_call&) = default;
};

// `kNoReply`: it may have been carried out, or may be later. `kNotSent` and
// `kNotListening`: no byte of it left this process.
enum class call_status : uint8_t {
  kOk,
  kFenced,      // a higher token was seen
  kSuperseded,  // the run, or a later one, was stopped or has ended
  kLeasePast,   // the lease asked for has passed
  kNoRoom,
  kNoTicket,
  kUnhealthy,      // nothing was done
  kWrongInstance,  // another life of the worker answered
  kInvalid,
  kNoReply,
  kNotSent,
  kNotListening,  // the VM answers, but no worker is up
};

const char* ToString(call_status in);

struct lease_reply {
  call_status status = call_status::kNoReply;
  int64_t clock_ms = 0;  // the worker's clock
  int64_t born = 0;
  std::vector<run_status> runs;
  std::vector<run_end> ends;

  friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_WORKER_PORT_H_
