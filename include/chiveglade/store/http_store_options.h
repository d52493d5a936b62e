// Where and how the platform's services are called over HTTP.
#ifndef CHIVEGLADE_STORE_HTTP_STORE_OPTIONS_H_
#define CHIVEGLADE_STORE_HTTP_STORE_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"

namespace chiveglade::store {

// One address of a service.
struct http_endpoint {
  std::string ip;
  uint16_t port = 0;
  friend bool operator==(const http_endpoint&, const http_endpoint&) = default;
};

// Limits of the calls to one service.
struct http_store_options {
  // Addresses of the same service. A call goes to the first that takes it.
  std::vector<http_endpoint> endpoints;
  millis connect_timeout{500};  // for one endpoint
  // Longest time without progress of a call. A large answer that arrives
  // steadily over a slow link may take several times as long.
  millis call_timeout{3'000};
  // The same while the store answers slowly; zero: `call_timeout`.
  millis slow_call_timeout{0};
  // An endpoint that could not be connected to is skipped for this long, unless
  // all are.
  millis skip_after_refusal{1'000};
  // Calls above this number are answered as not applied.
  uint32_t max_in_flight = 64;
  friend bool operator==(const http_store_options&,
                         const http_store_options&) = default;
};

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_HTTP_STORE_OPTIONS_H_
