// What each way in which a request can end means for its caller.
#ifndef CHIVEGLADE_ROUTING_OUTCOME_H_
#define CHIVEGLADE_ROUTING_OUTCOME_H_

#include "chiveglade/core/verdict.h"

namespace chiveglade::routing {

// How far one try of a request came, as the entry sees it.
enum class try_end {
  kEntryRefused,    // parse, route, admission or no target
  kConnectFailed,   // no byte was sent to the agent
  kAgentRefused,    // answer with `chiveglade-verdict: not_run`
  kStreamRefused,   // REFUSED_STREAM, or above the last stream of a GOAWAY
  kOutcomeUnknown,  // connection lost or deadline passed after bytes were sent
  kResponseTruncated,  // the answer began and did not end
  kResponseComplete,   // the whole answer was received
};

// The consequences of one try.
struct outcome {
  verdict execution = verdict::kMayHaveRun;
  bool retry = false;         // another target may be tried
  bool abort_caller = false;  // the caller's connection must be aborted
  friend bool operator==(const outcome&, const outcome&) = default;
};

// The verdict table of the design, section 4.6. A retry also needs budget.
outcome ClassifyTry(try_end end, bool idempotent);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_OUTCOME_H_
