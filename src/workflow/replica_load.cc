#include "chiveglade/workflow/replica_load.h"

#include <algorithm>
#include <vector>

namespace chiveglade::workflow {

namespace {

// One replica in this many is taken to be undisturbed. Not only the one with
// the lowest latency, because measurements are noisy.
constexpr size_t kUndisturbedShare = 4;
// Measurements older than this are ignored: a few missed reports.
constexpr millis kMaxAge{2'000};
// Interval between computations; replicas on many VMs report at different
// times.
constexpr millis kUpdateInterval{200};

}  // namespace

void replica_load::Update(const run_key& run, double ratio, boot_time now) {
  replicas_[run] = {ratio, now};
  if (updated_at_ != boot_time{} && now - updated_at_ < kUpdateInterval) {
    return;
  }
  updated_at_ = now;
  std::vector<double> ratios;
  for (const auto& [key, replica] : replicas_) {
    if (now - replica.at <= kMaxAge) {
      ratios.push_back(replica.ratio);
    }
  }
  const auto nth = ratios.begin() + static_cast<std::ptrdiff_t>(
                                        ratios.size() / kUndisturbedShare);
  std::nth_element(ratios.begin(), nth, ratios.end());
  now_ = *nth;
  peak_.Update(now_, now);
}

}  // namespace chiveglade::workflow
