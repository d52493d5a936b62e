// Calls of the worker's control interface.
#ifndef CHIVEGLADE_AGENT_WORKER_CALL_H_
#define CHIVEGLADE_AGENT_WORKER_CALL_H_

#include <cstdint>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/heartbeat.h"
#include "chiveglade/state/ids.h"

namespace chiveglade::agent {

enum class worker_call_kind : uint8_t {
  kList,
  kStart,
  kRenew,
  kCheckpoint,
  kThrottle,
  kStop,
  kForget,  // drop ended attempts from the list
};

// New lease of one attempt. `grant_until` is only stored with the task.
struct lease_renewal {
  state::attempt_id attempt;
  boot_time lease_until{};
  boot_time grant_until{};

  friend bool operator==(const lease_renewal&, const lease_renewal&) = default;
};

// One call to make. Fields that the kind does not name are not used.
struct worker_call {
  worker_call_kind kind = worker_call_kind::kList;
  // Boot id of the worker the call is meant for; another worker refuses it.
  uint64_t boot = 0;
  // kStart, kCheckpoint, kThrottle, kStop.
  state::attempt_id attempt;
  // kStart: the worker refuses the call once its clock has reached `not_after`,
  // so that a call delayed on its way cannot start a task late.
  state::start_order order;
  boot_time not_after{};
  boot_time lease_until{};
  boot_time grant_until{};
  millis stop_grace{0};
  // kRenew.
  std::vector<lease_renewal> renewals;
  // kThrottle.
  uint32_t percent = 100;
  // kStop: with `hard` at once, otherwise after a checkpoint.
  bool hard = false;
  // kForget.
  std::vector<state::attempt_id> forget;

  friend bool operator==(const worker_call&, const worker_call&) = default;
};

// kDone: carried out. kRefused: answered and without effect. kNotSent: no byte
// was sent. kUnknown: the answer was lost; the task list settles the outcome.
enum class worker_call_status : uint8_t { kDone, kRefused, kNotSent, kUnknown };

struct worker_call_outcome {
  worker_call_status status = worker_call_status::kUnknown;
  reason why;

  friend bool operator==(const worker_call_outcome&,
                         const worker_call_outcome&) = default;
};

// Longest time that a start call may take to reach the worker. Together with
// kStartValidity it bounds a start to 2.5 s after the tick it relies on.
constexpr millis kStartCallLimit{500};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_WORKER_CALL_H_
