#include "chiveglade/workflow/decaying_peak.h"

#include <algorithm>
#include <cmath>

namespace chiveglade::workflow {

namespace {

// Time constant of the decay. Longer than a best-effort task usually runs.
constexpr double kDecaySeconds = 8;

}  // namespace

void decaying_peak::Update(double value, boot_time now) {
  const double seconds =
      std::chrono::duration<double>(now - updated_at_).count();
  const double above = std::max(0.0, value_ - value);
  value_ = value + above * std::exp(-seconds / kDecaySeconds);
  updated_at_ = now;
}

}  // namespace chiveglade::workflow
