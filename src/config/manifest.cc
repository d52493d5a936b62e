#include "chiveglade/config/manifest.h"

#include <algorithm>

#include "chiveglade/config/reference.h"
#include "manifest_reader.h"

namespace chiveglade::config {

namespace {

using nlohmann::json;

template <typename T>
const T* FindByName(const std::vector<T>& list, const std::string& name) {
  const auto at =
      std::find_if(list.begin(), list.end(),
                   [&name](const T& item) { return item.name == name; });
  return at == list.end() ? nullptr : &*at;
}

json ToJson(const resources& in) {
  return {{"millicores", in.millicores},
          {"memory_mib", in.memory_mib},
          {"accelerators", in.accelerators}};
}

json ToJson(const data_centre_spec& in) {
  return {{"name", in.name}, {"region", in.region}};
}

json ToJson(const tenant_spec& in) {
  return {{"name", in.name}, {"quota", ToJson(in.quota)}};
}

json ToJson(const workload_class& in) {
  return {{"name", in.name},
          {"latency_critical", in.latency_critical},
          {"run_lease_ms", in.run_lease.count()},
          {"stop_grace_ms", in.stop_grace.count()},
          {"slowdown_limit_pct", in.slowdown_limit_pct}};
}

json ToJson(const request_class& in) {
  return {{"name", in.name},
          {"rank", in.rank},
          {"queue_limit", in.queue_limit},
          {"deadline_ms", in.deadline.count()},
          {"max_slot_share_pct", in.max_slot_share_pct}};
}

json ToJson(const service_spec& in) {
  return {{"name", in.name},
          {"tenant", in.tenant},
          {"class", in.klass},
          {"replicas", in.replicas},
          {"per_replica", ToJson(in.per_replica)},
          {"slots", in.slots},
          {"connections", in.connections},
          {"max_per_vm", in.max_per_vm},
          {"max_per_rack", in.max_per_rack},
          {"data_centres", in.data_centres}};
}

json ToJson(const route_spec& in) {
  return {{"prefix", in.prefix},
          {"method", in.method},
          {"service", in.service},
          {"class", in.klass},
          {"idempotent", in.idempotent}};
}

const char* BandName(state::band priority) {
  switch (priority) {
    case state::band::kUrgent:
      return "urgent";
    case state::band::kIdle:
      return "idle";
    case state::band::kService:
    case state::band::kNormal:
      break;
  }
  return "normal";
}

json ToJson(const state::job_spec& in) {
  return {{"name", in.name},
          {"tenant", in.tenant},
          {"class", in.klass},
          {"priority", BandName(in.priority)},
          {"tasks", in.tasks},
          {"per_task", ToJson(in.per_task)},
          {"expected_run_ms", in.expected_run.count()},
          {"run_lease_ms", in.run_lease.count()},
          {"max_failures", in.max_failures},
          {"max_per_vm", in.max_per_vm},
          {"max_per_rack", in.max_per_rack},
          {"data_centres", in.data_centres},
          {"payload", in.payload}};
}

template <typename T>
json ToJson(const std::vector<T>& list) {
  json out = json::array();
  for (const auto& item : list) {
    out.push_back(ToJson(item));
  }
  return out;
}

// Takes the class's run lease where the job declares none.
void FillRunLease(const manifest& in, state::job_spec& job) {
  if (job.run_lease == millis(0)) {
    if (const auto* klass = FindClass(in, job.klass)) {
      job.run_lease = klass->run_lease;
    }
  }
}

}  // namespace

checked<manifest> ParseManifest(const std::string& text,
                                const std::string& source) {
  read_context context{source, {}, nullptr};
  manifest value;
  if (text.size() > kMaxManifestBytes) {
    context.problems.push_back(
        {source, "", std::to_string(text.size()) + " bytes",
         "at most " + std::to_string(kMaxManifestBytes) + " bytes"});
    return {std::nullopt, std::move(context.problems)};
  }
  const json document = ParseJson(text, context);
  if (context.problems.empty()) {
    json_reader reader(context, &document, "");
    ReadManifest(reader, value);
    CheckManifest(value, context);
  }
  if (!context.problems.empty()) {
    return {std::nullopt, std::move(context.problems)};
  }
  for (auto& job : value.jobs) {
    FillRunLease(value, job);
  }
  return {std::move(value), {}};
}

checked<state::job_spec> ParseJob(const std::string& text,
                                  const std::string& source,
                                  const manifest& in) {
  read_context context{source, {}, nullptr};
  state::job_spec job;
  const json document = ParseJson(text, context);
  if (context.problems.empty()) {
    json_reader reader(context, &document, "");
    ReadJob(reader, job);
    reader.Finish();
    CheckJob(in, job, "", context);
  }
  if (!context.problems.empty()) {
    return {std::nullopt, std::move(context.problems)};
  }
  FillRunLease(in, job);
  return {std::move(job), {}};
}

std::string WriteJob(const state::job_spec& job) {
  return ToJson(job).dump();
}

std::string WriteManifest(const manifest& value) {
  const json out = {{"format", 1},
                    {"data_centres", ToJson(value.data_centres)},
                    {"largest_vm", ToJson(value.largest_vm)},
                    {"tenants", ToJson(value.tenants)},
                    {"classes", ToJson(value.classes)},
                    {"request_classes", ToJson(value.request_classes)},
                    {"services", ToJson(value.services)},
                    {"routes", ToJson(value.routes)},
                    {"jobs", ToJson(value.jobs)}};
  return out.dump();
}

const tenant_spec* FindTenant(const manifest& in, const std::string& name) {
  return FindByName(in.tenants, name);
}

const workload_class* FindClass(const manifest& in, const std::string& name) {
  return FindByName(in.classes, name);
}

const request_class* FindRequestClass(const manifest& in,
                                      const std::string& name) {
  return FindByName(in.request_classes, name);
}

const service_spec* FindService(const manifest& in, const std::string& name) {
  return FindByName(in.services, name);
}

std::string ServiceJobName(const std::string& service) {
  return "service:" + service;
}

state::job_spec ServiceJob(const manifest& in, const service_spec& service) {
  state::job_spec job;
  job.name = ServiceJobName(service.name);
  job.tenant = service.tenant;
  job.klass = service.klass;
  job.priority = state::band::kService;
  job.tasks = service.replicas;
  job.per_task = service.per_replica;
  if (const auto* klass = FindClass(in, service.klass)) {
    job.run_lease = klass->run_lease;
  }
  job.max_failures = UINT32_MAX;  // A service is never given up.
  job.data_centres = service.data_centres;
  job.max_per_vm = service.max_per_vm;
  job.max_per_rack = service.max_per_rack;
  job.payload = json{{"service", service.name},
                     {"slots", service.slots},
                     {"connections", service.connections}}
                    .dump();
  return job;
}

std::vector<field_reference> ManifestReference() {
  std::vector<field_reference> fields;
  read_context context{"", {}, &fields};
  json_reader reader(context, nullptr, "");
  manifest defaults;
  ReadManifest(reader, defaults);
  return fields;
}

}  // namespace chiveglade::config
