#include "store_options.h"

#include <algorithm>

namespace chiveglade::app {

namespace {

// Half of what callers usually wait, so that a second try is left.
constexpr millis kSlowStoreTimeout{1'500};

}  // namespace

store::http_store_options StoreOptions(
    const std::vector<config::endpoint>& endpoints,
    millis timeout) {
  store::http_store_options options;
  for (const auto& at : endpoints) {
    options.endpoints.push_back({at.ip, at.port});
  }
  options.call_timeout = timeout;
  options.slow_call_timeout = std::max(timeout, kSlowStoreTimeout);
  return options;
}

}  // namespace chiveglade::app
