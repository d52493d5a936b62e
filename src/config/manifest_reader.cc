#include "manifest_reader.h"

namespace chiveglade::config {

namespace {

constexpr int64_t kMaxMillis = 24LL * 60 * 60 * 1000;
constexpr int64_t kMaxTasksPerJob = 100'000;
constexpr size_t kMaxTenants = 10'000;
constexpr size_t kMaxServices = 10'000;
constexpr size_t kMaxJobs = 100'000;

void ReadResources(json_reader& in, resources& out) {
  in.Number("millicores", out.millicores, {0, 1'000'000'000},
            presence::kRequired, "Thousandths of a processor.");
  in.Number("memory_mib", out.memory_mib, {0, int64_t{1} << 40},
            presence::kRequired, "Memory in MiB.");
  in.Number("accelerators", out.accelerators, {0, 1'000'000},
            presence::kOptional, "Number of accelerators.");
}

void ReadDataCentre(json_reader& in, data_centre_spec& out) {
  in.Name("name", out.name, presence::kRequired, "Name of the data centre.");
  in.Name("region", out.region, presence::kRequired, "Region that it is in.");
}

void ReadTenant(json_reader& in, tenant_spec& out) {
  in.Name("name", out.name, presence::kRequired, "Name of the tenant.");
  in.Object("quota", presence::kRequired,
            "Most that the tenant's running tasks may hold together.",
            [&out](json_reader& nested) { ReadResources(nested, out.quota); });
}

void ReadClass(json_reader& in, workload_class& out) {
  in.Name("name", out.name, presence::kRequired, "Name of the class.");
  in.Flag("latency_critical", out.latency_critical,
          "Whether the class is protected from its neighbours.");
  in.Duration("run_lease_ms", out.run_lease, {10'000, kMaxMillis},
              "How long a task may go on running without word from the "
              "scheduler. Long leases survive long outages of the store; short "
              "ones bring an early rerun after the silent failure of a VM.");
  in.Duration("stop_grace_ms", out.stop_grace, {0, 600'000},
              "Time to write a checkpoint when asked to stop.");
  in.Number("slowdown_limit_pct", out.slowdown_limit_pct, {100, 1'000},
            presence::kOptional,
            "Run time in percent of the run time alone above which a neighbour "
            "is throttled.");
}

void ReadRequestClass(json_reader& in, request_class& out) {
  in.Name("name", out.name, presence::kRequired, "Name of the class.");
  in.Number("rank", out.rank, {0, 100}, presence::kOptional,
            "0 is served first.");
  in.Number("queue_limit", out.queue_limit, {0, 100'000}, presence::kOptional,
            "Most requests of the class that wait at one agent.");
  in.Duration("deadline_ms", out.deadline, {1, 3'600'000},
              "Deadline of requests that bring none.");
  in.Number("max_slot_share_pct", out.max_slot_share_pct, {1, 100},
            presence::kOptional,
            "Largest share of a target's slots that the class may use.");
}

void ReadService(json_reader& in, service_spec& out) {
  in.Name("name", out.name, presence::kRequired, "Name of the service.");
  in.Name("tenant", out.tenant, presence::kRequired, "Tenant that owns it.");
  in.Name("class", out.klass, presence::kRequired, "Workload class.");
  in.Number("replicas", out.replicas, {0, 10'000}, presence::kRequired,
            "Number of replicas.");
  in.Object(
      "per_replica", presence::kRequired, "What one replica holds.",
      [&out](json_reader& nested) { ReadResources(nested, out.per_replica); });
  in.Number("slots", out.slots, {1, 10'000}, presence::kOptional,
            "Requests that one replica executes at one time.");
  in.Number("connections", out.connections, {1, 100'000}, presence::kOptional,
            "Connections that one replica accepts.");
  in.Number("max_per_vm", out.max_per_vm, {1, 1'000}, presence::kOptional,
            "Most replicas on one VM.");
  in.Number("max_per_rack", out.max_per_rack, {0, 10'000}, presence::kOptional,
            "Most replicas in one rack; 0 is no limit.");
  in.Names("data_centres", out.data_centres,
           "Data centres that may hold replicas; empty is all of them.");
}

void ReadRoute(json_reader& in, route_spec& out) {
  in.Text("prefix", out.prefix, presence::kRequired,
          "Start of the paths that the route matches; the longest one wins.");
  if (!out.prefix.empty() && out.prefix.front() != '/') {
    in.Problem("prefix", "a path that starts with '/'");
  }
  in.Text("method", out.method, presence::kOptional,
          "Method that the route matches; empty is every method.", 16);
  in.Name("service", out.service, presence::kRequired, "Service that answers.");
  in.Name("class", out.klass, presence::kRequired, "Request class.");
  in.Flag("idempotent", out.idempotent,
          "Whether a request may be executed more than once.");
}

// Reports `value` if it is not in `known`.
void CheckName(const std::set<std::string>& known,
               const std::string& value,
               const std::string& pointer,
               const char* what,
               read_context& context) {
  if (known.count(value) == 0) {
    context.problems.push_back({context.source, pointer, "\"" + value + "\"",
                                std::string("the name of a declared ") + what});
  }
}

// The names of a list; reports those that occur twice.
template <typename T>
std::set<std::string> CollectNames(const std::vector<T>& list,
                                   const std::string& pointer,
                                   read_context& context) {
  std::set<std::string> names;
  for (size_t i = 0; i < list.size(); ++i) {
    if (!names.insert(list[i].name).second) {
      context.problems.push_back(
          {context.source, pointer + "/" + std::to_string(i) + "/name",
           "\"" + list[i].name + "\"", "a name that is used once"});
    }
  }
  return names;
}

std::string ToText(const resources& amount) {
  return std::to_string(amount.millicores) + " millicores, " +
         std::to_string(amount.memory_mib) + " MiB, " +
         std::to_string(amount.accelerators) + " accelerators";
}

void CheckSize(const resources& amount,
               const resources& limit,
               const char* limit_name,
               const std::string& pointer,
               read_context& context) {
  if (!FitsWithin(amount, limit)) {
    context.problems.push_back(
        {context.source, pointer, ToText(amount),
         std::string("at most ") + limit_name + ": " + ToText(limit)});
  }
}

template <typename T>
std::set<std::string> NamesOf(const std::vector<T>& list) {
  std::set<std::string> names;
  for (const auto& item : list) {
    names.insert(item.name);
  }
  return names;
}

void CheckDataCentres(const std::set<std::string>& known,
                      const std::vector<std::string>& used,
                      const std::string& pointer,
                      read_context& context) {
  for (size_t i = 0; i < used.size(); ++i) {
    CheckName(known, used[i], pointer + "/data_centres/" + std::to_string(i),
              "data centre", context);
  }
}

}  // namespace

void ReadJob(json_reader& in, state::job_spec& out) {
  using state::band;
  in.Name("name", out.name, presence::kRequired,
          "Name, never used again; a repeated submission is the same job.");
  in.Name("tenant", out.tenant, presence::kRequired, "Tenant that owns it.");
  in.Name("class", out.klass, presence::kRequired, "Workload class.");
  in.Choice("priority", out.priority,
            {{"urgent", band::kUrgent},
             {"normal", band::kNormal},
             {"idle", band::kIdle}},
            "Urgent work starts within 7.1 s; idle work only fills room.");
  in.Number("tasks", out.tasks, {1, kMaxTasksPerJob}, presence::kOptional,
            "Number of tasks.");
  in.Object(
      "per_task", presence::kRequired, "What one task holds.",
      [&out](json_reader& nested) { ReadResources(nested, out.per_task); });
  in.Duration("expected_run_ms", out.expected_run, {0, 30 * kMaxMillis},
              "Declared run time of one task; 0 is not known.");
  out.run_lease = millis(0);
  in.Duration("run_lease_ms", out.run_lease, {0, kMaxMillis},
              "Overrides the class's run lease; 0 takes it.");
  in.Number("max_failures", out.max_failures, {1, 1'000}, presence::kOptional,
            "Failures of one task after which it is given up.");
  in.Number("max_per_vm", out.max_per_vm, {0, 1'000}, presence::kOptional,
            "Most tasks of the job on one VM; 0 is no limit.");
  in.Number("max_per_rack", out.max_per_rack, {0, 10'000}, presence::kOptional,
            "Most tasks of the job in one rack; 0 is no limit.");
  in.Names("data_centres", out.data_centres,
           "Data centres that may run it; empty is all of them.");
  constexpr size_t kMaxPayloadBytes = 4'096;
  in.Text("payload", out.payload, presence::kOptional,
          "Handed to the worker as it is.", kMaxPayloadBytes);
}

void ReadManifest(json_reader& in, manifest& out) {
  uint32_t format = 1;
  in.Number("format", format, {1, 1}, presence::kRequired,
            "Version of the manifest format.");
  in.Array("data_centres", 1'000, presence::kRequired,
           "Data centres that VMs may announce.", [&out](json_reader& nested) {
             ReadDataCentre(nested, out.data_centres.emplace_back());
           });
  in.Object(
      "largest_vm", presence::kRequired,
      "Largest VM there is; no replica or task may be larger.",
      [&out](json_reader& nested) { ReadResources(nested, out.largest_vm); });
  in.Array("tenants", kMaxTenants, presence::kRequired,
           "Customers or teams with their quotas.",
           [&out](json_reader& nested) {
             ReadTenant(nested, out.tenants.emplace_back());
           });
  in.Array("classes", 1'000, presence::kRequired,
           "Workload classes, for which interference is learned.",
           [&out](json_reader& nested) {
             ReadClass(nested, out.classes.emplace_back());
           });
  in.Array("request_classes", 100, presence::kOptional,
           "How requests are queued.", [&out](json_reader& nested) {
             ReadRequestClass(nested, out.request_classes.emplace_back());
           });
  in.Array("services", kMaxServices, presence::kOptional,
           "Latency-critical services.", [&out](json_reader& nested) {
             ReadService(nested, out.services.emplace_back());
           });
  in.Array("routes", kMaxServices, presence::kOptional,
           "Which requests go to which service.", [&out](json_reader& nested) {
             ReadRoute(nested, out.routes.emplace_back());
           });
  in.Array("jobs", kMaxJobs, presence::kOptional,
           "Batch jobs, submitted when the manifest is accepted.",
           [&out](json_reader& nested) {
             ReadJob(nested, out.jobs.emplace_back());
           });
  in.Finish();
}

void CheckJob(const manifest& in,
              const state::job_spec& job,
              const std::string& pointer,
              read_context& context) {
  CheckName(NamesOf(in.tenants), job.tenant, pointer + "/tenant", "tenant",
            context);
  CheckName(NamesOf(in.classes), job.klass, pointer + "/class",
            "workload class", context);
  CheckDataCentres(NamesOf(in.data_centres), job.data_centres, pointer,
                   context);
  CheckSize(job.per_task, in.largest_vm, "the largest VM",
            pointer + "/per_task", context);
  if (const auto* tenant = FindTenant(in, job.tenant)) {
    CheckSize(job.per_task, tenant->quota, "the tenant's quota",
              pointer + "/per_task", context);
  }
}

void CheckManifest(const manifest& in, read_context& context) {
  const auto centres = CollectNames(in.data_centres, "/data_centres", context);
  const auto tenants = CollectNames(in.tenants, "/tenants", context);
  const auto classes = CollectNames(in.classes, "/classes", context);
  const auto request_classes =
      CollectNames(in.request_classes, "/request_classes", context);
  const auto services = CollectNames(in.services, "/services", context);
  CollectNames(in.jobs, "/jobs", context);
  for (size_t i = 0; i < in.services.size(); ++i) {
    const auto& service = in.services[i];
    const auto pointer = "/services/" + std::to_string(i);
    CheckName(tenants, service.tenant, pointer + "/tenant", "tenant", context);
    CheckName(classes, service.klass, pointer + "/class", "workload class",
              context);
    CheckDataCentres(centres, service.data_centres, pointer, context);
    CheckSize(service.per_replica, in.largest_vm, "the largest VM",
              pointer + "/per_replica", context);
  }
  std::set<std::pair<std::string, std::string>> seen_routes;
  for (size_t i = 0; i < in.routes.size(); ++i) {
    const auto& route = in.routes[i];
    const auto pointer = "/routes/" + std::to_string(i);
    CheckName(services, route.service, pointer + "/service", "service",
              context);
    CheckName(request_classes, route.klass, pointer + "/class", "request class",
              context);
    if (!seen_routes.emplace(route.prefix, route.method).second) {
      context.problems.push_back({context.source, pointer + "/prefix",
                                  "\"" + route.prefix + "\"",
                                  "a pair of prefix and method used once"});
    }
  }
  for (size_t i = 0; i < in.jobs.size(); ++i) {
    CheckJob(in, in.jobs[i], "/jobs/" + std::to_string(i), context);
  }
}

}  // namespace chiveglade::config
