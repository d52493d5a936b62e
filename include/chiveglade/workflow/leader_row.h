// The row by which the processes agree on who coordinates.
#ifndef CHIVEGLADE_WORKFLOW_LEADER_ROW_H_
#define CHIVEGLADE_WORKFLOW_LEADER_ROW_H_

#include <cstdint>
#include <string>

#include "chiveglade/core/result.h"

namespace chiveglade::workflow {

inline constexpr char kLeaderKey[] = "leader/current";

// Value of the leader row. Every write of the leader also rewrites this row, so
// the row's version is the fencing token of the next write.
struct leader_row {
  uint64_t epoch = 0;  // incremented by each takeover
  std::string holder;
  std::string address;    // where the holder receives reports
  std::string nonce;      // unique for each write
  bool released = false;  // the holder has resigned
  bool ready = false;     // the holder has recovered and decides
  uint32_t fitness = 0;   // of the holder; see succession.h
  std::string successor;  // with `released`: who takes over first, if set
  // Takeovers in a row whose holders lost the role before they were ready.
  uint32_t failed_takeovers = 0;

  friend bool operator==(const leader_row&, const leader_row&) = default;
};

// CBOR encoding. Decoding fails with "corrupt".
std::string EncodeLeaderRow(const leader_row& in);
result<leader_row> DecodeLeaderRow(const std::string& text);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_LEADER_ROW_H_
