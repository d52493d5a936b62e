// What became of one job, read from the lines that processes logged.
#ifndef CHIVEGLADE_OBSERVE_TIMELINE_H_
#define CHIVEGLADE_OBSERVE_TIMELINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/observe/log.h"

namespace chiveglade::observe {

// A line of an event_log.
struct log_event {
  int64_t unix_ms = 0;  // by the clock of the process's VM
  std::string event;
  std::string process;
  log_fields fields;  // the others, in their order

  // The value of a field, empty if there is none.
  std::string_view Find(std::string_view key) const;

  friend bool operator==(const log_event&, const log_event&) = default;
};

// Reads a line of the form that event_log writes; a prefix, as collectors of
// logs add, is skipped. Nothing if it is not such a line.
std::optional<log_event> ParseLogLine(std::string_view line);

// Time that a job lost, or spent, for one reason.
struct time_share {
  std::string cause;  // see docs/OPERATIONS.md
  std::string where;  // the VM or process, if there is one
  millis time{0};

  friend bool operator==(const time_share&, const time_share&) = default;
};

struct timeline_entry {
  log_event line;
  int64_t order_ms = 0;  // its time once causes come before effects
  bool marked = false;   // it shows what cost the job its objective

  friend bool operator==(const timeline_entry&,
                         const timeline_entry&) = default;
};

struct explanation {
  std::string outcome;  // "completed", "failed", "cancelled", "refused",
                        // "unfinished"
  millis late{0};       // beyond the objective; below zero: it was met
  std::string cause;    // what decided it; "in_time" if nothing was lost
  std::string detail;   // for people
  // The time from acceptance to the end, along the chain of runs that decided
  // when the job ended, longest first.
  std::vector<time_share> shares;
  std::vector<timeline_entry> entries;

  friend bool operator==(const explanation&, const explanation&) = default;
};

// Collects the lines that may matter for one job.
class timeline {
 public:
  explicit timeline(std::string job) : job_(std::move(job)) {}

  void Add(const log_event& line);
  // True if a line about the job was seen.
  bool found() const { return !own_.empty(); }
  explanation Explain() const;

 private:
  bool IsOwn(const log_event& line) const;

  std::string job_;
  std::vector<log_event> own_;
  std::vector<log_event> context_;  // about VMs, the coordinator and the store
};

}  // namespace chiveglade::observe

#endif  // CHIVEGLADE_OBSERVE_TIMELINE_H_
