#include "chiveglade/routing/outcome.h"

namespace chiveglade::routing {

outcome ClassifyTry(try_end end, bool idempotent) {
  switch (end) {
    case try_end::kEntryRefused:
      return {verdict::kNotRun, false, false};
    case try_end::kConnectFailed:
    case try_end::kAgentRefused:
    case try_end::kStreamRefused:
      return {verdict::kNotRun, true, false};
    case try_end::kOutcomeUnknown:
      return {verdict::kMayHaveRun, idempotent, false};
    case try_end::kResponseTruncated:
      return {verdict::kMayHaveRun, false, true};
    case try_end::kResponseComplete:
      return {verdict::kRan, false, false};
  }
  return {verdict::kMayHaveRun, false, false};
}

}  // namespace chiveglade::routing
