// The table row that names the manifest in effect.
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
  uint64_t version = 0;  // 1 for the first manifest, then one more each time
  std::string hash;      // of the canonical text; names the object
  std::string by;        // operator
  std::string nonce;     // identifies the publishing call

  friend bool operator==(const publication&, const publication&) = default;
};

// The value of the pointer row. The newest publication is in effect; the ones
// before it let a publisher whose answer was lost find its own.
struct manifest_pointer {
  std::vector<publication> newest_first;  // never empty in a stored row

  friend bool operator==(const manifest_pointer&,
                         const manifest_pointer&) = default;
};

// Publications kept in the row. A publisher settles within seconds, and 460
// changes a day are one in three minutes.
constexpr size_t kPublicationsKept = 16;

std::string EncodePointer(const manifest_pointer& in);
result<manifest_pointer> DecodePointer(const std::string& text);

// The object key of a manifest body.
std::string ManifestObjectKey(const std::string& hash);

// 128-bit hash of a manifest text, in hexadecimal digits.
std::string HashManifest(const std::string& text);

}  // namespace chiveglade::control

#endif  // CHIVEGLADE_CONTROL_MANIFEST_POINTER_H_
