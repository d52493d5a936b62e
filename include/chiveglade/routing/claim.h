// The stored row (claim) of a non-idempotent request with an Idempotency-Key.
#ifndef CHIVEGLADE_ROUTING_CLAIM_H_
#define CHIVEGLADE_ROUTING_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chiveglade::routing {

// The response that is replayed to repeats of a request.
struct stored_response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool whole = true;  // false: the body was too large and was dropped
  friend bool operator==(const stored_response&,
                         const stored_response&) = default;
};

// The value of a claim row.
struct claim_value {
  std::string fingerprint;
  std::string entry;                        // the entry that made the claim
  uint64_t nonce = 0;                       // random; identifies the claim
  int64_t unix_ms = 0;                      // when the claim was made
  std::optional<stored_response> response;  // set once the target has responded
  friend bool operator==(const claim_value&, const claim_value&) = default;
};

// Encodes a claim row as CBOR.
std::string EncodeClaim(const claim_value& value);

// Decodes a claim row; nullopt if the bytes are not a valid row.
std::optional<claim_value> DecodeClaim(const std::string& bytes);

// The key of a claim row. Keys of different workspaces never collide.
std::string ClaimKey(std::string_view workspace,
                     std::string_view idempotency_key);

// Identifies a request by its method and by hashes of its target and its body.
// A repeat of a request has the same fingerprint.
std::string Fingerprint(std::string_view method,
                        std::string_view target,
                        std::string_view body);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_CLAIM_H_
