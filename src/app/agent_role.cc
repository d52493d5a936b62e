#include "agent_role.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "admission_options.h"
#include "chiveglade/agent/announcer.h"
#include "chiveglade/agent/h2_heartbeat_sender.h"
#include "chiveglade/net/http_server.h"
#include "chiveglade/observe/log.h"
#include "chiveglade/observe/metrics.h"
#include "chiveglade/routing/agent_proxy.h"
#include "entropy.h"
#include "lifecycle.h"
#include "manifest_fetch.h"
#include "peer_pool.h"

namespace chiveglade::app {

namespace {

using nlohmann::json;

constexpr millis kGaugeInterval{1'000};
constexpr millis kHeartbeatTimeout{1'500};
// One thread keeps the agent within 2.5% of a core and its memory small.
constexpr uint32_t kThreads = 1;
// The pages take no body.
constexpr uint64_t kMaxStatusBodyBytes = 1'024;

net::http_reply JsonReply(int status, const json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump()};
}

void LogEvent(const char* event, const observe::log_fields& fields) {
  observe::LogInfo(event, fields);
}

}  // namespace

// Members are destroyed in reverse order, the event loop last.
struct agent_role::parts {
  net::asio::io_context loop;
  strand control = net::asio::make_strand(loop);
  config::agent_settings settings;
  observe::metrics metrics;
  std::unique_ptr<admission_options> limits;
  peer_pool peers{loop};
  std::unique_ptr<agent::worker_client> worker;
  std::unique_ptr<agent::h2_heartbeat_sender> sender;
  std::shared_ptr<routing::agent_proxy> proxy;
  std::shared_ptr<agent::announcer> announcer;
  std::shared_ptr<net::h2_server> entries;
  std::shared_ptr<net::http_server> status;

  mutable std::mutex mutex;  // leaf
  held_manifest manifest;    // guarded by `mutex`
  agent::agent_view logged;  // newest state written to the log

  held_manifest Manifest() const {
    const std::lock_guard lock(mutex);
    return manifest;
  }

