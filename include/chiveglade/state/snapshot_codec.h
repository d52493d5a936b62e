// The bytes of a snapshot object.
#ifndef CHIVEGLADE_STATE_SNAPSHOT_CODEC_H_
#define CHIVEGLADE_STATE_SNAPSHOT_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "chiveglade/core/result.h"
#include "chiveglade/state/cluster_state.h"

namespace chiveglade::state {

// Version of the snapshot format. A snapshot of a newer format is refused.
constexpr uint32_t kSnapshotFormat = 1;

// The state after journal record `sequence`, and the planner's learned tables.
struct snapshot {
  uint64_t sequence = 0;
  cluster_state state;
  std::string hints;

  friend bool operator==(const snapshot&, const snapshot&) = default;
};

// Sums and indices are not stored but computed again while decoding, so a
// decoded state meets the same invariants as one built by Apply.
class snapshot_codec {
 public:
  // Writes a snapshot as CBOR; the result holds arbitrary bytes.
  static std::string Encode(uint64_t sequence,
                            const cluster_state& from,
                            const std::string& hints);

  // Reasons: "newer_format", or "corrupt" for bytes that are not a snapshot or
  // that hold a state which breaks an invariant.
  static result<snapshot> Decode(std::string_view bytes);
};

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_SNAPSHOT_CODEC_H_
