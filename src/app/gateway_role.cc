#include "gateway_role.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "admission_options.h"
#include "chiveglade/core/wall_clock.h"
#include "chiveglade/net/h2_server.h"
#include "chiveglade/net/http_server.h"
#include "coordinator_host.h"
#include "entropy.h"
#include "heartbeat_service.h"
#include "job_front.h"
#include "lifecycle.h"
#include "loop_monitor.h"
#include "manifest_fetch.h"
#include "member_row.h"
#include "metrics_page.h"
#include "operator_feed.h"
#include "peer_call.h"
#include "platform/table_client.h"
#include "request_relay.h"
#include "settings_freshness.h"
#include "store_link.h"
#include "store_options.h"

namespace chiveglade::app {

namespace {

// One thread, beside that of the operator feed: a VM of this role has a
// fraction of a processor.
constexpr uint32_t kThreads = 1;
constexpr millis kFlushInterval{100};
constexpr millis kGaugeInterval{1'000};
// A coordinator that no runner has reported to for this long is cut off: each
// reports twice a second.
constexpr millis kOthersSilent{1'500};
// Processes that only stand by may be one on each worker's VM, so that some of
// them looks at the leader row soon although each does so rarely.
constexpr millis kStandbyPollInterval{1'200};
constexpr millis kIdlePollInterval{5'000};
// Settings that do not change are up to two watches old, and an answer may be
// lost.
constexpr int kWatchesPerMaxAge = 4;
// Of the platform's configuration, as long as none has been read.
constexpr uint64_t kDefaultBodyBytes = 262'144;
// A balancer that asks for readiness sends no body.
constexpr uint64_t kNoBodyBytes = 1'024;

}  // namespace

// Members are destroyed in reverse order, the event loop last.
struct gateway_role::parts {
  explicit parts(const config::gateway_settings& in) : settings(in) {}

  net::asio::io_context loop;
  strand control = net::asio::make_strand(loop);
  config::gateway_settings settings;
  observe::metrics metrics;
  observe::event_log events{STDOUT_FILENO, {}, &boot_clock::now};
  admission_options limits{
      settings.admission, metrics,
      [this](const char* event, const observe::log_fields& fields) {
        events.Write(event, fields);
      }};
  peer_pool peers{loop, PeerOptions()};
  store_link link{&boot_clock::now,
                  [this](const char* event, const observe::log_fields& fields) {
                    Log(event, fields);
                  }};
  store::table_service table;
  std::unique_ptr<coordinator_host> host;
  std::unique_ptr<request_relay> relay;
  std::unique_ptr<job_front> front;
  std::unique_ptr<member_row> member;
  std::unique_ptr<settings_freshness> freshness;
  std::unique_ptr<loop_monitor> monitor;
  std::shared_ptr<net::http_server> callers;
  std::shared_ptr<net::http_server> balancer;
  std::shared_ptr<net::h2_server> runners;
  std::shared_ptr<net::http_server> metrics_page;
  bool stopping = false;
  bool follows_operators = false;
  // Its thread refers to the parts above.
  std::unique_ptr<operator_feed> operators;

  void Log(const char* event, const observe::log_fields& fields) {
    events.Write(event, fields);
  }
  result<done> MakeStore();
  result<done> MakeOperatorFeed();
  result<done> MakeParts();
  result<done> Listen();
  void HandlePeer(const net::h2_stream_ptr& stream, const net::yield& yield);
  net::http_reply AnswerPeer(const std::string& path, const std::string& body);
  bool IsReady() const {
    // An isolated gateway sends callers to others, unlike one that shares an
    // outage with them.
    return operators->newest().state->catalogue && !stopping &&
           relay->access() != store_access::kIsolated;
  }
  // A body longer than the configuration allows is refused before it is read.
  uint64_t MaxBodyBytes() const {
    const auto view = operators->newest();
    const auto& catalogue = view.state->catalogue;
    return catalogue ? catalogue->max_body_bytes : kDefaultBodyBytes;
  }
  bool IsCutOff() const { return link.is_away() || !freshness->IsCurrent(); }
  std::string Status() const;
  // Starts the feed of the operators' rows. A standby needs it only once it
  // has held the role.
  void FollowOperators();
  void StartTimers();
  void AddStopSteps(lifecycle& cycle);
};

result<done> gateway_role::parts::MakeStore() {
  auto made = platform::MakeTableClient(
      loop, control, StoreOptions(settings.store, settings.store_timeout));
  if (!made) {
    return made.last_reason();
  }
  table = link.Observe(*made);
  return done{};
}

result<done> gateway_role::parts::MakeOperatorFeed() {
  operator_feed::hooks to;
  to.make_table = [this](net::asio::io_context& own_loop, const strand& on) {
    return platform::MakeTableClient(
        own_loop, on, StoreOptions(settings.store, settings.store_timeout));
  };
  to.log = [this](std::string event, observe::log_fields fields) {
    net::asio::post(
        control, [this, event = std::move(event), fields = std::move(fields),
                  at = boot_clock::now()]() mutable {
          fields.emplace_back("waited_ms",
                              std::to_string(std::chrono::duration_cast<millis>(
                                                 boot_clock::now() - at)
                                                 .count()));
          Log(event.c_str(), fields);
        });
  };
  to.changed = [this] {
    net::asio::post(control, [this] { host->OnOperatorChange(); });
  };
  to.clock = &boot_clock::now;
  operator_feed_options options;
  options.watch_wait = std::min(options.watch_wait,
                                settings.settings_max_age / kWatchesPerMaxAge);
  auto made = operator_feed::Make(options, std::move(to));
  if (!made) {
    return made.last_reason();
  }
  operators = *std::move(made);
  return done{};
}

result<done> gateway_role::parts::MakeParts() {
  const auto log = [this](const char* event,
                          const observe::log_fields& fields) {
    Log(event, fields);
  };
  coordinator_host_options options;
  options.self.name = settings.name;
  options.self.address = ToString(settings.peer_listen);
  options.self.fitness = workflow::Fitness(
      settings.processor_share * settings.processor_speed, settings.link_mbps);
  options.succession.lease = settings.leader_lease;
  if (!settings.caller_listen) {
    options.poll_interval = kStandbyPollInterval;
    options.idle_poll_interval = kIdlePollInterval;
  }
  options.commit_interval = settings.commit_interval;
  options.coordinator.lease_duration = settings.run_grant;
  options.coordinator.job_order =
      settings.feasible_jobs_first ? workflow::job_order_policy::kFeasibleFirst
                                   : workflow::job_order_policy::kObjective;
  options.coordinator.adaptive_latency_margin =
      settings.adaptive_latency_margin;
  options.coordinator.placement.prefer_tolerant_vms =
      settings.prefer_tolerant_vms;
  options.coordinator.initial_interference = settings.initial_interference;
  options.keep_interference = settings.keep_interference;
  options.max_row_bytes = settings.max_row_bytes;
  options.job_budget_bytes =
      JobBudget(settings.admission, settings.accepted_jobs_kb);
  options.coordinator.remote_slowdown = settings.remote_slowdown;
  host = std::make_unique<coordinator_host>(
      control, peers, metrics, std::move(options),
      coordinator_host::hooks{table, &boot_clock::now, &UnixMillis,
                              MakeSystemRandom(), log,
                              [this] { return operators->newest(); },
                              [this] { FollowOperators(); }});
  relay = std::make_unique<request_relay>(
      control,
      request_relay::hooks{
          [this] { return IsCutOff(); },
          [this] {
            const auto& leader = host->leader();
            return leader.holder == settings.name ? "" : leader.address;
          },
          [this] {
            return boot_clock::now() - host->reported_at() < kOthersSilent;
          },
          [this](const std::string& address, const char* path,
                 const std::string& body, millis timeout,
                 const net::yield& yield) {
            return CallPeer(peers, address, path, body, timeout, yield);
          },
          log});
  front = std::make_unique<job_front>(
      control, peers, metrics, *host,
      job_front::hooks{table, &boot_clock::now, &UnixMillis,
                       [this] { return operators->newest(); }, log,
                       [this](const operator_view& view) {
                         return freshness->IsCurrent(view);
                       },
                       [this] { return link.is_away(); },
                       [this] { return relay->access(); },
                       [this](const net::http_request& request, millis timeout,
                              const net::yield& yield) {
                         return relay->Forward(request, timeout, yield);
                       },
                       settings.max_row_bytes, settings.name,
                       JobBudget(settings.admission, settings.accepted_jobs_kb),
                       limits.Waiting()});
  member = std::make_unique<member_row>(control, table,
                                        kMemberPrefix + settings.name,
                                        ToString(settings.peer_listen));
  freshness = std::make_unique<settings_freshness>(
      settings.settings_max_age, metrics,
      settings_freshness::hooks{[this] { return operators->newest(); },
                                &boot_clock::now, log});
  monitor =
      std::make_unique<loop_monitor>(control, metrics, &boot_clock::now, log);
  return done{};
}

result<done> gateway_role::parts::Listen() {
  if (const auto& at = settings.caller_listen) {
    auto options = limits.Http(port_use::kClients, kDefaultBodyBytes);
    options.max_connections =
        std::min(options.max_connections, settings.connections);
    auto made = net::http_server::Make(
        loop, at->ip, at->port, options,
        [this](const net::http_request& request, const net::yield& yield) {
          return front->Handle(request, yield);
        },
        {limits.admit(), [this] { return MaxBodyBytes(); }});
    if (!made) {
      return made.last_reason();
    }
    callers = *std::move(made);
  }
  if (const auto& at = settings.ready_listen) {
    auto made = net::http_server::Make(
        loop, at->ip, at->port, limits.Http(port_use::kReadiness, kNoBodyBytes),
        [this](const net::http_request&, const net::yield&) {
          return IsReady() ? net::http_reply{200, {}, "ready"}
                           : net::http_reply{503, {}, "not ready"};
        },
        {limits.admit(), nullptr});
    if (!made) {
      return made.last_reason();
    }
    balancer = *std::move(made);
  }
  auto peer_server = net::h2_server::Make(
      loop, settings.peer_listen.ip, settings.peer_listen.port,
      limits.Peers(PeerOptions()),
      [this](const net::h2_stream_ptr& stream, const net::yield& yield) {
        HandlePeer(stream, yield);
      },
      limits.admit());
  if (!peer_server) {
    return peer_server.last_reason();
  }
  runners = *std::move(peer_server);
  auto pages = ServeMetrics(
      loop, settings.metrics_listen, metrics, [this] { return Status(); },
      limits);
  if (!pages) {
    return pages.last_reason();
  }
  metrics_page = *std::move(pages);
  return done{};
}

void gateway_role::parts::HandlePeer(const net::h2_stream_ptr& stream,
                                     const net::yield& yield) {
  const std::string path(net::FindHeader(stream->request_headers(), ":path"));
  const auto body = ReadBody(*stream, workflow::kMaxMessageBytes, yield);
  if (!body) {
    events.Write("message_rejected",
                 {{"path", path}, {"reason", body.last_reason().code}});
    stream->Reset(net::h2_error::kEnhanceYourCalm);
    return;
  }
  net::http_reply reply;
  if (path == kRequestPath) {
    const auto request = DecodeRequest(*body);
    reply = request ? front->HandleForPeer(*request, yield)
                    : net::http_reply{400, {}, request.last_reason().detail};
  } else {
    reply = AnswerPeer(path, *body);
  }
  Reply(*stream, reply.status, reply.headers, reply.body, yield);
}

net::http_reply gateway_role::parts::AnswerPeer(const std::string& path,
                                                const std::string& body) {
  if (path == kReportPath) {
    if (!host->ready()) {
      // Tells the runner whom to report to instead, if anyone is known.
      return {409, {}, workflow::EncodeLeaderRow(host->leader())};
    }
    const auto report = workflow::DecodeReport(body);
    if (!report) {
      return {400, {}, report.last_reason().detail};
    }
    return {200, {}, workflow::Encode(host->OnReport(*report))};
  }
  if (path == kPhasePath || path == kPendingPath) {
    const auto answer = path == kPhasePath ? front->PhaseForPeer(body)
                                           : front->PendingForPeer(body);
    return answer ? net::http_reply{200, {}, *answer}
                  : net::http_reply{404, {}, ""};
  }
  if (path == kJobRoomPath) {
    const auto asked = workflow::DecodeRoomQuestion(body);
    if (!asked) {
      return {400, {}, asked.last_reason().detail};
    }
    return host->ready()
               ? net::http_reply{200, {}, Encode(host->JobRoom(*asked))}
               : net::http_reply{404, {}, ""};
  }
  if (path == kStorePath) {
    return {IsCutOff() ? 503 : 200, {}, ""};
  }
  if (path == kLeaderPath) {
    if (const auto row = workflow::DecodeLeaderRow(body)) {
      host->OnLeader(*row);
    }
    return {200, {}, ""};
  }
  if (path == kClaimPath) {
    const auto rival = workflow::DecodeCandidate(body);
    if (!rival) {
      return {400, {}, rival.last_reason().detail};
    }
    host->OnClaim(*rival);
    return {200, {}, ""};
  }
  return {404, {}, ""};
}

std::string gateway_role::parts::Status() const {
  const auto from_operators = operators->newest();
  const auto& catalogue = from_operators.state->catalogue;
  return nlohmann::json{
      {"name", settings.name},
      {"ready", IsReady()},
      {"coordinator", host->leader().holder},
      {"epoch", host->leader().epoch},
      {"catalogue_version", catalogue ? catalogue->version : 0},
      {"settings_current", freshness->IsCurrent()},
      {"out_of_service", from_operators.state->out_of_service}}
      .dump();
}

void gateway_role::parts::FollowOperators() {
  if (!std::exchange(follows_operators, true)) {
    operators->Start();
  }
}

void gateway_role::parts::StartTimers() {
  host->Start();
  if (settings.caller_listen) {
    relay->Start();
    member->Start();  // Callers need the coordinator's address at once.
    FollowOperators();
  }
  monitor->Start();
  RunEvery(control, kFlushInterval, [this] {
    freshness->Report();
    events.Flush();
  });
  RunEvery(control, kGaugeInterval, [this] {
    host->UpdateGauges();
    limits.UpdateGauges();
    metrics.Set("chiveglade_log_lines_dropped", {},
                static_cast<double>(events.dropped()));
  });
}

void gateway_role::parts::AddStopSteps(lifecycle& cycle) {
  cycle.AddStopStep("coordinator", [this](std::function<void()> then) {
    stopping = true;
    net::asio::post(control,
                    [this, then = std::move(then)] { host->Release(then); });
  });
  // Callers are sent here until the balancer has noticed. It is told from the
  // beginning of the stop, so a slow release leaves time to drain.
  if (callers) {
    cycle.AddStopDelay("balancer", settings.unready_before_stop);
    cycle.AddStopStep("callers", [this](std::function<void()> then) {
      callers->Drain(std::move(then));
    });
  }
  cycle.AddStopStep("logs", [this](const std::function<void()>& then) {
    Log("stopped", {});
    events.Flush();
    then();
  });
}

gateway_role::gateway_role(std::unique_ptr<parts> owned)
    : parts_(std::move(owned)) {}

gateway_role::~gateway_role() = default;

result<std::unique_ptr<gateway_role>> gateway_role::Make(
    const config::gateway_settings& settings) {
  auto made = std::make_unique<parts>(settings);
  for (const auto step : {&parts::MakeStore, &parts::MakeOperatorFeed,
                          &parts::MakeParts, &parts::Listen}) {
    if (const auto outcome = (made.get()->*step)(); !outcome) {
      return outcome.last_reason();
    }
  }
  return std::unique_ptr<gateway_role>(new gateway_role(std::move(made)));
}

exit_code gateway_role::Run() {
  const auto& settings = parts_->settings;
  const auto& callers = settings.caller_listen;
  parts_->Log("gateway_started",
              {{"name", settings.name},
               {"callers", callers ? ToString(*callers) : ""},
               {"peers", ToString(settings.peer_listen)}});
  if (settings.max_row_bytes < workflow::kMaxProgressRowBytes) {
    parts_->Log("store_rows_too_short",
                {{"max_row_bytes", std::to_string(settings.max_row_bytes)},
                 {"needed", std::to_string(workflow::kMaxProgressRowBytes)}});
  }
  lifecycle cycle(parts_->loop, settings.shutdown_grace);
  cycle.OnReload([this] {
    // All settings are addresses and limits of this life of the process.
    parts_->Log("reload_ignored", {{"reason", "settings apply at start"}});
  });
  parts_->AddStopSteps(cycle);
  parts_->StartTimers();
  return cycle.Run(kThreads) ? exit_code::kDone : exit_code::kFailed;
}

}  // namespace chiveglade::app
