// Messages between the coordinator and the runners beside the workers.
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

// How a run ended. Only kFailed counts as an attempt.
enum class run_result : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,          // its lease ran out
  kGangBroken,      // another member of its gang ended
  kGangIncomplete,  // the other members of its gang did not come
  kRefused,         // the worker never started it and never will
};

const char* ToString(run_result in);

// A run that a worker lists as running, or that the runner is starting.
struct run_status {
  run_key run;
  bool started = false;    // listed by the worker
  uint32_t percent = 0;    // of the work that is done
  std::string checkpoint;  // newest; empty: none
  // Tail latency in milliseconds for a task that serves, else millicores in
  // use, over the last half second; negative: not known.
  int32_t load = -1;
  uint32_t pace = 100;  // share in percent at which it is let work

  friend bool operator==(const run_status&, const run_status&) = default;
};

// An end in the worker's list, which keeps it until it is acknowledged.
struct run_end {
  uint64_t number = 0;  // ascending in a life of the worker
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
  kUnknown,  // nothing heard of its size and service yet
  kReady,
  kDraining,  // starts nothing more
  kGone,      // has ended, and runs nothing
};

// What a runner says about its VM.
struct report {
  std::string vm;
  std::string address;             // where the runner takes orders
  std::string runner_incarnation;  // identifies the life of the runner process
  uint64_t sequence = 0;           // ascending in that life
  int64_t tick_ms = 0;             // the VM's boot clock, returned in orders
  uint64_t epoch = 0;              // newest coordinator heard of

  int64_t worker_incarnation = 0;  // start of the worker's life; identifies it
  worker_phase phase = worker_phase::kUnknown;
  std::string instance;  // the worker's own name for its life
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  resources capacity;
  millis remaining{0};  // kDraining: at least so long until it goes

  // True if only ends and refusals are news: `runs` is left out, and what the
  // last report said of them stands.
  bool omits_runs = false;
  // True if `runs` is the worker's whole list as read under `epoch`.
  bool complete = false;
  std::vector<run_status> runs;
  std::vector<run_end> ends;
  std::vector<run_refusal> refusals;

  friend bool operator==(const report&, const report&) = default;
};

// What the coordinator answers to a report.
struct report_reply {
  uint64_t epoch = 0;
  // How long from sending the report everything on the VM may go on running.
  millis grant{0};
  int64_t worker_incarnation = 0;  // the life that `acknowledged` is about
  uint64_t acknowledged = 0;       // ends up to here are durable

  friend bool operator==(const report_reply&, const report_reply&) = default;
};

struct start_order {
  run_key run;
  std::string payload;
  std::string checkpoint;  // resume from here; empty: from the start
  std::string ticket;      // of the policy service; empty: none
  std::string image;
  bool best_effort = false;
  int64_t millicores = 0;  // asked for
  millis latency_target{0};

  friend bool operator==(const start_order&, const start_order&) = default;
};

// Sent by the coordinator to one runner.
struct orders {
  uint64_t epoch = 0;
  std::string coordinator;  // address that reports go to
  int64_t worker_incarnation = 0;
  int64_t tick_ms = 0;  // newest tick received from the runner
  // The starts are void this long after the tick: by then the coordinator may
  // have declared over what it granted last.
  millis valid_for{0};
  uint64_t acknowledged = 0;
  std::vector<start_order> starts;
  std::vector<run_key> stops;
  // What is known of the serving images on the VM, with orders to start.
  std::vector<pair_weight> weights;

  friend bool operator==(const orders&, const orders&) = default;
};

// An order to start is void this long after the tick that it carries, so an
// order that was held up cannot start a task elsewhere declared over, nor in a
// data centre taken out of service since.
constexpr millis kStartValidity{2'000};

// Compact binary forms. Reading gives "corrupt" as the reason.
std::string Encode(const report& in);
std::string Encode(const report_reply& in);
std::string Encode(const orders& in);
result<report> DecodeReport(std::string_view bytes);
result<report_reply> DecodeReportReply(std::string_view bytes);
result<orders> DecodeOrders(std::string_view bytes);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_MESSAGE_H_
