#include "store_options.h"

namespace chiveglade::app {

store::http_store_options StoreOptions(
    const std::vector<config::endpoint>& endpoints,
    millis timeout) {
  store::http_store_options options;
  for (const auto& at : endpoints) {
    options.endpoints.push_back({at.ip, at.port});
  }
  options.call_timeout = timeout;
  return options;
}

}  // namespace chiveglade::app
