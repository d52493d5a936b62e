#include "chiveglade/core/wall_clock.h"

#include <ctime>

namespace chiveglade {

int64_t UnixMillis() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000;
}

}  // namespace chiveglade
