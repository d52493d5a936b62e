// The faults that the stand-in injects.
#ifndef CHIVEGLADE_TOOLS_PLATFORM_STANDIN_FAULT_PLAN_H_
#define CHIVEGLADE_TOOLS_PLATFORM_STANDIN_FAULT_PLAN_H_

#include <cstdint>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"

namespace chiveglade::standin {

// `kRefuse`: every call is answered with 503. `kHang`: no call is answered or
// takes effect; its connection is closed when the outage ends.
enum class outage { kNone, kRefuse, kHang };

// What POST /faults sets. A field left out of the message keeps its value; an
// empty object changes nothing.
struct fault_plan {
  outage mode = outage::kNone;
  millis slow{0};                 // added to each call
  uint32_t lost_answer_pct = 0;   // calls that take effect unanswered
  uint32_t lost_request_pct = 0;  // calls without effect or answer
  uint64_t seed = 1;

  friend bool operator==(const fault_plan&, const fault_plan&) = default;
};

// {"outage": "none"|"refuse"|"hang", or false|true for none and refuse,
//  "slow_ms", "lost_answer_pct", "lost_request_pct", "seed"}
result<fault_plan> ParseFaults(const std::string& text, fault_plan current);

std::string WriteFaults(const fault_plan& in);

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_PLATFORM_STANDIN_FAULT_PLAN_H_
