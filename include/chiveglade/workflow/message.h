// Messages between the coordinator and the runners. One runner runs on each VM,
// next to the VM's worker.
#ifndef CHIVEGLADE_WORKFLOW_MESSAGE_H_
#define CHIVEGLADE_WORKFLOW_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/core/result.h"
#include "chiveglade/workflow/interference_model.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// Longest message between processes, encoded. A longer one is rejected.
constexpr size_t kMaxMessageBytes = size_t{1024} * 1024;

// How a run ended. Only kFailed counts as an attempt.
enum class run_result : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,          // its lease expired
  kGangBroken,      // another member of its gang ended
  kGangIncomplete,  // the other members of its gang did not start
  kRefused,         // the worker never started it and cannot start it any more
};

const char* ToString(run_result in);

// A run that the worker lists as running or that the runner is starting.
struct run_status {
  run_key run;
  bool started = false;    // true if the worker lists the run
  uint32_t percent = 0;    // share of the work that is done
  std::string checkpoint;  // the newest one; empty if there is none
  // Over the last half second: tail latency in milliseconds for a serving task,
  // millicores in use for any other. Negative if unknown.
  int32_t load = -1;
  uint32_t pace = 100;  // throttle, in percent of full speed

  friend bool operator==(const run_status&, const run_status&) = default;
};

// An entry of the worker's list of ended runs. The worker keeps it until it is
// acknowledged.
struct run_end {
  uint64_t number = 0;  // ascending within an incarnation of the worker
  run_key run;
  run_result how = run_result::kStopped;
  std::string checkpoint;

  friend bool operator==(const run_end&, const run_end&) = default;
};

// A run that never started and can no longer start.
struct run_refusal {
  run_key run;
  std::string why;

  friend bool operator==(const run_refusal&, const run_refusal&) = default;
};

enum class worker_phase : uint8_t {
  // No heartbeat yet, so capacity and service are unknown. Also while the
  // worker refuses connections, since its runs may go on.
  kUnknown,
  kReady,
  kDraining,  // accepts no new runs
  kGone,      // has exited, or its lease is over; runs nothing
};

// A runner's periodic report on its VM.
struct report {
  std::string vm;
  std::string address;             // where the runner accepts orders
  std::string runner_incarnation;  // unique per runner process
  uint64_t sequence = 0;           // ascending within `runner_incarnation`
  int64_t boot_clock_ms = 0;       // the VM's boot clock; orders echo it
  uint64_t epoch = 0;              // epoch of the newest coordinator known
  // The last report of this process that the coordinator of `epoch` has
  // answered; 0: none.
  uint64_t answered = 0;

  // worker_heartbeat::incarnation; 0 if unknown.
  int64_t worker_incarnation = 0;
  worker_phase phase = worker_phase::kUnknown;
  std::string instance;  // the worker's own name for this incarnation
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  millis remaining{0};  // kDraining: least time until the worker exits

  // True if the report carries only ends and refusals: `runs` is empty, and the
  // list of the last full report still holds.
  bool omits_runs = false;
  // True if `runs` is the worker's complete list, read under `epoch`.
  bool complete = false;
  std::vector<run_status> runs;
  std::vector<run_end> ends;
  std::vector<run_refusal> refusals;

  friend bool operator==(const report&, const report&) = default;
};

// How old the lists of a report may be if it is `complete`.
constexpr millis kMaxListAge{1'500};

struct start_order {
  run_key run;
  std::string payload;
  std::string checkpoint;  // to resume from; empty: start from scratch
  std::string ticket;      // from the policy service; empty if none is needed
  std::string image;
  bool best_effort = false;
  int64_t millicores = 0;  // requested
  millis latency_target{0};

  friend bool operator==(const start_order&, const start_order&) = default;
};

// Sent by the coordinator to one runner.
struct orders {
  uint64_t epoch = 0;
  std::string coordinator;  // address to which reports are sent
  int64_t worker_incarnation = 0;
  int64_t boot_clock_ms = 0;  // newest report::boot_clock_ms received
  // The starts expire this long after `boot_clock_ms`: from then on the
  // coordinator may have declared the runs of its last grant ended.
  millis valid_for{0};
  uint64_t acknowledged = 0;
  std::vector<start_order> starts;
  std::vector<run_key> stops;
  // Learned weights for the serving images on the VM; sent along with starts.
  std::vector<pair_weight> weights;

  friend bool operator==(const orders&, const orders&) = default;
};

// The coordinator's reply to a report.
struct report_reply {
  uint64_t epoch = 0;
  // How long all runs on the VM may continue, from the time at which the report
  // was sent. 0 grants nothing.
  millis grant{0};
  // The incarnation whose ends `acknowledged` refers to.
  int64_t worker_incarnation = 0;
  uint64_t acknowledged = 0;  // ends up to this number are durably stored
  // Orders that calls to the runner do not deliver; at most one message.
  std::vector<orders> undelivered = {};

  friend bool operator==(const report_reply&, const report_reply&) = default;
};

// Upper bound of orders::valid_for. A delayed order must not start a task that
// has since been declared ended, nor in a data centre that has since been taken
// out of service.
constexpr millis kStartValidity{2'000};

// Lease that a start call to a worker asks for. A worker refuses a start whose
// lease is over, so this bounds how late it may carry one out. Lease calls,
// which follow within about a second, prolong it.
constexpr millis kStartLease{2'500};

// CBOR encodings. Decoding malformed bytes fails with reason "corrupt".
std::string Encode(const report& in);
std::string Encode(const report_reply& in);
std::string Encode(const orders& in);
result<report> DecodeReport(std::string_view bytes);
result<report_reply> DecodeReportReply(std::string_view bytes);
result<orders> DecodeOrders(std::string_view bytes);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_MESSAGE_H_
