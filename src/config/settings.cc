#include "chiveglade/config/settings.h"

#include <boost/asio/ip/address.hpp>

#include "chiveglade/config/reference.h"
#include "json_reader.h"

namespace chiveglade::config {

namespace {

constexpr char kEndpointText[] =
    "an IP address and port such as \"127.0.0.1:8080\"; names are not resolved";
constexpr int64_t kMaxMillis = 24LL * 60 * 60 * 1000;

// Below this a process of this kind does not fit into its machine, or has no
// descriptors for its own files and calls.
constexpr double kLeastMemoryMb = 32;
constexpr double kLeastDescriptors = 256;
constexpr double kMaxMachineSize = 1e9;
constexpr int64_t kMaxKilobytes = 16LL * 1024 * 1024;

constexpr double kMaxProcessorShare = 1'024;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr double kMaxInitialInterference = 5;
constexpr double kMaxRemoteSlowdown = 100;

void ReadEndpoint(json_reader& in,
                  const char* key,
                  endpoint& out,
                  const char* meaning) {
  std::string text;
  in.Text(key, text, presence::kRequired, meaning);
  if (text.empty()) {
    return;
  }
  if (const auto parsed = ParseEndpoint(text)) {
    out = *parsed;
  } else {
    in.Problem(key, kEndpointText);
  }
}

void ReadOptionalEndpoint(json_reader& in,
                          const char* key,
                          std::optional<endpoint>& out,
                          const char* meaning) {
  std::string text;
  in.Text(key, text, presence::kOptional, meaning);
  if (text.empty()) {
    return;
  }
  out = ParseEndpoint(text);
  if (!out) {
    in.Problem(key, kEndpointText);
  }
}

// Moves the port of `out`, for processes that share the ports of a VM.
void ReadPortOffset(json_reader& in,
                    const char* key,
                    endpoint& out,
                    const char* meaning) {
  constexpr int64_t kMaxOffset = 1'000;
  int offset = 0;
  in.Number(key, offset, {-kMaxOffset, kMaxOffset}, presence::kOptional,
            meaning);
  const int port = out.port + offset;
  if (port < 1 || port > UINT16_MAX) {
    in.Problem(key, "an offset that leads to a port from 1 to 65535");
    return;
  }
  out.port = static_cast<uint16_t>(port);
}

void ReadEndpoints(json_reader& in,
                   const char* key,
                   std::vector<endpoint>& out,
                   const char* meaning) {
  constexpr int64_t kMaxEndpoints = 64;
  in.Texts(key, {1, kMaxEndpoints}, presence::kRequired, meaning, kEndpointText,
           [&out](const std::string& text) {
             const auto parsed = ParseEndpoint(text);
             if (parsed) {
               out.push_back(*parsed);
             }
             return parsed.has_value();
           });
}

void ReadAdmission(json_reader& in, admission_settings& out) {
  in.Real("memory_mb", out.memory_mb, 0, kMaxMachineSize,
          "Memory of the machine that this process may use, in MB. 0: the "
          "system is asked.");
  if (out.memory_mb != 0 && out.memory_mb < kLeastMemoryMb) {
    in.Problem("memory_mb", "0 or at least 32");
  }
  in.Real("max_fds", out.max_fds, 0, kMaxMachineSize,
          "Descriptors that this process may have open; the limits of "
          "connections are shares of it. 0: the system is asked.");
  if (out.max_fds != 0 && out.max_fds < kLeastDescriptors) {
    in.Problem("max_fds", "0 or at least 256");
  }
  in.Number("receive_budget_kb", out.receive_budget_kb, {0, kMaxKilobytes},
            presence::kOptional,
            "Most memory for requests that are being received or handled and "
            "answers that are being sent, in KiB. Only lowers the share of "
            "`memory_mb` that applies otherwise, a fifth. 0: the share.");
  if (out.receive_budget_kb != 0 && out.receive_budget_kb < 1'024) {
    in.Problem("receive_budget_kb", "0 or at least 1024");
  }
  in.Number("max_header_fields", out.max_header_fields, {16, 65'536},
            presence::kOptional,
            "Most fields of one HTTP/1.1 header. No header within 16 KiB has "
            "more than the default.");
  in.Number("max_chunk_extension_bytes", out.max_chunk_extension_bytes,
            {0, 1 << 20}, presence::kOptional,
            "Most bytes of chunk extensions in one request body.");
  in.Number("connections_per_address", out.connections_per_address,
            {0, 1'000'000}, presence::kOptional,
            "Most connections of one client address at the port of callers or "
            "of the worker. Behind a balancer all callers have one address. 0: "
            "not limited.");
  in.Duration("receive_stall_ms", out.receive_stall, {1'000, 600'000},
              "Longest time without a byte while a request is received.");
  in.Duration("request_time_ms", out.request_time, {1'000, 600'000},
              "Longest time from the first byte of a request to its last.");
  in.Duration("send_time_ms", out.send_time, {1'000, 600'000},
              "Longest time until an answer is taken.");
}

void ReadEntry(json_reader& in, entry_settings& out) {
  in.Name("name", out.name, presence::kRequired,
          "Name of this entry, unique among those that run at one time.");
  in.Name("data_centre", out.data_centre, presence::kRequired,
          "Data centre that this VM is in.");
  ReadEndpoint(in, "caller_listen", out.caller_listen,
               "Where callers send HTTP/1.1 requests.");
  ReadEndpoint(in, "operator_listen", out.operator_listen,
               "Where operators, metrics and status are served.");
  ReadEndpoint(in, "peer_listen", out.peer_listen,
               "Where agents send heartbeats over HTTP/2.");
  ReadEndpoints(in, "table", out.table, "The platform's table service.");
  ReadEndpoints(in, "object_store", out.object_store,
                "The platform's object store.");
  in.Number("threads", out.threads, {1, 64}, presence::kOptional,
            "Event loop threads.");
  in.Duration("store_timeout_ms", out.store_timeout, {10, 60'000},
              "Longest wait for one answer of the table or object store.");
  in.Duration(
      "control_poll_ms", out.control_poll, {50, 2'000},
      "How often data centre rows, the manifest pointer and the journal "
      "head are read. The limit keeps a change within its 3 s.");
  in.Duration("append_interval_ms", out.append_interval, {10, 1'000},
              "Shortest time between two appends to the journal.");
  in.Duration("scheduler_lease_ms", out.scheduler_lease, {500, 5'000},
              "Time without an append after which another entry takes over. "
              "The limit keeps urgent starts within 7.1 s.");
  in.Number("open_requests", out.open_requests, {1, 1'000'000},
            presence::kOptional, "Most requests forwarded at one time.");
  in.Number("max_body_bytes", out.max_body_bytes, {1, int64_t{1} << 40},
            presence::kOptional, "Largest request body, in bytes.");
  in.Number("max_header_bytes", out.max_header_bytes, {1'024, 1 << 20},
            presence::kOptional, "Largest request header, in bytes.");
  in.Duration("shutdown_grace_ms", out.shutdown_grace, {0, kMaxMillis},
              "Longest wait for requests in flight at a graceful stop.");
  ReadAdmission(in, out.admission);
  in.Finish();
}

void ReadAgent(json_reader& in, agent_settings& out) {
  in.Name("vm", out.vm, presence::kRequired, "Name of this VM.");
  in.Name("data_centre", out.data_centre, presence::kRequired,
          "Data centre that this VM is in.");
  in.Name("rack", out.rack, presence::kRequired, "Rack that this VM is in.");
  ReadEndpoint(in, "peer_listen", out.peer_listen,
               "Where entries send requests over HTTP/2.");
  ReadEndpoint(in, "status_listen", out.status_listen,
               "Where metrics and status are served.");
  ReadEndpoint(in, "worker", out.worker, "The worker on this VM.");
  ReadEndpoints(in, "entries", out.entries,
                "Entries to announce to first; a balancer address is enough.");
  in.Object(
      "capacity", presence::kRequired, "What this VM offers to tasks.",
      [&out](json_reader& nested) {
        nested.Number("millicores", out.capacity.millicores, {1, 10'000'000},
                      presence::kRequired, "Thousandths of a processor.");
        nested.Number("memory_mib", out.capacity.memory_mib,
                      {1, int64_t{1} << 30}, presence::kRequired,
                      "Memory in MiB.");
        nested.Number("accelerators", out.capacity.accelerators, {0, 1'024},
                      presence::kOptional, "Number of accelerators.");
      });
  in.Duration("heartbeat_ms", out.heartbeat, {50, 1'500},
              "Time between heartbeats. The limit keeps a tick younger than "
              "the 2 s for which a start stays valid.");
  in.Duration("worker_poll_ms", out.worker_poll, {20, 5'000},
              "Time between readings of the worker's tasks.");
  in.Duration("worker_lease_ms", out.worker_lease, {1'000, 60'000},
              "Lease that the worker holds on each task.");
  in.Duration("shutdown_grace_ms", out.shutdown_grace, {0, kMaxMillis},
              "Longest wait for requests in flight at a graceful stop.");
  ReadAdmission(in, out.admission);
  in.Finish();
}

void ReadInitialInterference(json_reader& in, double& out) {
  in.Real("initial_interference", out, 0, kMaxInitialInterference,
          "How much headroom (latency target over latency) a core in use by a "
          "best-effort task is taken to cost a serving task before anything is "
          "known of their images. The lower, the sooner unknown pairs are "
          "tried.");
}

void ReadGateway(json_reader& in, gateway_settings& out) {
  in.Name("name", out.name, presence::kRequired,
          "Name of this gateway, unique among those that run at one time.");
  in.Name("data_centre", out.data_centre, presence::kRequired,
          "Data centre that this VM is in.");
  ReadOptionalEndpoint(in, "caller_listen", out.caller_listen,
                       "Where callers hand in jobs and ask for them; without "
                       "it this process only stands by as coordinator.");
  ReadOptionalEndpoint(
      in, "ready_listen", out.ready_listen,
      "Where the balancer asks whether callers may be sent here.");
  ReadEndpoint(in, "peer_listen", out.peer_listen,
               "Where runners and other gateways send messages over HTTP/2.");
  ReadEndpoint(in, "metrics_listen", out.metrics_listen,
               "Where metrics and status are served.");
  ReadPortOffset(in, "peer_port_offset", out.peer_listen,
                 "Added to the port of `peer_listen`, where several processes "
                 "share the ports of a VM.");
  ReadPortOffset(in, "metrics_port_offset", out.metrics_listen,
                 "Added to the port of `metrics_listen`.");
  ReadEndpoints(in, "store", out.store, "The platform's store.");
  in.Real("processor_share", out.processor_share, 0, kMaxProcessorShare,
          "Share of a processor that this VM has; with speed and link it says "
          "which gateway is fittest to coordinate. 0: unknown.");
  in.Real("processor_speed", out.processor_speed, 0, kMaxProcessorShare,
          "Speed of the processor as a multiple of the usual one.");
  in.Real("link_mbps", out.link_mbps, 0, kMaxLinkMbps,
          "Link of this VM, in Mbit/s. 0: unknown.");
  in.Duration("store_timeout_ms", out.store_timeout, {10, 60'000},
              "Longest wait for progress of one call to the store.");
  in.Number("max_row_bytes", out.max_row_bytes, {1'024, int64_t{1} << 30},
            presence::kOptional,
            "Longest value of a row that the store takes, in bytes. A job that "
            "exceeds it is refused.");
  in.Duration("commit_interval_ms", out.commit_interval, {1, 1'000},
              "Shortest time between two writes of progress.");
  in.Duration("leader_lease_ms", out.leader_lease, {500, 5'000},
              "Time without a write of the coordinator after which another "
              "gateway takes over.");
  in.Duration("run_grant_ms", out.run_grant, {1'000, 600'000},
              "How long tasks go on running without an answer of the "
              "coordinator.");
  in.Duration("settings_max_age_ms", out.settings_max_age, {500, 60'000},
              "Time within which a change of the operators' settings must be "
              "in force. Requests are not answered by older settings.");
  in.Duration("unready_before_stop_ms", out.unready_before_stop, {0, 60'000},
              "How long a stopping gateway serves on while it says that it is "
              "not ready.");
  in.Duration("shutdown_grace_ms", out.shutdown_grace, {0, kMaxMillis},
              "Longest wait for requests in flight at a graceful stop.");
  in.Number("connections", out.connections, {1, 1'000'000}, presence::kOptional,
            "Most callers' connections open at one time. A share of "
            "`max_fds` may lower it.");
  in.Number("accepted_jobs_kb", out.accepted_jobs_kb, {0, kMaxKilobytes},
            presence::kOptional,
            "Most memory for accepted jobs that have not ended, in KiB. Only "
            "lowers the share of `memory_mb` that applies otherwise, a quarter "
            "but at most 64 MiB. Every process that may coordinate should have "
            "the same. 0: the share.");
  if (out.accepted_jobs_kb != 0 && out.accepted_jobs_kb < 1'024) {
    in.Problem("accepted_jobs_kb", "0 or at least 1024");
  }
  ReadAdmission(in, out.admission);
  in.Flag("feasible_jobs_first", out.feasible_jobs_first,
          "Whether jobs that cannot meet their objective any more yield at "
          "once to those that can, and go by the least work left.");
  in.Flag("adaptive_latency_margin", out.adaptive_latency_margin,
          "Whether the share of their latency targets up to which best-effort "
          "tasks are placed beside serving tasks is learned.");
  in.Flag("prefer_tolerant_vms", out.prefer_tolerant_vms,
          "Whether best-effort tasks prefer VMs whose serving tasks they do "
          "not disturb to VMs without serving tasks.");
  ReadInitialInterference(in, out.initial_interference);
  in.Flag("keep_interference", out.keep_interference,
          "Whether this gateway as the coordinator keeps in the store what it "
          "has learned of interference between images, and starts with what "
          "earlier coordinators have kept.");
  in.Real(
      "remote_slowdown", out.remote_slowdown, 1, kMaxRemoteSlowdown,
      "How many times as long a task takes outside its preferred rack, or "
      "a gang that prefers one rack on several. Tasks wait for a rack while "
      "that is expected to pay off. 1: they do not wait.");
  in.Finish();
}

void ReadRunner(json_reader& in, runner_settings& out) {
  in.Name("vm", out.vm, presence::kRequired, "Name of this VM.");
  in.Name("data_centre", out.data_centre, presence::kRequired,
          "Data centre that this VM is in.");
  ReadEndpoint(in, "worker_listen", out.worker_listen,
               "Where the worker on this VM sends heartbeats.");
  ReadEndpoint(in, "worker", out.worker, "The worker on this VM.");
  ReadEndpoint(in, "peer_listen", out.peer_listen,
               "Where the coordinator sends orders over HTTP/2.");
  ReadEndpoint(in, "metrics_listen", out.metrics_listen,
               "Where metrics and status are served.");
  ReadEndpoints(in, "store", out.store, "The platform's store.");
  in.Duration("store_timeout_ms", out.store_timeout, {10, 60'000},
              "Longest wait for one answer of the store.");
  in.Duration("worker_lease_ms", out.worker_lease, {1'000, 60'000},
              "Longest lease that the worker gives.");
  in.Duration("report_interval_ms", out.report_interval, {50, 1'000},
              "Longest time between two reports to the coordinator.");
  ReadInitialInterference(in, out.initial_interference);
  in.Duration("shutdown_grace_ms", out.shutdown_grace, {0, kMaxMillis},
              "Longest wait for calls in flight at a graceful stop.");
  ReadAdmission(in, out.admission);
  in.Finish();
}

template <typename T>
checked<T> Parse(const std::string& text,
                 const std::string& source,
                 void (*read)(json_reader&, T&)) {
  read_context context{source, {}, nullptr};
  T value;
  const auto json = ParseJson(text, context);
  if (context.problems.empty()) {
    json_reader reader(context, &json, "");
    read(reader, value);
  }
  if (!context.problems.empty()) {
    return {std::nullopt, std::move(context.problems)};
  }
  return {std::move(value), {}};
}

template <typename T>
std::vector<field_reference> Reference(void (*read)(json_reader&, T&)) {
  std::vector<field_reference> fields;
  read_context context{"", {}, &fields};
  json_reader reader(context, nullptr, "");
  T defaults;
  read(reader, defaults);
  return fields;
}

}  // namespace

std::string ToString(const endpoint& at) {
  const bool is_v6 = at.ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + at.ip + "]" : at.ip) + ":" + std::to_string(at.port);
}

std::optional<endpoint> ParseEndpoint(const std::string& text) {
  constexpr size_t kMaxPortDigits = 5;
  constexpr int kMaxPort = 65'535;
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  } else if (ip.find(':') != std::string::npos) {
    return std::nullopt;
  }
  const std::string digits = text.substr(colon + 1);
  if (digits.empty() || digits.size() > kMaxPortDigits ||
      digits.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const int port = std::stoi(digits);
  boost::system::error_code error;
  boost::asio::ip::make_address(ip, error);
  if (error || port > kMaxPort) {
    return std::nullopt;
  }
  return endpoint{std::move(ip), static_cast<uint16_t>(port)};
}

checked<entry_settings> ParseEntrySettings(const std::string& text,
                                           const std::string& source) {
  return Parse<entry_settings>(text, source, &ReadEntry);
}

checked<agent_settings> ParseAgentSettings(const std::string& text,
                                           const std::string& source) {
  return Parse<agent_settings>(text, source, &ReadAgent);
}

checked<gateway_settings> ParseGatewaySettings(const std::string& text,
                                               const std::string& source) {
  return Parse<gateway_settings>(text, source, &ReadGateway);
}

checked<runner_settings> ParseRunnerSettings(const std::string& text,
                                             const std::string& source) {
  return Parse<runner_settings>(text, source, &ReadRunner);
}

std::vector<field_reference> GatewaySettingsReference() {
  return Reference<gateway_settings>(&ReadGateway);
}

std::vector<field_reference> RunnerSettingsReference() {
  return Reference<runner_settings>(&ReadRunner);
}

std::vector<field_reference> EntrySettingsReference() {
  return Reference<entry_settings>(&ReadEntry);
}

std::vector<field_reference> AgentSettingsReference() {
  return Reference<agent_settings>(&ReadAgent);
}

std::string ToMarkdown(const std::vector<field_reference>& fields) {
  std::string out =
      "| field | accepted | default | meaning |\n| --- | --- | --- | --- |\n";
  for (const auto& field : fields) {
    out += "| `" + field.pointer + "` | " + field.accepted + " | " +
           (field.required ? "required" : field.default_value) + " | " +
           field.meaning + " |\n";
  }
  return out;
}

}  // namespace chiveglade::config
