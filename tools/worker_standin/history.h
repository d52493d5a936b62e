// What the worker stand-in really ran, for checkers.
#ifndef CHIVEGLADE_TOOLS_WORKER_STANDIN_HISTORY_H_
#define CHIVEGLADE_TOOLS_WORKER_STANDIN_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/agent/worker_task.h"
#include "chiveglade/core/clock.h"

namespace chiveglade::standin {

struct attempt_history {
  state::attempt_id attempt;
  int64_t tick = 0;  // of the start order
  boot_time started{};
  boot_time ended{};  // zero while it runs
  agent::worker_state state = agent::worker_state::kRunning;
  millis work_restored{0};  // from the checkpoint it resumed from
  millis work_done{0};
  std::string resumed_from;
  std::string checkpoint;
};

// One request that a replica began to execute.
struct request_history {
  std::string service;
  state::attempt_id attempt;
  std::string request_id;
  std::string idempotency_key;
  std::string method;
  std::string target;
  std::string body_digest;  // XXH64 in hexadecimal
  boot_time started{};
  boot_time ended{};      // zero while it runs
  bool answered = false;  // the whole answer was written
};

// Not thread-safe.
class history {
 public:
  attempt_history& Attempt(const state::attempt_id& attempt);
  // The index of the new request, for Request.
  size_t AddRequest(request_history what);
  request_history& Request(size_t index) { return requests_.at(index); }
  void AddViolation(boot_time at, const std::string& what);

  // {"boot", "attempts", "requests", "violations"}; requests from index
  // `first` on, so that a checker can read them in parts.
  std::string ToJson(uint64_t boot, size_t first) const;

  const std::map<state::attempt_id, attempt_history>& attempts() const {
    return attempts_;
  }
  const std::vector<std::string>& violations() const { return violations_; }
  const std::deque<request_history>& requests() const { return requests_; }

 private:
  std::map<state::attempt_id, attempt_history> attempts_;
  std::deque<request_history> requests_;
  std::vector<std::string> violations_;
};

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_WORKER_STANDIN_HISTORY_H_
