// Leader election and fenced writes for the coordinator.
#ifndef CHIVEGLADE_WORKFLOW_FENCED_WRITER_H_
#define CHIVEGLADE_WORKFLOW_FENCED_WRITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/store/table.h"
#include "chiveglade/workflow/leader_row.h"
#include "chiveglade/workflow/succession.h"

namespace chiveglade::workflow {

// Outcome of a write. `kNotApplied`: refused by the store; the role is kept.
// `kFenced`: another process has written the leader row; the role is lost.
enum class write_status { kCommitted, kNotApplied, kFenced };

struct writer_options {
  candidate self;
  succession_options succession;
  // Interval at which a process without the role reads the leader row. A fifth
  // of the default lease.
  millis poll_interval{300};
  // The same while the holder is fitter than this process, which others replace
  // first.
  millis idle_poll_interval{300};
  // Maximum time between two writes of the holder.
  millis renewal_interval{400};
  // Delay before the next attempt to resolve a write with an unknown outcome.
  millis outcome_retry_interval{100};
};

// Holds the leader row or waits to take it over. Every write is a transaction
// conditional on the version of the leader row that this process last wrote, so
// a holder that was paused or partitioned cannot write after another process
// has taken over.
//
// A write without an answer is resolved by reading the row: it was committed if
// the row has its nonce, and it is sent again if the row is unchanged;
// otherwise the role is lost.
//
// Takeover does not depend on synchronised clocks: times are those that the row
// was seen unchanged, or renewed by a holder that is not ready, while the store
// answered reads. MayTakeOver decides. Not thread-safe.
class fenced_writer {
 public:
  struct hooks {
    store::table_service table;
    clock_fn clock;
    random_fn random;
    std::function<void(uint64_t epoch)> gained;
    std::function<void(const char* why)> lost;
    // The leader row was read and names another holder. Optional.
    std::function<void(const leader_row&)> other_holder_seen;
    // The store refused a write without any effect. Optional.
    std::function<void(const reason& why, const store::transaction& change)>
        write_refused;
    // The leader row cannot be decoded; it is taken as held by an unknown
    // process. Optional.
    std::function<void(const reason&)> row_unreadable;
  };

  fenced_writer(writer_options options, hooks hooks);

  // Renews the lease, resolves a pending write, or polls the leader row. Call
  // it about every 100 ms.
  void Tick();
  // Makes the next Tick() read the leader row without waiting for the interval.
  void PollNow() { next_poll_ = {}; }

  bool holds() const { return holds_; }
  bool busy() const { return pending_.has_value(); }
  uint64_t epoch() const { return row_.epoch; }
  // Returns when the latest committed write was sent.
  boot_time last_commit_sent_at() const { return last_commit_sent_at_; }

  // Declares in the leader row, with the next write, that this holder decides.
  void SetReady() { ready_ = true; }

  // Writes rows. Requires holds() and !busy().
  void Write(std::vector<store::mutation> changes,
             std::function<void(write_status)> then);

  // Resigns, so that another process need not wait for the lease to expire.
  // Calls `then` when the role is released or was lost.
  void Release(std::function<void()> then);
  // Resigns in favour of another process, and competes for the role again
  // later. The hook `lost` follows if the store accepts it. Requires holds()
  // and !busy().
  void HandOver(const std::string& successor);

 private:
  struct pending_write {
    store::transaction change;
    leader_row row;
    std::function<void(write_status)> then;
    boot_time sent;
    boot_time retry_at{};
    bool awaiting_answer = false;
    // The outcome must be resolved by reading the leader row.
    bool outcome_unknown = false;
    // An earlier attempt had an unknown outcome and may still be applied.
    bool was_ever_unknown = false;
  };

  // Returns when to read the leader row next, given that it was just read.
  millis PollInterval() const;
  void ReadLeaderRow();
  void OnLeaderRow(const result<std::optional<store::row>>& found);
  void Observe(const result<std::optional<store::row>>& found);
  void TakeOver(uint64_t version);
  void StartWrite(leader_row row,
                  uint64_t version,
                  std::vector<store::mutation> changes,
                  std::function<void(write_status)> then);
  void Send();
  void OnOutcome(const store::commit_outcome& outcome);
  void ResolveOutcome();
  void OnResolved(const result<std::optional<store::row>>& found);
  void FinishWrite(write_status status, uint64_t version);
  void LoseRole(const char* why);
  void WriteRelease();

  writer_options options_;
  hooks hooks_;
  leader_row row_;
  uint64_t version_ = 0;  // of the leader row when last written or read
  bool holds_ = false;
  bool releasing_ = false;
  std::function<void()> released_;  // called when the release is written
  boot_time last_commit_sent_at_{};
  std::optional<pending_write> pending_;

  bool reading_ = false;
  boot_time next_poll_{};
  bool ready_ = false;
  bool observing_ = false;  // whether the two times below are valid
  boot_time unchanged_since_{};
  boot_time unready_since_{};  // first sight of this epoch, or last ready one
  std::shared_ptr<fenced_writer*> self_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_FENCED_WRITER_H_
