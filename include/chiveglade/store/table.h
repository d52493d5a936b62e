// The platform's transactional table service as seen by this project.
#ifndef CHIVEGLADE_STORE_TABLE_H_
#define CHIVEGLADE_STORE_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/core/result.h"

namespace chiveglade::store {

// One row. Every write of a row gives it a version above all versions that the
// table has handed out before; a key that does not exist has version 0.
struct row {
  std::string key;
  std::string value;
  uint64_t version = 0;

  friend bool operator==(const row&, const row&) = default;
};

// The transaction commits only if `key` is at `version` (0: does not exist).
struct condition {
  std::string key;
  uint64_t version = 0;

  friend bool operator==(const condition&, const condition&) = default;
};

// Sets the value of `key`, or deletes the row if there is no value.
struct mutation {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const mutation&, const mutation&) = default;
};

// Applied as a whole or not at all.
struct transaction {
  std::vector<condition> conditions;
  std::vector<mutation> mutations;

  friend bool operator==(const transaction&, const transaction&) = default;
};

// `kCommitted` and `kConflict` are final. `kNotApplied`: refused before any
// effect, for instance by the rate limit or because no connection could be
// made. `kUnknown`: the answer was lost; the transaction may be applied now,
// later or never, and the caller must settle it by reading.
enum class commit_status { kCommitted, kConflict, kNotApplied, kUnknown };

struct commit_outcome {
  commit_status status = commit_status::kUnknown;
  // kCommitted: the version given to every row written by the transaction.
  uint64_t version = 0;
  // kConflict: the key of the first condition that did not hold.
  std::string conflicting_key;
  reason why;

  friend bool operator==(const commit_outcome&,
                         const commit_outcome&) = default;
};

using read_callback = std::function<void(result<std::optional<row>>)>;
using scan_callback = std::function<void(result<std::vector<row>>)>;
using commit_callback = std::function<void(commit_outcome)>;

// Hooks to the table service. Each call ends with exactly one call of its
// callback, possibly before the call returns. Reads and scans are linearizable:
// a scan returns at most `limit` rows whose keys start with `prefix`, in key
// order, all as of one moment.
struct table_service {
  std::function<void(std::string key, read_callback)> read;
  std::function<void(std::string prefix, size_t limit, scan_callback)> scan;
  std::function<void(transaction, commit_callback)> commit;
};

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_TABLE_H_
