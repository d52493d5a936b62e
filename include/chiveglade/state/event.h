// The transitions of the durable state. A journal record is a list of these.
#ifndef CHIVEGLADE_STATE_EVENT_H_
#define CHIVEGLADE_STATE_EVENT_H_

#include <string>
#include <variant>
#include <vector>

#include "chiveglade/core/resources.h"
#include "chiveglade/state/ids.h"
#include "chiveglade/state/job.h"

namespace chiveglade::state {

struct job_submitted {
  job_spec spec;
  friend bool operator==(const job_submitted&, const job_submitted&) = default;
};

// Pending tasks become cancelled; running ones are asked to stop.
struct job_cancelled {
  std::string job;
  friend bool operator==(const job_cancelled&, const job_cancelled&) = default;
};

// Sets the reason why a job is parked; an empty reason releases it.
struct job_parked {
  std::string job;
  std::string why;
  friend bool operator==(const job_parked&, const job_parked&) = default;
};

// Changes the number of tasks of a service's job. Tasks above the new number
// are cancelled; new ones are pending.
struct job_resized {
  std::string job;
  uint32_t tasks = 0;
  friend bool operator==(const job_resized&, const job_resized&) = default;
};

// Removes a job all of whose tasks have ended. Its name stays taken.
struct job_retired {
  std::string job;
  friend bool operator==(const job_retired&, const job_retired&) = default;
};

// Gives an attempt the right to start on a VM. Only valid if the task is
// pending, the number is the next one, and the VM has room.
struct attempt_granted {
  attempt_id attempt;
  vm_id vm;
  friend bool operator==(const attempt_granted&,
                         const attempt_granted&) = default;
};

// The VM confirmed that the attempt is executing.
struct attempt_running {
  attempt_id attempt;
  friend bool operator==(const attempt_running&,
                         const attempt_running&) = default;
};

// The attempt is to checkpoint and stop. It still holds its VM.
struct attempt_stopping {
  attempt_id attempt;
  std::string why;  // "data_centre_out", "preempted", "interference", ...
  friend bool operator==(const attempt_stopping&,
                         const attempt_stopping&) = default;
};

enum class attempt_end : uint8_t {
  kFinished,  // the task is complete
  kFailed,    // it failed by itself; counted against max_failures
  kStopped,   // checkpointed or stopped on request; pending again
  kNotRun,    // never executed: the start was refused or expired; pending again
  kLost,      // known to have ended with its VM or its lease; pending again
};

// The attempt is known to have ended. Only valid for the newest attempt of the
// task, while it holds its VM. A second report of the same end is ignored by
// the caller before it becomes an event.
struct attempt_ended {
  attempt_id attempt;
  attempt_end how = attempt_end::kFinished;
  std::string checkpoint;  // object key; empty: keep the one before
  millis work_done{0};     // work in that checkpoint; ignored without one
  std::string detail;
  friend bool operator==(const attempt_ended&, const attempt_ended&) = default;
};

// A VM announced itself. Replaces an older incarnation of the same name, whose
// attempts must have ended in earlier events.
struct vm_joined {
  vm_id vm;
  std::string data_centre;
  std::string rack;
  resources capacity;
  friend bool operator==(const vm_joined&, const vm_joined&) = default;
};

// A VM without attempts is forgotten.
struct vm_left {
  vm_id vm;
  friend bool operator==(const vm_left&, const vm_left&) = default;
};

// An operator's drain of one VM, by name so that it survives a restart.
struct vm_drained {
  std::string name;
  bool drained = true;
  friend bool operator==(const vm_drained&, const vm_drained&) = default;
};

// Set aside because it fails what it starts; cleared with `quarantined` false.
// `probes` counts how often it has been tried again.
struct vm_quarantined {
  std::string name;
  bool quarantined = true;
  uint32_t probes = 0;
  friend bool operator==(const vm_quarantined&,
                         const vm_quarantined&) = default;
};

// A command row was absorbed; its outcome is told to whoever asked.
struct command_done {
  std::string command;  // the command's idempotency key
  bool accepted = true;
  std::string detail;
  friend bool operator==(const command_done&, const command_done&) = default;
};

using event = std::variant<job_submitted,
                           job_cancelled,
                           job_parked,
                           job_resized,
                           job_retired,
                           attempt_granted,
                           attempt_running,
                           attempt_stopping,
                           attempt_ended,
                           vm_joined,
                           vm_left,
                           vm_drained,
                           vm_quarantined,
                           command_done>;

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_EVENT_H_
