// The row by which a coordinator finds what earlier ones have learned of
// interference. Soft state: placement and throttling work without it, and it
// may be overwritten by another coordinator at any time.
#ifndef CHIVEGLADE_WORKFLOW_INTERFERENCE_ROW_H_
#define CHIVEGLADE_WORKFLOW_INTERFERENCE_ROW_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chiveglade/core/result.h"
#include "chiveglade/workflow/interference_model.h"

namespace chiveglade::workflow {

inline constexpr char kInterferenceKey[] = "learned/interference";
// Most bytes of the row: a quarter of what the store takes, and less than 10 ms
// on a link of 20 Mbit/s.
inline constexpr size_t kMaxInterferenceRowBytes = size_t{16} * 1024;

struct interference_row {
  int64_t written_unix_ms = 0;
  std::vector<learned_pair> pairs;  // their ages are as of that time

  friend bool operator==(const interference_row&,
                         const interference_row&) = default;
};

// CBOR encoding with a version. Leaves out the last pairs if the row would
// exceed `max_bytes`.
std::string EncodeInterferenceRow(const interference_row& in,
                                  size_t max_bytes = kMaxInterferenceRowBytes);
// Fails with "too_large", "other_version" or "corrupt".
result<interference_row> DecodeInterferenceRow(std::string_view bytes);

// Returns true if a coordinator would decide otherwise by `now` than by
// `before`: a pair is new, or gone, its weight differs by much, or its
// evidence has grown by half or was renewed after a quarter of its half-life.
bool DiffersInEffect(const interference_row& before,
                     const interference_row& now);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_INTERFERENCE_ROW_H_
