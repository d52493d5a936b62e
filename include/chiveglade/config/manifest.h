// The manifest: what operators declare and publish as one versioned document.
#ifndef CHIVEGLADE_CONFIG_MANIFEST_H_
#define CHIVEGLADE_CONFIG_MANIFEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chiveglade/config/problem.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/state/job.h"

namespace chiveglade::config {

struct data_centre_spec {
  std::string name;
  std::string region;
  friend bool operator==(const data_centre_spec&,
                         const data_centre_spec&) = default;
};

// A customer or team whose work is accounted together.
struct tenant_spec {
  std::string name;
  resources quota;  // most that the tenant's live attempts may hold in all
  friend bool operator==(const tenant_spec&, const tenant_spec&) = default;
};

// A kind of work that behaves alike on a shared VM. Interference is learned for
// pairs of these.
struct workload_class {
  std::string name;
  bool latency_critical = false;
  millis run_lease{900'000};  // default for jobs of the class
  millis stop_grace{3'000};   // time to checkpoint when asked to stop
  // For latency-critical classes: slowdown in percent (100 is undisturbed)
  // above which a neighbour is throttled.
  uint32_t slowdown_limit_pct = 120;
  friend bool operator==(const workload_class&,
                         const workload_class&) = default;
};

// How requests of one kind are queued and when they are given up.
struct request_class {
  std::string name;
  uint32_t rank = 0;                  // 0 is served first
  uint32_t queue_limit = 64;          // waiting requests at one agent
  millis deadline{10'000};            // for requests that bring no deadline
  uint32_t max_slot_share_pct = 100;  // of a target's slots, in percent
  friend bool operator==(const request_class&, const request_class&) = default;
};

// Requests whose path starts with `prefix` and whose method matches go to
// `service`. The longest prefix wins; an empty method matches every method.
struct route_spec {
  std::string prefix;
  std::string method;
  std::string service;
  std::string klass;        // name of a request_class
  bool idempotent = false;  // may be executed more than once
  friend bool operator==(const route_spec&, const route_spec&) = default;
};

// A latency-critical service: replicas that answer requests.
struct service_spec {
  std::string name;
  std::string tenant;
  std::string klass;  // name of a workload_class
  uint32_t replicas = 1;
  resources per_replica;
  uint32_t slots = 8;         // requests that one replica executes at once
  uint32_t connections = 64;  // connections that one replica accepts
  uint32_t max_per_vm = 1;
  uint32_t max_per_rack = 0;              // 0: no limit
  std::vector<std::string> data_centres;  // allowed ones; empty: any
  friend bool operator==(const service_spec&, const service_spec&) = default;
};

// Value type. A manifest that Parse returned has been checked in full.
struct manifest {
  std::vector<data_centre_spec> data_centres;
  resources largest_vm;  // no declared task may be larger
  std::vector<tenant_spec> tenants;
  std::vector<workload_class> classes;
  std::vector<request_class> request_classes;
  std::vector<service_spec> services;
  std::vector<route_spec> routes;
  std::vector<state::job_spec> jobs;

  friend bool operator==(const manifest&, const manifest&) = default;
};

// Largest manifest accepted, in bytes.
constexpr size_t kMaxManifestBytes = size_t{8} * 1024 * 1024;

// Parses and checks a manifest. `source` names the file in problems. Returns
// every problem found, not only the first.
checked<manifest> ParseManifest(const std::string& text,
                                const std::string& source);

// Parses and checks one job as it is submitted, against the manifest in force.
checked<state::job_spec> ParseJob(const std::string& text,
                                  const std::string& source,
                                  const manifest& in);

// The JSON text of a job as ParseJob reads it.
std::string WriteJob(const state::job_spec& job);

// The canonical JSON text of a manifest; parsing it gives an equal value.
std::string WriteManifest(const manifest& value);

// Looks up by name; null if there is none.
const tenant_spec* FindTenant(const manifest& in, const std::string& name);
const workload_class* FindClass(const manifest& in, const std::string& name);
const request_class* FindRequestClass(const manifest& in,
                                      const std::string& name);
const service_spec* FindService(const manifest& in, const std::string& name);

// The name of the job that holds a service's replicas: "service:" + name.
std::string ServiceJobName(const std::string& service);

// The job that holds a service's replicas.
state::job_spec ServiceJob(const manifest& in, const service_spec& service);

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_CONFIG_MANIFEST_H_
