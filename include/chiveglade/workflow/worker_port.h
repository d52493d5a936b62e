// Calls from a runner to the worker on its VM, their replies, and the worker's
// heartbeats.
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
  // Start time in Unix milliseconds; a restarted worker has a higher one.
  int64_t incarnation = 0;
  uint64_t sequence = 0;
  bool draining = false;
  millis remaining{0};  // while draining: least time until the worker exits
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;

  friend bool operator==(const worker_heartbeat&,
                         const worker_heartbeat&) = default;
};

// Lease times are milliseconds of the worker's own steady clock.
struct start_call {
  std::string instance;  // any other incarnation refuses the call
  run_key run;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  int64_t lease_until_ms = 0;
  // The worker refuses lower tokens than it has seen.
  uint64_t fencing_token = 0;

  friend bool operator==(const start_call&, const start_call&) = default;
};

struct stop_call {
  std::string instance;
  run_key run;
  uint64_t fencing_token = 0;

  friend bool operator==(const stop_call&, const stop_call&) = default;
};

struct pace_call {
  std::string instance;
  run_key run;
  uint32_t percent = 100;
  uint64_t fencing_token = 0;

  friend bool operator==(const pace_call&, const pace_call&) = default;
};

// Extends the lease of all runs on the worker, acknowledges ends, and requests
// the lists of running and ended runs.
struct lease_call {
  std::string instance;        // empty: any incarnation
  int64_t lease_until_ms = 0;  // 0: leaves the lease unchanged
  uint64_t fencing_token = 0;
  uint64_t acknowledged = 0;  // ends up to this number may be dropped
  millis wait{0};  // how long the worker may wait for an end before replying

  friend bool operator==(const lease_call&, const lease_call&) = default;
};

// Outcome of a call. After `kNoReply` the call may have been carried out or may
// still be. With `kNotSent` and `kNotListening` no byte of it left this
// process.
enum class call_status : uint8_t {
  kOk,
  kFenced,      // the worker has seen a higher fencing token
  kSuperseded,  // this run or a later one of the task has ended or was stopped
  kLeasePast,   // the requested lease end is in the past
  kNoRoom,
  kNoTicket,
  kUnhealthy,      // the worker refused and did nothing
  kWrongInstance,  // another incarnation of the worker replied
  kInvalid,
  kNoReply,
  kNotSent,
  kNotListening,  // the VM is reachable, but no worker listens
};

const char* ToString(call_status in);

struct lease_reply {
  call_status status = call_status::kNoReply;
  int64_t clock_ms = 0;  // the worker's steady clock
  int64_t incarnation = 0;
  std::vector<run_status> runs;
  std::vector<run_end> ends;  // the oldest that are not acknowledged
  // False if there may be further runs or ends: a worker lists a limited number
  // of ends at a time, and a row may be unreadable.
  bool complete = true;

  friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_WORKER_PORT_H_
