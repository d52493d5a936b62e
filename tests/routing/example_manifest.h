// A small manifest for tests of the request path.
#ifndef CHIVEGLADE_TESTS_ROUTING_EXAMPLE_MANIFEST_H_
#define CHIVEGLADE_TESTS_ROUTING_EXAMPLE_MANIFEST_H_

#include "chiveglade/config/manifest.h"

namespace chiveglade::routing {

// GET is idempotent and POST is not; /archive has a class of its own.
inline config::manifest ExampleManifest() {
  config::manifest out;
  config::service_spec service;
  service.name = "s";
  service.tenant = "t";
  out.services = {service};
  out.request_classes = {{"normal", 1},
                         {"archive", 5, 100, millis(10'000), 50}};
  out.routes = {{"/", "", "s", "normal", true},
                {"/", "POST", "s", "normal", false},
                {"/archive", "", "s", "archive", true}};
  return out;
}

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_TESTS_ROUTING_EXAMPLE_MANIFEST_H_
