// The table row that points to the manifest in effect.
#ifndef CHIVEGLADE_CONTROL_MANIFEST_POINTER_H_
#define CHIVEGLADE_CONTROL_MANIFEST_POINTER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chiveglade/core/result.h"

namespace chiveglade::control {

constexpr char kManifestPointerKey[] = "manifest/pointer";

// One accepted publication.
struct publication {
  uint64_t version = 0;  // 1 for the first manifest; increases by 1
  std::string hash;      // of the canonical text; names the object
  std::string by;        // operator
  std::string nonce;     // identifies the publishing call

  friend bool operator==(const publication&, const publication&) = default;
};

// Value of the pointer row. The newest publication is in effect. A publisher
// whose answer was lost looks for its own nonce among the older ones.
struct manifest_pointer {
  std::vector<publication> newest_first;  // never empty in a stored row

  friend bool operator==(const manifest_pointer&,
                         const manifest_pointer&) = default;
};

// A publisher resolves a lost answer within seconds; at 460 changes a day one
// follows another every three minutes.
constexpr size_t kMaxKeptPublications = 16;

std::string EncodePointer(const manifest_pointer& in);
result<manifest_pointer> DecodePointer(const std::string& text);

// Returns the object key of a manifest body.
std::string ManifestObjectKey(const std::string& hash);

// Returns the 128-bit hash of a manifest text as hexadecimal digits.
std::string HashManifest(const std::string& text);

}  // namespace chiveglade::control

#endif  // CHIVEGLADE_CONTROL_MANIFEST_POINTER_H_
