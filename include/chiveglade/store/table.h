// The platform's transactional table service as seen by this project.
#ifndef CHIVEGLADE_STORE_TABLE_H_
#define CHIVEGLADE_STORE_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
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

// Part of a scan, in key order. `version` is the newest of the whole service as
// of the same moment, from which changes can be watched.
struct row_page {
  std::vector<row> rows;
  bool more = false;
  uint64_t version = 0;

  friend bool operator==(const row_page&, const row_page&) = default;
};

struct row_change {
  row now;  // without a value if the row was removed
  bool removed = false;

  friend bool operator==(const row_change&, const row_change&) = default;
};

// Changes since a version, in order; continue from `version`. With
// `history_lost` the service no longer has them all: scan again.
struct row_changes {
  std::vector<row_change> rows;
  uint64_t version = 0;
  bool history_lost = false;

  friend bool operator==(const row_changes&, const row_changes&) = default;
};

using page_callback = std::function<void(result<row_page>)>;
using watch_callback = std::function<void(result<row_changes>)>;
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
  // Optional; empty if the service cannot do it. A page of at most `limit` rows
  // whose keys start with `prefix` and come after `after`; empty: from the
  // first. The service may return fewer and set `more`.
  std::function<
      void(std::string prefix, std::string after, size_t limit, page_callback)>
      page;
  // Optional. Waits at most `wait` for changes of rows whose keys start with
  // `prefix` after `version`; answers without rows if there were none.
  std::function<
      void(std::string prefix, uint64_t version, millis wait, watch_callback)>
      watch;
};

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_TABLE_H_
