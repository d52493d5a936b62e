// What the agent knows about each attempt on its VM.
#ifndef CHIVEGLADE_AGENT_LEDGER_H_
#define CHIVEGLADE_AGENT_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "chiveglade/agent/worker_task.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::agent {

// kOrdered: no start call was made. kStarting: one was made and its effect is
// not known. kRunning, kStopping: the worker has it. kEnded: final.
enum class attempt_phase : uint8_t {
  kOrdered,
  kStarting,
  kRunning,
  kStopping,
  kEnded,
};

struct attempt_record {
  state::attempt_id attempt;
  attempt_phase phase = attempt_phase::kOrdered;
  resources size;
  millis run_lease{0};
  millis stop_grace{0};
  boot_time grant_until{};
  boot_time lease_until{};      // as the worker confirmed it
  state::start_order order;     // kOrdered only
  boot_time not_after{};        // kStarting: the start call expires then
  boot_time order_expires{};    // the scheduler takes it for not run then
  boot_time confirmed_at{};     // a list requested from then on must hold it
  bool call_open = false;       // a call about it has no outcome yet
  bool listed = false;          // in the newest list
  bool live_at_worker = false;  // executes according to the newest list
  bool stop_wanted = false;
  bool stop_sent = false;  // the worker has accepted a stop
  bool hard_stop = false;
  boot_time hard_at{};     // when a wanted stop becomes a hard one
  boot_time call_after{};  // earliest time of the next call about it
  uint32_t throttle_want = 100;
  uint32_t throttle_have = 100;
  state::attempt_report report;
  state::attempt_ended end;
  bool acknowledged = false;
  boot_time acknowledged_at{};
};

// True while the attempt may execute, so that it counts against the capacity.
bool HoldsResources(const attempt_record& record);

// The records by attempt, and for a while the numbers of attempts that are
// over.
class ledger {
 public:
  using record_map = std::map<state::attempt_id, attempt_record>;

  record_map& records() { return records_; }
  const record_map& records() const { return records_; }

  // Null if there is none.
  attempt_record* Find(const state::attempt_id& attempt);

  // The record of the attempt, made if there is none.
  attempt_record& Add(const state::attempt_id& attempt);

  // Sum over every attempt that may execute.
  resources Used() const;

  // The newest attempt number seen for a task, 0 if none is remembered.
  uint32_t NewestNumber(const state::task_id& task) const;

  // True if another attempt of the task may execute.
  bool HasOtherLive(const state::attempt_id& attempt) const;

  // Drops a record and remembers its number for kMemory.
  record_map::iterator Retire(record_map::iterator at, boot_time now);

  // Drops numbers remembered longer than kMemory.
  void Expire(boot_time now);

  // How long numbers of finished attempts are remembered after the
  // acknowledgement. Start orders in answers to heartbeats older than this are
  // dropped without a report, since an attempt that ran could otherwise look
  // like one that never did.
  static constexpr millis kMemory{60'000};

 private:
  struct remembered {
    uint32_t number = 0;
    boot_time until{};
  };

  record_map records_;
  std::map<state::task_id, remembered> over_;
  std::deque<std::pair<boot_time, state::task_id>> over_order_;
};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_LEDGER_H_
