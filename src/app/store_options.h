// How a role reaches the store.
#ifndef CHIVEGLADE_APP_STORE_OPTIONS_H_
#define CHIVEGLADE_APP_STORE_OPTIONS_H_

#include <vector>

#include "chiveglade/config/settings.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/store/http_store_options.h"

namespace chiveglade::app {

// Options for calls to the service at `endpoints`, each of at most `timeout`.
store::http_store_options StoreOptions(
    const std::vector<config::endpoint>& endpoints,
    millis timeout);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_STORE_OPTIONS_H_
