// The job queues that operators have configured.
#ifndef CHIVEGLADE_WORKFLOW_CATALOGUE_H_
#define CHIVEGLADE_WORKFLOW_CATALOGUE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chiveglade/core/clock.h"

namespace chiveglade::workflow {

// Policy of a queue, which receives the jobs sent to `host` under
// `path_prefix`.
struct queue_policy {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;            // its VMs run the jobs
  uint32_t priority = 0;          // 0 is the highest
  uint32_t attempts = 1;          // failed runs of a task until its job fails
  double objective_factor = 1.0;  // objective: chain of work times this,
  millis latency_target{0};       // and this on top
  bool needs_tickets = false;     // starts need a ticket of the policy service

  friend bool operator==(const queue_policy&, const queue_policy&) = default;
};

struct catalogue {
  uint64_t version = 0;
  std::vector<queue_policy> queues;
  // Largest request body in bytes.
  uint64_t max_body_bytes = 262'144;

  friend bool operator==(const catalogue&, const catalogue&) = default;
};

// The queue for a request, by host and longest prefix; null if there is none.
const queue_policy* FindQueue(const catalogue& in,
                              std::string_view host,
                              std::string_view path);

// The queue with a name; null if there is none.
const queue_policy* FindQueue(const catalogue& in, std::string_view name);

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_CATALOGUE_H_
