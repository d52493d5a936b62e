// Appends to the journal, one conditional transaction at a time.
#ifndef CHIVEGLADE_AUTHORITY_JOURNAL_H_
#define CHIVEGLADE_AUTHORITY_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/authority/rows.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/event.h"
#include "chiveglade/store/table.h"

namespace chiveglade::authority {

// The journal head and its row version, on which the next append is
// conditional.
struct head_row {
  journal_head head;
  uint64_t version = 0;  // 0: there is no journal yet

  friend bool operator==(const head_row&, const head_row&) = default;
};

// Reads the head; a missing row gives a default head at version 0.
void ReadHeadRow(const store::table_service& table,
                 const std::function<void(result<head_row>)>& then);

// What one append writes besides the head.
struct append_batch {
  std::vector<state::event> events;
  std::vector<store::condition> conditions;    // data centre rows
  std::vector<std::string> executed_commands;  // command rows to delete
  // Record up to which a newer snapshot is stored.
  std::optional<uint64_t> snapshot;
  uint64_t manifest = 0;  // manifest version applied
  bool release = false;
};

// `kCommitted`: durable. `kStale`: one of the batch's own conditions did not
// hold; nothing was written. `kNotApplied`: the store refused it; nothing was
// written. `kFenced`: another entry has written the head, so this one no longer
// holds the role.
enum class append_status { kCommitted, kStale, kNotApplied, kFenced };
using append_callback = std::function<void(append_status)>;

struct journal_options {
  std::string writer;
  std::string address;
  // Interval between attempts to resolve an unknown outcome while the store is
  // unreachable.
  millis retry_interval{200};
};

// Writer of the journal. An append whose outcome is unknown stays in flight
// until reading the head resolves it: if the head carries the append's nonce it
// is committed; if the head is unchanged the same transaction is sent again
// (its condition makes a late first copy harmless); otherwise the writer is
// fenced. Not thread-safe; table callbacks that arrive after the object is
// destroyed are ignored.
class journal {
 public:
  journal(journal_options options,
          store::table_service table,
          clock_fn clock,
          random_fn random);

  // Starts an epoch on top of `base` by appending an empty record.
  void TakeOver(const head_row& base, append_callback then);

  // Appends on top of the last committed head. Must not be called while busy.
  void Append(const append_batch& batch, append_callback then);

  // Continues to resolve an unknown outcome. Must be called regularly.
  void Tick();

  bool busy() const { return in_flight_.has_value(); }
  const journal_head& head() const { return committed_head_.head; }
  uint64_t head_version() const { return committed_head_.version; }
  // When the last committed append was first sent.
  boot_time last_append_sent_at() const { return last_append_sent_at_; }
  // Number of commits whose answer was lost.
  uint64_t unknown_outcomes() const { return unknown_outcomes_; }

  // More than one, so that the deletion of old records keeps up with appends.
  static constexpr uint64_t kMaxDeletedRecordsPerAppend = 8;

 private:
  struct in_flight_append {
    store::transaction change;
    journal_head head;
    append_callback then;
    boot_time sent_at;
    boot_time retry_at{};
    bool awaiting_table = false;  // a table call has not been answered yet
    // The last commit's answer was lost: read the head.
    bool outcome_unknown = false;
    bool had_unknown_outcome = false;  // an earlier copy may still be applied
    bool condition_failed = false;     // a condition of the batch itself failed
  };

  void Start(const append_batch& batch, uint64_t epoch, append_callback then);
  void Send();
  void ReadBackHead();
  void OnCommit(const store::commit_outcome& outcome);
  void OnHeadRead(const result<head_row>& found);
  void Finish(append_status status, uint64_t version);
  void RetryLater();
  std::string MakeNonce();

  journal_options options_;
  store::table_service table_;
  clock_fn clock_;
  random_fn random_;
  head_row committed_head_;
  std::optional<in_flight_append> in_flight_;
  boot_time last_append_sent_at_{};
  uint64_t unknown_outcomes_ = 0;
  std::shared_ptr<journal*> self_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_JOURNAL_H_
