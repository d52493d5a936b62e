// Settings of one process, read from a JSON file at start.
#ifndef CHIVEGLADE_CONFIG_SETTINGS_H_
#define CHIVEGLADE_CONFIG_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/config/problem.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"

namespace chiveglade::config {

// An IP address and TCP port. Names are not resolved.
struct endpoint {
  std::string ip;
  uint16_t port = 0;
  friend bool operator==(const endpoint&, const endpoint&) = default;
};

// "ip:port", or "[ip]:port" for IPv6.
std::string ToString(const endpoint& at);
std::optional<endpoint> ParseEndpoint(const std::string& text);

// Limits of a process for clients that nobody controls.
struct admission_settings {
  // Of the machine; 0: asked of the system.
  double memory_mb = 0;
  double max_fds = 0;
  // Lowers the share of the memory for what is being received and sent; 0: the
  // share as it is.
  uint32_t receive_budget_kb = 0;
  uint32_t max_header_fields = 4'096;
  uint32_t max_chunk_extension_bytes = 4'096;
  uint32_t connections_per_address = 0;  // 0: not limited
  millis receive_stall{5'000};
  millis request_time{10'000};
  millis send_time{10'000};
  friend bool operator==(const admission_settings&,
                         const admission_settings&) = default;
};

// Settings of `chiveglade entry`.
struct entry_settings {
  std::string name;  // unique among entries that run at the same time
  std::string data_centre;
  endpoint caller_listen;       // HTTP/1.1 from callers
  endpoint operator_listen;     // HTTP/1.1 from operators, metrics, status
  endpoint peer_listen;         // HTTP/2 from agents
  std::vector<endpoint> table;  // the platform's table service
  std::vector<endpoint> object_store;  // the platform's object store
  uint32_t threads = 2;                // event loop threads
  millis store_timeout{1'000};
  millis control_poll{1'000};   // how often control rows are read
  millis append_interval{100};  // group commit of the journal
  millis scheduler_lease{
      3'000};  // silence after which another entry takes over
  uint32_t open_requests = 4'096;  // most requests forwarded at once
  size_t max_body_bytes = size_t{64} * 1024 * 1024;
  size_t max_header_bytes = size_t{16} * 1024;
  millis shutdown_grace{30'000};
  admission_settings admission;
  friend bool operator==(const entry_settings&,
                         const entry_settings&) = default;
};

// Settings of `chiveglade agent`.
struct agent_settings {
  std::string vm;
  std::string data_centre;
  std::string rack;
  endpoint peer_listen;           // HTTP/2 request streams from entries
  endpoint status_listen;         // HTTP/1.1 metrics and status
  endpoint worker;                // the worker's control and request address
  std::vector<endpoint> entries;  // where to announce first; a balancer is fine
  resources capacity;
  millis heartbeat{1'000};
  millis worker_poll{500};
  millis worker_lease{
      10'000};  // the worker's own lease, renewed in small steps
  millis shutdown_grace{30'000};
  admission_settings admission;
  friend bool operator==(const agent_settings&,
                         const agent_settings&) = default;
};

// Settings of `chiveglade gateway`.
struct gateway_settings {
  std::string name;  // unique among gateways that run at the same time
  std::string data_centre;
  // HTTP/1.1 from callers and from the balancer; without them the process only
  // stands by as coordinator.
  std::optional<endpoint> caller_listen;
  std::optional<endpoint> ready_listen;
  endpoint peer_listen;     // HTTP/2 from runners and other gateways
  endpoint metrics_listen;  // HTTP/1.1, metrics and status
  std::vector<endpoint> store;
  // Share of a processor of relative speed `processor_speed`, and link of the
  // VM. The fittest gateway coordinates; zero: unknown.
  double processor_share = 0;
  double processor_speed = 1;
  double link_mbps = 0;
  millis store_timeout{600};
  size_t max_row_bytes = size_t{64} * 1024;  // of a value in the store
  millis commit_interval{15};  // shortest time between two writes of progress
  millis leader_lease{1'400};  // silence after which another takes over
  millis run_grant{7'000};     // how long tasks outlive a silent coordinator
  // Time after its acknowledgement within which a change of the operators'
  // settings is in force.
  millis settings_max_age{3'000};
  // Time that the balancer needs to notice a gateway that is not ready.
  millis unready_before_stop{2'500};
  millis shutdown_grace{5'500};
  uint32_t connections = 2'000;  // most callers' connections open at once
  // Lowers the share of the memory for accepted jobs; 0: the share as it is.
  uint32_t accepted_jobs_kb = 0;
  // See coordinator_options and placement_options of the workflow module.
  bool feasible_jobs_first = false;
  bool adaptive_latency_margin = false;
  bool prefer_tolerant_vms = false;
  double initial_interference = 0.08;  // headroom per core
  // Learned interference is kept for the next coordinator.
  bool keep_interference = false;
  // How many times as long a task takes outside its preferred rack; 1: tasks do
  // not wait for a rack.
  double remote_slowdown = 1;
  admission_settings admission;
  friend bool operator==(const gateway_settings&,
                         const gateway_settings&) = default;
};

// Settings of `chiveglade runner`.
struct runner_settings {
  std::string vm;
  std::string data_centre;
  endpoint worker_listen;   // HTTP/1.1, heartbeats of the worker
  endpoint worker;          // where the worker takes calls
  endpoint peer_listen;     // HTTP/2 from the coordinator
  endpoint metrics_listen;  // HTTP/1.1, metrics and status
  std::vector<endpoint> store;
  millis store_timeout{600};
  millis worker_lease{6'000};          // longest lease that the worker gives
  millis report_interval{500};         // longest time between two reports
  double initial_interference = 0.08;  // headroom per core
  millis shutdown_grace{1'500};
  admission_settings admission;
  friend bool operator==(const runner_settings&,
                         const runner_settings&) = default;
};

// Parse and check; every problem is returned, unknown keys are problems.
checked<entry_settings> ParseEntrySettings(const std::string& text,
                                           const std::string& source);
checked<agent_settings> ParseAgentSettings(const std::string& text,
                                           const std::string& source);
checked<gateway_settings> ParseGatewaySettings(const std::string& text,
                                               const std::string& source);
checked<runner_settings> ParseRunnerSettings(const std::string& text,
                                             const std::string& source);

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_CONFIG_SETTINGS_H_
