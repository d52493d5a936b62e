// A task as the worker lists it.
#ifndef CHIVEGLADE_AGENT_WORKER_TASK_H_
#define CHIVEGLADE_AGENT_WORKER_TASK_H_

#include <cstdint>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/state/ids.h"

namespace chiveglade::agent {

// kRunning and kStopping execute; the others have ended. kLapsed: the worker
// stopped the task because its lease was not renewed in time.
enum class worker_state : uint8_t {
  kRunning,
  kStopping,
  kFinished,
  kFailed,
  kStopped,
  kLapsed,
};

// True while the task executes and holds its resources.
constexpr bool IsLive(worker_state state) {
  return state == worker_state::kRunning || state == worker_state::kStopping;
}

// One task in the answer of GET /tasks. The worker lists a task from its start
// until the agent has it forgotten, also after it has ended.
struct worker_task {
  state::attempt_id attempt;
  worker_state state = worker_state::kRunning;
  resources size;           // as declared at the start
  millis run_lease{0};      // stored for a restarted agent
  millis stop_grace{0};     // stored for a restarted agent
  boot_time lease_until{};  // when the worker stops the task by itself
  boot_time grant_until{};  // stored for a restarted agent
  uint32_t throttle_pct = 100;
  resources used;             // measured, lagged
  millis work_done{0};        // measured, lagged
  uint32_t slowdown_pct = 0;  // measured, lagged; 0 is unknown
  std::string checkpoint;     // object key of the newest one; may be empty
  millis checkpoint_work{0};  // work that the checkpoint holds
  std::string detail;         // why it ended

  friend bool operator==(const worker_task&, const worker_task&) = default;
};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_WORKER_TASK_H_
