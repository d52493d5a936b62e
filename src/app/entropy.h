// Random numbers of a running process.
#ifndef CHIVEGLADE_APP_ENTROPY_H_
#define CHIVEGLADE_APP_ENTROPY_H_

#include <string>

#include "chiveglade/core/random.h"

namespace chiveglade::app {

// A thread-safe source seeded by the system. Only the roles use it; tests pass
// a seeded engine.
random_fn MakeSystemRandom();

// A random text of 32 hexadecimal digits.
std::string MakeNonce(const random_fn& random);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_ENTROPY_H_
