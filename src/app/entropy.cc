#include "entropy.h"

#include <sys/random.h>

#include <cstdlib>
#include <memory>
#include <mutex>

namespace chiveglade::app {

random_fn MakeSystemRandom() {
  struct source {
    std::mutex mutex;
    random_engine engine;
  };
  uint64_t seed = 0;
  if (getentropy(&seed, sizeof(seed)) != 0) {
    std::abort();  // Without unique nonces no write could be settled.
  }
  auto shared = std::make_shared<source>();
  shared->engine.seed(seed);
  return [shared] {
    const std::lock_guard lock(shared->mutex);
    return shared->engine();
  };
}

std::string MakeNonce(const random_fn& random) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (int word = 0; word < 2; ++word) {
    uint64_t bits = random();
    for (int digit = 0; digit < 16; ++digit) {
      out += kDigits[bits & 0xf];
      bits >>= 4;
    }
  }
  return out;
}

}  // namespace chiveglade::app
