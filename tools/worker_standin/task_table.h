// The tasks of the worker stand-in, with simulated progress.
#ifndef CHIVEGLADE_TOOLS_WORKER_STANDIN_TASK_TABLE_H_
#define CHIVEGLADE_TOOLS_WORKER_STANDIN_TASK_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/agent/worker_call.h"
#include "chiveglade/agent/worker_codec.h"
#include "chiveglade/agent/worker_task.h"
#include "chiveglade/core/random.h"
#include "history.h"
#include "task_payload.h"

namespace chiveglade::standin {

struct table_options {
  resources capacity;
  uint64_t boot = 1;
  millis lag{1'000};      // age of the measurements listed
  bool fail_all = false;  // every task fails soon after its start
  // Percent of slowdown that a live task of the second class adds to one of the
  // first, at full throttle.
  std::map<std::pair<std::string, std::string>, uint32_t> slowdowns;
};

// A service replica as the request server sees it. Shared with requests in
// progress, which may outlive the task.
struct replica {
  state::attempt_id attempt;
  std::string service;
  uint32_t slots = 0;
  uint32_t max_connections = 0;
  millis execution{0};
  uint32_t slowdown_pct = 100;
  uint32_t in_use = 0;
  uint32_t open_connections = 0;
  bool live = true;
};

// A checkpoint to write to the object store, or to read from it.
struct checkpoint_job {
  state::attempt_id attempt;
  std::string key;
  millis work{0};
  bool read = false;
};

// Single-threaded; time is passed in. Leases and the expiry of start calls are
// enforced; a breach of the capacity is only recorded in the history.
class task_table {
 public:
  task_table(table_options options, history& past, random_fn random);

  agent::worker_call_outcome Handle(const agent::worker_call& call,
                                    boot_time now);
  agent::worker_listing List(boot_time now);

  // Ends what has lapsed, stopped or finished by `now` and moves progress on.
  // To be called at least every 20 ms.
  void Advance(boot_time now);

  // Checkpoints to write or read now, each handed out once. Each must be
  // followed by OnCheckpoint with the work it holds, or without on an error,
  // after which it is handed out again.
  std::vector<checkpoint_job> TakeCheckpointJobs();
  void OnCheckpoint(const checkpoint_job& job,
                    std::optional<millis> work,
                    boot_time now);

  // A live replica of the service, or null.
  std::shared_ptr<replica> FindReplica(const std::string& service) const;

  uint64_t boot() const { return options_.boot; }

 private:
  struct sample {
    boot_time at{};
    millis work{0};
    uint32_t slowdown_pct = 0;
    resources used;
  };
  struct entry {
    agent::worker_task task;
    task_payload payload;
    std::string klass;
    std::shared_ptr<replica> serves;
    double work_ms = 0;
    uint32_t checkpoints = 0;  // number made so far
    bool restoring = false;
    bool checkpoint_wanted = false;
    bool checkpoint_under_way = false;
    boot_time checkpoint_ready{};  // when the one wanted has been made
    bool fails = false;
    boot_time advanced{};
    std::deque<sample> samples;
  };

  agent::worker_call_outcome Start(const agent::worker_call& call,
                                   boot_time now);
  agent::worker_call_outcome Change(const agent::worker_call& call,
                                    boot_time now);
  void CheckStart(const agent::worker_call& call, boot_time now);
  void AdvanceTask(entry& what, boot_time now);
  void Measure(entry& what, boot_time now);
  void CheckEnd(entry& what, boot_time now);
  void EndTask(entry& what,
               agent::worker_state how,
               const std::string& detail,
               boot_time at);
  uint32_t Slowdown(const entry& of) const;
  agent::worker_task Listed(const entry& what, boot_time now) const;

  table_options options_;
  history& past_;
  random_fn random_;
  std::map<state::attempt_id, entry> tasks_;
  std::map<state::task_id, uint32_t> newest_;
};

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_WORKER_STANDIN_TASK_TABLE_H_
