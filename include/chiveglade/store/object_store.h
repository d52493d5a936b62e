// The platform's object store as seen by this project.
#ifndef CHIVEGLADE_STORE_OBJECT_STORE_H_
#define CHIVEGLADE_STORE_OBJECT_STORE_H_

#include <functional>
#include <optional>
#include <string>

#include "chiveglade/core/result.h"

namespace chiveglade::store {

using put_callback = std::function<void(result<done>)>;
using get_callback = std::function<void(result<std::optional<std::string>>)>;

// Hooks to the object store. Objects are immutable here: a key is written with
// one value only, so a put whose answer was lost is repeated as it is.
struct object_store {
  std::function<void(std::string key, std::string bytes, put_callback)> put;
  std::function<void(std::string key, get_callback)> get;
};

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_OBJECT_STORE_H_
