// Cancellations of jobs that have not been stored.
#ifndef CHIVEGLADE_WORKFLOW_EARLY_CANCELLATIONS_H_
#define CHIVEGLADE_WORKFLOW_EARLY_CANCELLATIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "chiveglade/core/clock.h"
#include "chiveglade/store/table.h"

namespace chiveglade::workflow {

// How long an early cancellation keeps its job out. Longer than the kernel goes
// on to send what a closed connection has left.
constexpr millis kEarlyCancellationRetention{150'000};

// Limits the early cancellations that one gateway stores, since requests to
// cancel jobs that never were may come without end. Single thread.
class early_cancellation_limit {
 public:
  // At most `limit` within kEarlyCancellationRetention.
  explicit early_cancellation_limit(size_t limit) : limit_(limit) {}

  // Returns true, and counts it, if another one may be stored now.
  bool Take(boot_time now);

 private:
  const size_t limit_;
  std::deque<boot_time> taken_;  // oldest first
};

// The early cancellations that a coordinator has found in the store, until they
// are deleted. Their age counts from when this coordinator found them, so a
// clock that is wrong cannot shorten it. Single thread.
class early_cancellations {
 public:
  // A row that cancels a job without rows of its own; replaces what was known.
  void Add(const std::string& id, uint64_t version, boot_time now);
  bool Contains(const std::string& id) const { return known_.contains(id); }
  // The job has been accepted, which deleted the row.
  void Remove(const std::string& id);

  // Returns the transaction that deletes rows older than the retention, of at
  // most `max_rows` jobs in one part of the store; without mutations if there
  // are none. Call one of the two functions below with its outcome.
  store::transaction TakeExpired(boot_time now, size_t max_rows);
  void OnDeleted();
  // `conflicting_key` is that of the condition that did not hold; empty: the
  // transaction is to be sent again.
  void OnNotDeleted(const std::string& conflicting_key);

  size_t size() const { return known_.size(); }

 private:
  struct cancellation {
    uint64_t version = 0;
    boot_time found_at{};
  };

  std::map<std::string, cancellation> known_;  // by ID of the job
  std::set<std::pair<boot_time, std::string>> by_age_;
  // IDs and versions in the transaction under way.
  std::map<std::string, uint64_t> deleting_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_EARLY_CANCELLATIONS_H_
