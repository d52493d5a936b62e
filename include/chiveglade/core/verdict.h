// Whether a request may have been executed by a target.
#ifndef CHIVEGLADE_CORE_VERDICT_H_
#define CHIVEGLADE_CORE_VERDICT_H_

#include <string_view>

namespace chiveglade {

// `kNotRun`: no byte of the request reached a target; it may be sent again.
// `kMayHaveRun`: it may have been executed; only idempotent requests may be
// sent again. `kRan`: the target's whole answer was received.
enum class verdict { kNotRun, kMayHaveRun, kRan };

// The wire token: "not_run", "may_have_run" or "ran".
constexpr std::string_view ToString(verdict value) {
  switch (value) {
    case verdict::kNotRun:
      return "not_run";
    case verdict::kMayHaveRun:
      return "may_have_run";
    case verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

// The verdict after two steps of the same request: the less safe one wins.
constexpr verdict Combine(verdict a, verdict b) {
  return a < b ? b : a;
}

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_VERDICT_H_
