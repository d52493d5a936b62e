// The requests that the load generator sends.
#ifndef CHIVEGLADE_TOOLS_LOAD_MIX_H_
#define CHIVEGLADE_TOOLS_LOAD_MIX_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "chiveglade/core/result.h"

namespace chiveglade::load {

// One kind of request.
struct request_kind {
  std::string method = "GET";
  std::string path = "/";
  std::string klass = "default";  // name under which latency is reported
  size_t body_bytes = 0;          // padding, besides the request's ID
  bool key = false;               // whether it gets an Idempotency-Key
  uint32_t weight = 1;            // share of the mix
  friend bool operator==(const request_kind&, const request_kind&) = default;
};

using mix = std::vector<request_kind>;

// Parses a JSON array of objects with the members of request_kind; the class is
// named "class". Fails with "bad_mix" and what is wrong.
result<mix> ParseMix(const std::string& text);

// The kind that the `number`-th request has; every kind comes as often as its
// weight says.
const request_kind& KindOf(const mix& in, uint64_t number);

}  // namespace chiveglade::load

#endif  // CHIVEGLADE_TOOLS_LOAD_MIX_H_
