// The time of day, for stored times and logs; never for measuring intervals.
#ifndef CHIVEGLADE_CORE_WALL_CLOCK_H_
#define CHIVEGLADE_CORE_WALL_CLOCK_H_

#include <cstdint>

namespace chiveglade {

// Milliseconds since 1970.
int64_t UnixMillis();

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_WALL_CLOCK_H_
