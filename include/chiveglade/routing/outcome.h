// Maps how a try of a request ended to its verdict and to whether it may be
// retried.
#ifndef CHIVEGLADE_ROUTING_OUTCOME_H_
#define CHIVEGLADE_ROUTING_OUTCOME_H_

#include "chiveglade/core/verdict.h"

namespace chiveglade::routing {

// How one try of a request at a target ended, as seen by the entry.
enum class try_end {
  kEntryRefused,    // parsing, routing or admission failed, or no target
  kConnectFailed,   // no byte was sent to the agent
  kAgentRefused,    // response with `chiveglade-verdict: not_run`
  kStreamRefused,   // REFUSED_STREAM, or above the last stream of a GOAWAY
  kOutcomeUnknown,  // connection lost or deadline passed after bytes were sent
  kResponseTruncated,  // the response began but did not complete
  kResponseComplete,   // the whole response was received
};

// What one try means for the request.
struct outcome {
  verdict execution = verdict::kMayHaveRun;
  bool retry = false;         // another target may be tried
  bool abort_caller = false;  // the caller's connection must be aborted
  friend bool operator==(const outcome&, const outcome&) = default;
};

// Implements the verdict table of the design, section 4.6. A retry also needs
// room in the retry budget.
outcome ClassifyTry(try_end end, bool idempotent);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_OUTCOME_H_
