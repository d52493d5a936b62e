// What agents and the scheduler tell each other in a heartbeat and its answer.
#ifndef CHIVEGLADE_STATE_HEARTBEAT_H_
#define CHIVEGLADE_STATE_HEARTBEAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/state/event.h"
#include "chiveglade/state/ids.h"
#include "chiveglade/state/job.h"

namespace chiveglade::state {

// Version of the messages in this file. A peer with another major version is
// refused with a reason that names both.
constexpr uint32_t kProtocolVersion = 1;

// One service replica that runs beside the agent, with its load.
struct target_load {
  std::string service;
  uint32_t slots = 0;       // requests the replica executes at once
  uint32_t in_use = 0;      // slots busy now
  uint32_t queued = 0;      // requests waiting at the agent
  uint32_t latency_us = 0;  // moving average of the execution time

  friend bool operator==(const target_load&, const target_load&) = default;
};

// An attempt that the worker has now, with its newest (lagged) measurements.
struct attempt_report {
  attempt_id attempt;
  resources used;             // measured use, over the worker's last window
  millis work_done{0};        // progress measured by the worker
  uint32_t slowdown_pct = 0;  // measured run time as a share of the run time
                              // alone: 100 is undisturbed; 0 is unknown
  friend bool operator==(const attempt_report&,
                         const attempt_report&) = default;
};

// An attempt that ended at the agent. Repeated in every heartbeat until the
// scheduler acknowledges it, which it does once the end is durable.
struct end_report {
  attempt_ended end;
  friend bool operator==(const end_report&, const end_report&) = default;
};

// Sent by an agent to the scheduler once a heartbeat period and at once when an
// attempt starts or ends; without `attempts` and `ends` to the other entries.
struct heartbeat {
  uint32_t protocol = kProtocolVersion;
  vm_id vm;
  std::string data_centre;
  std::string rack;
  std::string address;  // "ip:port" where the agent takes request streams
  resources capacity;
  uint64_t sequence = 0;  // grows by one for each heartbeat of an agent process
  int64_t tick = 0;       // the agent's own clock when this was made, ms
  uint64_t manifest_version = 0;
  bool leaving = false;  // takes no new requests
  // True if `attempts` and `ends` were left out because the entry was not known
  // as the scheduler. Absence from such a heartbeat proves nothing.
  bool partial = false;
  // The highest scheduler epoch from which this agent process has had an
  // answer, and the highest tick of its heartbeats that this epoch answered; 0
  // if none. They prove that the message was made after that answer, whatever
  // the delay of the network.
  uint64_t answered_epoch = 0;
  int64_t answered_tick = 0;
  std::vector<target_load> targets;
  std::vector<attempt_report> attempts;
  std::vector<end_report> ends;

  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

// Start an attempt. Valid only while the agent's clock is less than
// kStartValidity past `tick`, the newest tick that the scheduler had seen
// before it asked for the commit. A delayed or repeated order expires by
// itself.
struct start_order {
  attempt_id attempt;
  job_spec spec;
  std::string checkpoint;
  millis work_done{0};
  int64_t tick = 0;
  friend bool operator==(const start_order&, const start_order&) = default;
};

// Checkpoint and stop an attempt; after `grace` it is stopped without.
struct stop_order {
  attempt_id attempt;
  std::string why;
  millis grace{0};
  friend bool operator==(const stop_order&, const stop_order&) = default;
};

// Limit an attempt to a share of its processors, in percent; 100 lifts it.
struct throttle_order {
  attempt_id attempt;
  uint32_t percent = 100;
  friend bool operator==(const throttle_order&,
                         const throttle_order&) = default;
};

// Longest time between an agent's tick and a start that relies on it. Together
// with the delay of the worker's start call it keeps the promise that no task
// starts more than 3 s after its data centre was taken out.
constexpr millis kStartValidity{2'000};

// An entry as agents know it.
struct entry_address {
  std::string name;
  std::string data_centre;
  std::string address;  // "ip:port" for heartbeats
  friend bool operator==(const entry_address&, const entry_address&) = default;
};

// Answer to a heartbeat. Only the scheduler fills in grant, orders and acks;
// `epoch` is 0 from an entry that is not the scheduler.
struct heartbeat_answer {
  uint32_t protocol = kProtocolVersion;
  uint64_t epoch = 0;
  std::string scheduler;  // address of the entry that schedules; may be empty
  std::vector<entry_address> entries;
  uint64_t manifest_version = 0;
  // Whether the VM's data centre or the VM itself is out of service, with the
  // version of the row that says so; an older version never replaces a newer.
  bool out_of_service = false;
  uint64_t out_version = 0;
  // How long after the heartbeat's tick attempts may go on running, as a share
  // of each attempt's own run lease that the scheduler could vouch for: the
  // scheduler's last confirmed append was `append_age` before it answered.
  bool grants = false;
  millis append_age{0};
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<throttle_order> throttles;
  // Ends that are durable, and attempts that the agent reported but that the
  // state does not hold on this VM: the agent stops them.
  std::vector<attempt_id> acknowledged;
  std::vector<attempt_id> unknown;

  friend bool operator==(const heartbeat_answer&,
                         const heartbeat_answer&) = default;
};

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_HEARTBEAT_H_
