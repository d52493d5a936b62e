// Publishes a manifest, which puts it into effect.
#ifndef CHIVEGLADE_CONTROL_MANIFEST_PUBLISHER_H_
#define CHIVEGLADE_CONTROL_MANIFEST_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "chiveglade/config/manifest.h"
#include "chiveglade/control/manifest_pointer.h"
#include "chiveglade/store/object_store.h"
#include "chiveglade/store/table.h"

namespace chiveglade::control {

enum class publish_status {
  kAccepted,     // published by this call, or already in effect
  kConflict,     // another manifest was published since `expected_version`
  kNotAccepted,  // nothing changed
  kUnknown,      // reading the store did not show whether it took effect
};

struct publish_outcome {
  publish_status status = publish_status::kUnknown;
  // kAccepted: the accepted one; kConflict: the one in effect.
  publication current;
  reason why;

  friend bool operator==(const publish_outcome&,
                         const publish_outcome&) = default;
};

struct publish_request {
  std::string text;               // canonical text of a valid manifest
  uint64_t expected_version = 0;  // the version that the operator saw
  std::string by;
  std::string nonce;  // unique to this call

  friend bool operator==(const publish_request&,
                         const publish_request&) = default;
};

// Stores the body, then updates the pointer row if `expected_version` is still
// in effect. A lost answer is resolved by reading the row. Publishing the text
// that is in effect changes nothing. `then` is called once; the hooks must
// outlive the call.
void PublishManifest(const store::table_service& table,
                     const store::object_store& objects,
                     const publish_request& request,
                     std::function<void(publish_outcome)> then);

}  // namespace chiveglade::control

#endif  // CHIVEGLADE_CONTROL_MANIFEST_PUBLISHER_H_
