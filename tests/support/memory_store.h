// In-memory table and object store with scripted faults, for tests and for the
// platform stand-in.
#ifndef CHIVEGLADE_TESTS_SUPPORT_MEMORY_STORE_H_
#define CHIVEGLADE_TESTS_SUPPORT_MEMORY_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/store/object_store.h"
#include "chiveglade/store/table.h"

namespace chiveglade::testing {

// What happens to one call. `kRefuse`: answered as not applied, without effect.
// `kLoseRequest`: no effect, the caller sees an unknown outcome (for reads a
// reason). `kLoseAnswer`: takes effect, the caller sees an unknown outcome.
// `kHold`: nothing happens until ReleaseHeld or DropHeld. `kDelay`: the caller
// sees an unknown outcome now, and the call, which must be a commit, takes
// effect at ReleaseHeld.
enum class store_fault {
  kNone,
  kRefuse,
  kLoseRequest,
  kLoseAnswer,
  kHold,
  kDelay,
};

// Decides the fault of a call; `call` is "read", "scan", "page", "watch",
// "commit", "put" or "get", `key` its key, prefix, or first mutated key.
using store_fault_fn =
    std::function<store_fault(const std::string& call, const std::string& key)>;

// A transaction beyond these limits is refused, whenever it is sent.
struct store_limits {
  size_t row_bytes = SIZE_MAX;
  size_t entries = SIZE_MAX;      // conditions and mutations
  size_t value_bytes = SIZE_MAX;  // of all rows together
};

// Single-threaded. The hooks returned by table() and objects() refer to this
// object and must not outlive it. Callbacks run before the hook returns, or
// from ReleaseHeld.
class memory_store {
 public:
  store::table_service table();
  store::object_store objects();

  void SetFaults(store_fault_fn faults) { faults_ = std::move(faults); }

  void SetLimits(const store_limits& limits) { limits_ = limits; }

  // Executes held calls in order; their callbacks run now.
  void ReleaseHeld();
  // Ends held calls without effect, as lost requests.
  void DropHeld();
  size_t held() const { return held_.size(); }

  // Direct access without faults.
  store::commit_outcome Commit(const store::transaction& change);
  std::optional<store::row> Read(const std::string& key) const;
  std::vector<store::row> Scan(const std::string& prefix, size_t limit) const;
  const std::map<std::string, std::string>& stored_objects() const {
    return objects_;
  }

  // Watches from before now find their history gone.
  void DropHistory() { oldest_history_ = last_version_ + 1; }
  // Most rows of a page; few, so that tests see several.
  void SetPageRows(size_t rows) { page_rows_ = rows; }

  uint64_t commits() const { return commits_; }
  uint64_t rows_written() const { return rows_written_; }
  uint64_t reads() const { return reads_; }

 private:
  struct held_call {
    std::function<void()> run;
    std::function<void()> drop;
  };

  // Runs `execute` (which may be told to drop its answer) under the fault
  // chosen for the call; `lost` and `refused` answer without effect.
  void Dispatch(const std::string& call,
                const std::string& key,
                const std::function<void(bool lose_answer)>& execute,
                const std::function<void()>& lost,
                const std::function<void()>& refused);

  bool IsWithinLimits(const store::transaction& change) const;

  store_fault_fn faults_;
  store_limits limits_;
  store::row_page Page(const std::string& prefix,
                       const std::string& after,
                       size_t limit) const;
  store::row_changes Changes(const std::string& prefix, uint64_t version) const;

  std::map<std::string, store::row> rows_;
  std::vector<store::row_change> history_;
  uint64_t oldest_history_ = 0;
  std::map<std::string, std::string> objects_;
  std::vector<held_call> held_;
  size_t page_rows_ = 4;
  uint64_t last_version_ = 0;
  uint64_t commits_ = 0;
  uint64_t rows_written_ = 0;
  uint64_t reads_ = 0;
};

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_SUPPORT_MEMORY_STORE_H_
