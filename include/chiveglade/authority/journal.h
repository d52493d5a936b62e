// Appends to the journal: one conditional transaction at a time.
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

// A head as read, with the version that the next append is conditional on.
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
  std::vector<store::condition> conditions;  // data centre rows
  std::vector<std::string> absorbed;         // command rows to delete
  std::optional<uint64_t> snapshot;          // newer snapshot to record
  uint64_t manifest = 0;                     // manifest version applied
  bool release = false;
};

// `kCommitted`: durable. `kStale`: one of the batch's own conditions did not
// hold; nothing was written. `kNotApplied`: the store refused it; nothing was
// written. `kLost`: another entry has written the head.
enum class append_status { kCommitted, kStale, kNotApplied, kLost };
using append_callback = std::function<void(append_status)>;

struct journal_options {
  std::string writer;
  std::string address;
  // Wait before a lost answer is settled again while the store is unreachable.
  millis retry_after{200};
};

// The writing end of the journal. An append whose outcome is unknown stays in
// flight until it is settled: if the head carries the append's nonce it is
// committed, if the head is unchanged the same transaction is sent again (its
// condition makes a late first copy harmless), else authority is lost. Single
// thread; callbacks of the table that arrive later than the object's end are
// ignored.
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

  // Continues settling; to be called regularly.
  void Tick();

  bool busy() const { return flight_.has_value(); }
  const journal_head& head() const { return base_.head; }
  uint64_t head_version() const { return base_.version; }
  // When the last committed append was first sent.
  boot_time confirmed_send() const { return confirmed_send_; }
  // Appends whose answer was lost at least once.
  uint64_t unknown_outcomes() const { return unknown_outcomes_; }

  // Most old records deleted by one append. More than one, so that deletion
  // catches up with appending.
  static constexpr uint64_t kDeletedPerAppend = 8;

 private:
  struct flight {
    store::transaction change;
    journal_head head;
    append_callback then;
    boot_time sent;
    boot_time retry_at{};
    bool waiting = false;      // for an answer of the table
    bool unknown = false;      // an answer was lost: settle by reading
    bool was_unknown = false;  // an earlier copy may still be on its way
    bool stale = false;        // a condition of the batch itself failed
  };

  void Start(const append_batch& batch, uint64_t epoch, append_callback then);
  void Send();
  void Settle();
  void OnCommit(const store::commit_outcome& outcome);
  void OnHead(const result<head_row>& found);
  void End(append_status status, uint64_t version);
  void RetryLater();
  std::string Nonce();

  journal_options options_;
  store::table_service table_;
  clock_fn clock_;
  random_fn random_;
  head_row base_;
  std::optional<flight> flight_;
  boot_time confirmed_send_{};
  uint64_t unknown_outcomes_ = 0;
  std::shared_ptr<journal*> self_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_JOURNAL_H_
