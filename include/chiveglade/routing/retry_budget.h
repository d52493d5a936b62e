// Limits the load that retries add.
#ifndef CHIVEGLADE_ROUTING_RETRY_BUDGET_H_
#define CHIVEGLADE_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <mutex>

#include "chiveglade/core/clock.h"

namespace chiveglade::routing {

// Allows retries up to a percentage of the requests in the last ten seconds,
// and at least `min_retries_per_second` at low load. Thread-safe.
class retry_budget {
 public:
  explicit retry_budget(clock_fn clock,
                        uint32_t retry_percent = 20,
                        uint32_t min_retries_per_second = 3);

  // Counts a request that is not a retry.
  void OnRequest();

  // Consumes one retry from the budget; returns false if none is left.
  bool TryRetry();

 private:
  static constexpr size_t kWindowSeconds = 10;
  struct bucket {
    int64_t second = -1;  // of the boot clock; -1 if unused
    uint64_t requests = 0;
    uint64_t retries = 0;
  };

  bucket& CurrentBucket();

  clock_fn clock_;
  uint32_t retry_percent_;
  uint32_t min_retries_per_second_;
  std::mutex mutex_;
  std::array<bucket, kWindowSeconds> window_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_RETRY_BUDGET_H_
