// The row that records a non-idempotent request with an Idempotency-Key.
#ifndef CHIVEGLADE_ROUTING_CLAIM_H_
#define CHIVEGLADE_ROUTING_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chiveglade::routing {

// The answer that repeats of a request receive.
struct stored_response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool whole = true;  // false: too large, only the status is kept
  friend bool operator==(const stored_response&,
                         const stored_response&) = default;
};

// The value of a claim row.
struct claim_value {
  std::string fingerprint;
  std::string entry;   // that claimed
  uint64_t nonce = 0;  // of the claim, random
  int64_t unix_ms = 0;
  std::optional<stored_response> response;  // once the request was answered
  friend bool operator==(const claim_value&, const claim_value&) = default;
};

// CBOR of a claim row.
std::string EncodeClaim(const claim_value& value);

// Reads a claim row; none if the bytes are not one.
std::optional<claim_value> DecodeClaim(const std::string& bytes);

// The key of a claim row. Keys of different workspaces never meet.
std::string ClaimKey(std::string_view workspace,
                     std::string_view idempotency_key);

// A hash of all that makes two requests the same one.
std::string Fingerprint(std::string_view method,
                        std::string_view target,
                        std::string_view body);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_CLAIM_H_
