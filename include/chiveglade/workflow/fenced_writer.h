// The one process that may write the progress of jobs.
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

namespace chiveglade::workflow {

inline constexpr char kLeaderKey[] = "leader/current";

// Value of the leader row. Each write of the holder changes it, so its version
// is the fence of the next write.
struct leader_row {
  uint64_t epoch = 0;
  std::string holder;
  std::string address;  // where the holder takes reports
  std::string nonce;    // identifies the write
  bool released = false;

  friend bool operator==(const leader_row&, const leader_row&) = default;
};

std::string EncodeLeaderRow(const leader_row& in);
result<leader_row> DecodeLeaderRow(const std::string& text);

enum class write_status { kCommitted, kNotApplied, kFenced };

struct writer_options {
  std::string name;
  std::string address;
  // Time without a write of the holder after which another takes over. Several
  // renewals, so that one slow answer of the store loses nothing.
  millis lease{1'400};
  // Longest time between two writes of a holder.
  millis renew_every{400};
  // Wait before the outcome of a lost answer is looked up again.
  millis settle_every{100};
};

// Holds the leader row, or waits for it. Every write is one transaction on the
// condition that the row is still as this holder wrote it, so a holder that
// was frozen or cut off cannot write after another has taken over. A write
// whose answer was lost is settled by reading the row: it was committed if the
// row carries its nonce, it is repeated if the row is unchanged, else the role
// is lost. Takeover needs no clock agreement: the row must stay unchanged for
// the lease while the store answers. A process that finds its own name in the
// row was the holder in an earlier life, and need not wait. Single thread.
class fenced_writer {
 public:
  struct hooks {
    store::table_service table;
    clock_fn clock;
    random_fn random;
    std::function<void(uint64_t epoch)> gained;
    std::function<void(const char* why)> lost;
    // The leader row was read and names another holder.
    std::function<void(const leader_row&)> other_holder_seen;
  };

  fenced_writer(writer_options options, hooks hooks);

  // To be called every 100 ms or so: renews, settles, or watches the holder.
  void Tick();
  // Reads the row now instead of at the next interval.
  void PollNow() { next_poll_ = {}; }

  bool holds() const { return holds_; }
  bool busy() const { return flight_.has_value(); }
  uint64_t epoch() const { return row_.epoch; }
  // When the last write that was committed was sent.
  boot_time last_commit_sent_at() const { return last_commit_sent_at_; }

  // Writes rows; must hold the role and not be busy.
  void Write(std::vector<store::mutation> changes,
             std::function<void(write_status)> then);

  // Gives the role up, so that another need not wait for the lease.
  void Release(std::function<void()> then);

 private:
  struct flight {
    store::transaction change;
    leader_row row;
    std::function<void(write_status)> then;
    boot_time sent;
    boot_time retry_at{};
    bool waiting = false;
    bool unknown = false;
    bool was_unknown = false;
  };

  void Watch();
  void OnRow(const result<std::optional<store::row>>& found);
  void TakeOver(uint64_t version);
  void Start(leader_row row,
             uint64_t version,
             std::vector<store::mutation> changes,
             std::function<void(write_status)> then);
  void Send();
  void OnOutcome(const store::commit_outcome& outcome);
  void Settle();
  void OnSettled(const result<std::optional<store::row>>& found);
  void End(write_status status, uint64_t version);
  void LoseRole(const char* why);
  void WriteRelease();

  writer_options options_;
  hooks hooks_;
  leader_row row_;
  uint64_t version_ = 0;  // of the row, as last written or read
  bool holds_ = false;
  bool releasing_ = false;
  std::function<void()> released_;  // waits for the release to be written
  boot_time last_commit_sent_at_{};
  std::optional<flight> flight_;

  bool reading_ = false;
  boot_time next_poll_{};
  bool watching_ = false;  // `unchanged_since_` is valid
  boot_time unchanged_since_{};
  std::shared_ptr<fenced_writer*> self_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_FENCED_WRITER_H_
