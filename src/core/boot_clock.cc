#include <time.h>

#include "chiveglade/core/clock.h"

namespace chiveglade {

boot_time boot_clock::now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return boot_time(std::chrono::duration_cast<millis>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

}  // namespace chiveglade
