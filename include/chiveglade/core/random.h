// The random number source handed to decision code.
#ifndef CHIVEGLADE_CORE_RANDOM_H_
#define CHIVEGLADE_CORE_RANDOM_H_

#include <functional>
#include <random>

namespace chiveglade {

using random_engine = std::mt19937_64;

// Source of random 64-bit numbers; tests pass a seeded random_engine.
using random_fn = std::function<uint64_t()>;

}  // namespace chiveglade

#endif  // CHIVEGLADE_CORE_RANDOM_H_
