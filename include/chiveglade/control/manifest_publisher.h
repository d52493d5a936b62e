// Puts a manifest into effect.
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
  kAccepted,     // in effect, or already was
  kConflict,     // another manifest was published since `expected_version`
  kNotAccepted,  // nothing changed
  kUnknown,      // the store could not be asked whether it took effect
};

struct publish_outcome {
  publish_status status = publish_status::kUnknown;
  publication current;  // kAccepted: this one; kConflict: the one in the way
  reason why;

  friend bool operator==(const publish_outcome&,
                         const publish_outcome&) = default;
};

struct publish_request {
  std::string text;               // canonical text of a checked manifest
  uint64_t expected_version = 0;  // the version that the operator saw
  std::string by;
  std::string nonce;  // unique for this call

  friend bool operator==(const publish_request&,
                         const publish_request&) = default;
};

// Stores the body, then moves the pointer row on condition that it is still the
// one with `expected_version`. An answer that was lost is settled by reading
// the row. Publishing the text that is in effect changes nothing. `then` is
// called once; the hooks must outlive the call.
void PublishManifest(const store::table_service& table,
                     const store::object_store& objects,
                     const publish_request& request,
                     std::function<void(publish_outcome)> then);

}  // namespace chiveglade::control

#endif  // CHIVEGLADE_CONTROL_MANIFEST_PUBLISHER_H_
