// Checks of values that come from outside, shared by Apply and the decoder.
#ifndef CHIVEGLADE_STATE_CHECK_H_
#define CHIVEGLADE_STATE_CHECK_H_

#include <cstdint>

#include "chiveglade/core/resources.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/job.h"

namespace chiveglade::state {

// Bounds a single amount so that sums over all VMs cannot overflow.
constexpr int64_t kMaxAmount = int64_t{1} << 40;
// Bounds the memory that one job can take.
constexpr uint32_t kMaxTasks = 100'000;

// True if no amount is negative or above kMaxAmount.
bool IsAmount(const resources& in);

// Checks the parts of a job that the state's invariants rely on.
result<done> CheckSpec(const job_spec& spec);

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_CHECK_H_