  result<done> MakeProxy();
  result<done> MakeAnnouncer();
  result<done> Listen();
  void OnNewerManifest(const std::string& address);
  size_t InFlight(const std::string& service) const;
  net::http_reply Answer(const net::http_request& request) const;
  json Status() const;
  void UpdateGauges();
  void AddStopSteps(lifecycle& cycle);
};

result<done> agent_role::parts::MakeProxy() {
  routing::proxy_options options;
  options.worker = settings.worker;
  routing::proxy_hooks hooks;
  hooks.manifest = [this] { return Manifest().value; };
  hooks.replicas = [this](const std::string& service) -> uint32_t {
    return announcer && announcer->view()->services.contains(service) ? 1 : 0;
  };
  hooks.in_service = [this] {
    return announcer && !announcer->view()->out_of_service;
  };
  hooks.clock = &boot_clock::now;
  auto made = routing::agent_proxy::Make(loop, options, std::move(hooks));
  if (!made) {
    return made.last_reason();
  }
  proxy = *std::move(made);
  return done{};
}

size_t agent_role::parts::InFlight(const std::string& service) const {
  for (const auto& load : proxy->Load()) {
    if (load.service == service) {
      return load.in_use + load.queued;
    }
  }
  return 0;
}

result<done> agent_role::parts::MakeAnnouncer() {
  agent::agent_options options;
  options.vm = settings.vm;
  options.data_centre = settings.data_centre;
  options.rack = settings.rack;
  options.address = ToString(settings.peer_listen);
  options.capacity = settings.capacity;
  options.worker_poll = settings.worker_poll;
  options.worker_lease = settings.worker_lease;
  options.targets = [this] { return proxy->Load(); };
  options.in_flight = [this](const std::string& service) {
    return InFlight(service);
  };
  auto core = agent::agent_core::Make(std::move(options), &boot_clock::now);
  if (!core) {
    return core.last_reason();
  }
  agent::schedule_options plan;
  plan.data_centre = settings.data_centre;
  plan.period = settings.heartbeat;
  for (const auto& entry : settings.entries) {
    plan.seeds.push_back(ToString(entry));
  }
  auto schedule =
      agent::heartbeat_schedule::Make(std::move(plan), MakeSystemRandom());
  if (!schedule) {
    return schedule.last_reason();
  }
  worker = std::make_unique<agent::worker_client>(loop, settings.worker.ip,
                                                  settings.worker.port);
  sender = std::make_unique<agent::h2_heartbeat_sender>(loop, net::h2_options{},
                                                        kHeartbeatTimeout);
  agent::announcer_hooks hooks;
  hooks.call_worker = [this](const agent::worker_call& call,
                             const net::yield& yield) {
    return worker->Call(call, yield);
  };
  hooks.send_heartbeat = [this](const std::string& address,
                                const std::string& body,
                                const net::yield& yield) {
    return sender->Send(address, body, yield);
  };
  hooks.newer_manifest = [this](const std::string& address, uint64_t) {
    OnNewerManifest(address);
  };
  announcer =
      agent::announcer::Make(loop, *std::move(core), *std::move(schedule),
                             std::move(hooks), &boot_clock::now);
  return done{};
}

void agent_role::parts::OnNewerManifest(const std::string& address) {
  net::asio::spawn(
      control,
      [this, address](const net::yield& yield) {
        const auto client = peers.Find(address);
        if (!client) {
          return;
        }
        const auto fetched = FetchManifest(*client, yield);
        if (!fetched) {
          observe::LogWarning("manifest_not_fetched",
                              {{"from", address},
                               {"reason", fetched.last_reason().code},
                               {"detail", fetched.last_reason().detail}});
          return;
        }
        {
          const std::lock_guard lock(mutex);
          if (fetched->version <= manifest.version) {
            return;  // Never back to an older one.
          }
          manifest = *fetched;
        }
        announcer->SetManifest(fetched->version, fetched->value);
        observe::LogInfo("manifest_adopted",
                         {{"version", std::to_string(fetched->version)}});
      },
      net::asio::detached);
}

result<done> agent_role::parts::Listen() {
  auto options = limits->Peers({});
  options.keeps_bodies = false;
  options.max_streams = std::min(options.max_streams, limits->PassingStreams());
  auto peer_server = net::h2_server::Make(
      loop, settings.peer_listen.ip, settings.peer_listen.port, options,
      [this](const net::h2_stream_ptr& stream, const net::yield& yield) {
        if (net::FindHeader(stream->request_headers(), ":path") ==
                kManifestPath &&
            net::FindHeader(stream->request_headers(), "chiveglade-service")
                .empty()) {
          ServeManifest(Manifest(), *stream, yield);
        } else {
          proxy->Handle(stream, yield);
        }
      },
      limits->admit());
  if (!peer_server) {
    return peer_server.last_reason();
  }
  entries = *std::move(peer_server);
  auto status_server = net::http_server::Make(
      loop, settings.status_listen.ip, settings.status_listen.port,
      limits->Http(port_use::kOperators, kMaxStatusBodyBytes),
      [this](const net::http_request& request, const net::yield&) {
        return Answer(request);
      },
      {limits->admit(), nullptr});
  if (!status_server) {
    return status_server.last_reason();
  }
  status = *std::move(status_server);
  return done{};
}

net::http_reply agent_role::parts::Answer(
    const net::http_request& request) const {
  const auto path = net::PathOf(request.target);
  if (path == "/healthz") {
    return JsonReply(200, {{"status", "ok"}});
  }
  if (path == "/readyz") {
    const auto view = announcer->view();
    const bool ready = view->announced && view->ready;
    return JsonReply(ready ? 200 : 503,
                     {{"status", ready ? "ready" : "not_ready"}});
  }
  if (path == "/metrics") {
    return {
        200, {{"content-type", "text/plain; version=0.0.4"}}, metrics.Text()};
  }
  if (path == "/status") {
    return JsonReply(200, Status());
  }
  return JsonReply(404, {{"status", "not_found"}});
}

json agent_role::parts::Status() const {
  const auto view = announcer->view();
  const auto& counters = announcer->counters();
  json targets = json::array();
  for (const auto& load : proxy->Load()) {
    targets.push_back({{"service", load.service},
                       {"slots", load.slots},
                       {"in_use", load.in_use},
                       {"queued", load.queued}});
  }
  return {{"vm", settings.vm},
          {"data_centre", settings.data_centre},
          {"announced", view->announced},
          {"ready", view->ready},
          {"leaving", view->leaving},
          {"out_of_service", view->out_of_service},
          {"scheduler", view->scheduler},
          {"manifest_version", Manifest().version},
          {"used_millicores", view->used.millicores},
          {"used_memory_mib", view->used.memory_mib},
          {"unacknowledged_ends", view->unacknowledged_ends},
          {"heartbeats", counters.heartbeats.load()},
          {"heartbeat_failures", counters.heartbeat_failures.load()},
          {"heartbeat_bytes_sent", counters.bytes_sent.load()},
          {"heartbeat_bytes_received", counters.bytes_received.load()},
          {"targets", std::move(targets)}};
}

void agent_role::parts::UpdateGauges() {
  limits->UpdateGauges();
  const auto view = announcer->view();
  metrics.Set("chiveglade_manifest_version", {},
              static_cast<double>(Manifest().version));
  for (const auto& load : proxy->Load()) {
    metrics.Set("chiveglade_agent_queue", {{"service", load.service}},
                load.queued);
  }
  metrics.Set("chiveglade_agent_used_millicores", {},
              static_cast<double>(view->used.millicores));
  const auto& counters = announcer->counters();
  metrics.Set("chiveglade_agent_heartbeats", {{"outcome", "answered"}},
              static_cast<double>(counters.heartbeats.load() -
                                  counters.heartbeat_failures.load()));
  metrics.Set("chiveglade_agent_heartbeats", {{"outcome", "failed"}},
              static_cast<double>(counters.heartbeat_failures.load()));
  if (view->announced != logged.announced || view->ready != logged.ready ||
      view->out_of_service != logged.out_of_service ||
      view->scheduler != logged.scheduler) {
    observe::LogInfo("agent_state",
                     {{"announced", view->announced ? "yes" : "no"},
                      {"ready", view->ready ? "yes" : "no"},
                      {"out_of_service", view->out_of_service ? "yes" : "no"},
                      {"scheduler", view->scheduler}});
    logged = *view;
  }
}

void agent_role::parts::AddStopSteps(lifecycle& cycle) {
  cycle.AddStopStep("announce", [this](std::function<void()> then) {
    announcer->Leave(std::move(then));
  });
  cycle.AddStopStep("requests", [this](std::function<void()> then) {
    proxy->Drain(std::move(then));
  });
  cycle.AddStopStep("entries", [this](std::function<void()> then) {
    entries->Drain(std::move(then));
  });
  cycle.AddStopStep("heartbeats", [this](const std::function<void()>& then) {
    announcer->Stop();
    then();
  });
  cycle.AddStopStep("status", [this](std::function<void()> then) {
    status->Drain(std::move(then));
  });
}

agent_role::agent_role(std::unique_ptr<parts> owned)
    : parts_(std::move(owned)) {}

agent_role::~agent_role() = default;

result<std::unique_ptr<agent_role>> agent_role::Make(
    const config::agent_settings& settings) {
  auto made = std::make_unique<parts>();
  made->settings = settings;
  made->limits = std::make_unique<admission_options>(settings.admission,
                                                     made->metrics, &LogEvent);
  for (const auto step :
       {&parts::MakeProxy, &parts::MakeAnnouncer, &parts::Listen}) {
    if (const auto outcome = (made.get()->*step)(); !outcome) {
      return outcome.last_reason();
    }
  }
  return std::unique_ptr<agent_role>(new agent_role(std::move(made)));
}

exit_code agent_role::Run() {
  const auto& settings = parts_->settings;
  observe::LogInfo("agent_started",
                   {{"entries_listen", ToString(settings.peer_listen)},
                    {"worker", ToString(settings.worker)}});
  lifecycle cycle(parts_->loop, settings.shutdown_grace);
  parts_->AddStopSteps(cycle);
  parts_->announcer->Start();
  RunEvery(parts_->control, kGaugeInterval, [this] { parts_->UpdateGauges(); });
  return cycle.Run(kThreads) ? exit_code::kDone : exit_code::kFailed;
}

}  // namespace chiveglade::app
