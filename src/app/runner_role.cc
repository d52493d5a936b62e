#include "runner_role.h"

#include <unistd.h>

#include <chrono>
#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "admission_options.h"
#include "chiveglade/net/h2_server.h"
#include "chiveglade/net/http_server.h"
#include "chiveglade/observe/event_log.h"
#include "chiveglade/observe/metrics.h"
#include "chiveglade/workflow/fenced_writer.h"
#include "chiveglade/workflow/supervisor.h"
#include "coordinator_host.h"
#include "entropy.h"
#include "heartbeat_service.h"
#include "lifecycle.h"
#include "loop_monitor.h"
#include "manifest_fetch.h"
#include "member_row.h"
#include "metrics_page.h"
#include "peer_call.h"
#include "platform/table_client.h"
#include "platform/worker_client.h"
#include "store_options.h"

namespace chiveglade::app {

namespace {

// One thread: a VM of this role has a fraction of a processor.
constexpr uint32_t kThreads = 1;
constexpr millis kFlushInterval{200};
constexpr millis kGaugeInterval{1'000};
// Retries and expiries of the supervisor need no finer clock.
constexpr millis kWorkInterval{50};
constexpr millis kReportTimeout{600};
// Wait between reports while no coordinator answers.
constexpr millis kReportRetry{100};
// How often the leader row is read while no coordinator answers.
constexpr millis kLeaderPoll{400};
// Wait of a lease call after one that failed, or that must wait.
constexpr millis kLeaseRetry{100};
constexpr millis kLeaseHeld{20};
// Less is within the error of the worker's clock over a lease.
constexpr millis kMinSuspension{50};
// Of the platform.
constexpr uint64_t kMaxHeartbeatBytes = 4UL * 1024 * 1024;

}  // namespace

// Members are destroyed in reverse order, the event loop last.
struct runner_role::parts {
  explicit parts(const config::runner_settings& in)
      : settings(in), worker(loop, in.worker.ip, in.worker.port) {}

  net::asio::io_context loop;
  strand control = net::asio::make_strand(loop);
  config::runner_settings settings;
  observe::metrics metrics;
  observe::event_log events{STDOUT_FILENO, {}, &boot_clock::now};
  admission_options limits{
      settings.admission, metrics,
      [this](const char* event, const observe::log_fields& fields) {
        events.Write(event, fields);
      }};
  peer_pool peers{loop, PeerOptions()};
  store::table_service table;
  platform::worker_client worker;
  std::unique_ptr<workflow::supervisor> core;
  std::unique_ptr<member_row> member;
  std::unique_ptr<loop_monitor> monitor;
  std::shared_ptr<net::http_server> heartbeats;
  std::shared_ptr<net::h2_server> coordinator;
  std::shared_ptr<net::http_server> metrics_page;
  net::asio::steady_timer report_timer{control};
  net::asio::steady_timer lease_timer{control};
  // Largest difference seen between the clock that counts suspensions and the
  // one that does not.
  millis suspended = millis::min();
  bool reading_leader = false;
  boot_time leader_read_at{};
  bool connected = false;  // the last report was answered
  bool stopping = false;

  void Log(const char* event, const observe::log_fields& fields) {
    events.Write(event, fields);
  }
  // Returns the time, after telling the supervisor of a suspension of the VM.
  boot_time Now();
  result<done> MakeParts();
  result<done> Listen();
  net::http_reply OnHeartbeat(const net::http_request& request);
  void HandlePeer(const net::h2_stream_ptr& stream, const net::yield& yield);
  // Makes the calls that are due, and reports at once if there is news.
  void Work();
  void WakeLease() { lease_timer.cancel(); }
  void StartCalls();
  // Makes the call and passes its reply on.
  workflow::call_status CallLease(const workflow::lease_call& call,
                                  const net::yield& yield);
  void LeaseLoop(const net::yield& yield);
  void ReportLoop(const net::yield& yield);
  void ReportOnce(const net::yield& yield);
  void FindLeader();
  bool Sleep(net::asio::steady_timer& timer,
             millis time,
             const net::yield& yield);
  std::string Status() const;
  void StartTimers();
  void AddStopSteps(lifecycle& cycle);
};

boot_time runner_role::parts::Now() {
  const auto now = boot_clock::now();
  // Read second, so that a pause in between does not count as a suspension.
  const auto steady = std::chrono::duration_cast<millis>(
      std::chrono::steady_clock::now().time_since_epoch());
  const millis difference = now.time_since_epoch() - steady;
  if (suspended == millis::min()) {
    suspended = difference;
  } else if (difference - suspended >= kMinSuspension) {
    core->OnSuspension(difference - std::exchange(suspended, difference), now);
  }
  return now;
}

result<done> runner_role::parts::MakeParts() {
  auto made = platform::MakeTableClient(
      loop, control, StoreOptions(settings.store, settings.store_timeout));
  if (!made) {
    return made.last_reason();
  }
  table = *std::move(made);
  workflow::supervisor_options options;
  options.vm = settings.vm;
  options.address = ToString(settings.peer_listen);
  options.runner_incarnation = MakeNonce(MakeSystemRandom());
  options.worker_lease = settings.worker_lease;
  options.pacing.initial_interference = settings.initial_interference;
  const auto log = [this](const char* event,
                          const observe::log_fields& fields) {
    Log(event, fields);
  };
  options.log = log;
  core = std::make_unique<workflow::supervisor>(std::move(options));
  member =
      std::make_unique<member_row>(control, table, kMemberPrefix + settings.vm,
                                   ToString(settings.peer_listen));
  monitor =
      std::make_unique<loop_monitor>(control, metrics, &boot_clock::now, log);
  return done{};
}

result<done> runner_role::parts::Listen() {
  auto beats = net::http_server::Make(
      loop, settings.worker_listen.ip, settings.worker_listen.port,
      limits.Http(port_use::kClients, kMaxHeartbeatBytes),
      [this](const net::http_request& request, const net::yield&) {
        return OnHeartbeat(request);
      },
      {limits.admit(), nullptr});
  if (!beats) {
    return beats.last_reason();
  }
  heartbeats = *std::move(beats);
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
  coordinator = *std::move(peer_server);
  auto pages = ServeMetrics(
      loop, settings.metrics_listen, metrics, [this] { return Status(); },
      limits);
  if (!pages) {
    return pages.last_reason();
  }
  metrics_page = *std::move(pages);
  return done{};
}

net::http_reply runner_role::parts::OnHeartbeat(
    const net::http_request& request) {
  const std::string_view prefix(platform::kInstancePrefix);
  const std::string path(net::PathOf(request.target));
  if (!path.starts_with(prefix)) {
    return net::MakeRefusal(404, verdict::kNotRun, "not_found",
                            "heartbeats of a worker come here");
  }
  const std::string instance = path.substr(prefix.size());
  if (request.method == "DELETE") {
    core->OnWorkerExit(instance, Now());
  } else if (request.method == "PUT") {
    const auto beat = platform::DecodeWorkerHeartbeat(instance, request.body);
    if (!beat) {
      Log("heartbeat_unreadable", {{"instance", instance}});
      return net::MakeRefusal(400, verdict::kNotRun, "bad_heartbeat",
                              "the heartbeat cannot be read");
    }
    core->OnHeartbeat(*beat, Now());
  } else {
    return net::MakeRefusal(405, verdict::kNotRun, "bad_method",
                            "heartbeats are PUT or DELETE");
  }
  Work();
  return {200, {{"content-type", "application/json"}}, "{}"};
}

void runner_role::parts::HandlePeer(const net::h2_stream_ptr& stream,
                                    const net::yield& yield) {
  const std::string path(net::FindHeader(stream->request_headers(), ":path"));
  const auto body = ReadBody(*stream, workflow::kMaxMessageBytes, yield);
  if (!body) {
    Log("message_rejected",
        {{"path", path}, {"reason", body.last_reason().code}});
    stream->Reset(net::h2_error::kEnhanceYourCalm);
    return;
  }
  int status = 404;
  if (path == kOrdersPath) {
    const auto orders = workflow::DecodeOrders(*body);
    status = orders ? 200 : 400;
    if (orders) {
      core->OnOrders(*orders, Now());
      Work();
      WakeLease();
    }
  } else if (path == kLeaderPath) {
    const auto row = workflow::DecodeLeaderRow(*body);
    status = row ? 200 : 400;
    if (row) {
      core->OnCoordinator(row->epoch, row->address);
      Work();
      WakeLease();
    }
  }
  Reply(*stream, status, {}, "", yield);
}

void runner_role::parts::Work() {
  if (stopping) {
    return;
  }
  StartCalls();
  if (core->IsReportDue()) {
    report_timer.cancel();
  }
}

void runner_role::parts::StartCalls() {
  const auto now = Now();
  if (const auto probe = core->TakeProbe(now)) {
    net::asio::spawn(
        control,
        [this, call = *probe](const net::yield& yield) {
          CallLease(call, yield);
          Work();
        },
        net::asio::detached);
  }
  for (auto& call : core->TakeStarts(now)) {
    net::asio::spawn(
        control,
        [this, call = std::move(call)](const net::yield& yield) {
          const auto sent = Now();
          const auto status = worker.Start(call, yield);
          core->OnStartReply(call, status, sent, Now());
          Work();
        },
        net::asio::detached);
  }
  for (auto& call : core->TakeStops(now)) {
    net::asio::spawn(
        control,
        [this, call = std::move(call)](const net::yield& yield) {
          const auto status = worker.Stop(call, yield);
          core->OnStopReply(call.run, status, Now());
          WakeLease();
        },
        net::asio::detached);
  }
  for (auto& call : core->TakePaces(now)) {
    net::asio::spawn(
        control,
        [this, call = std::move(call)](const net::yield& yield) {
          const auto status = worker.Pace(call, yield);
          core->OnPaceReply(call, status, Now());
        },
        net::asio::detached);
  }
}

bool runner_role::parts::Sleep(net::asio::steady_timer& timer,
                               millis time,
                               const net::yield& yield) {
  timer.expires_after(time);
  boost::system::error_code error;  // Cancelled: there is something to do.
  timer.async_wait(yield[error]);
  return !stopping;
}

workflow::call_status runner_role::parts::CallLease(
    const workflow::lease_call& call,
    const net::yield& yield) {
  const auto sent = Now();
  const auto reply = worker.Lease(call, yield);
  core->OnLeaseReply(call, reply, sent, Now());
  return reply.status;
}

void runner_role::parts::LeaseLoop(const net::yield& yield) {
  while (!stopping) {
    const auto call = core->NextLease(Now());
    if (!call) {
      Sleep(lease_timer, core->worker_gone() ? kLeaseRetry : kLeaseHeld, yield);
      continue;
    }
    const auto status = CallLease(*call, yield);
    Work();
    if (status != workflow::call_status::kOk) {
      Sleep(lease_timer, kLeaseRetry, yield);
    }
  }
}

void runner_role::parts::ReportLoop(const net::yield& yield) {
  while (!stopping) {
    if (core->coordinator().empty()) {
      FindLeader();
      Sleep(report_timer, kReportRetry, yield);
      continue;
    }
    ReportOnce(yield);
    if (!core->IsReportDue() || !connected) {
      Sleep(report_timer, connected ? settings.report_interval : kReportRetry,
            yield);
    }
  }
}

void runner_role::parts::ReportOnce(const net::yield& yield) {
  const auto sent = Now();
  const auto report = core->MakeReport(sent);
  const auto reply = CallPeer(peers, core->coordinator(), kReportPath,
                              workflow::Encode(report), kReportTimeout, yield);
  const bool was_connected = connected;
  connected = false;
  if (reply && reply->status == 200) {
    if (const auto answer = workflow::DecodeReportReply(reply->body)) {
      core->OnReportReply(report, *answer, sent);
      for (const auto& orders : answer->undelivered) {
        core->OnOrders(orders, Now());
      }
      connected = true;
    }
  } else if (reply && reply->status == 409) {
    if (const auto row = workflow::DecodeLeaderRow(reply->body)) {
      core->OnCoordinator(row->epoch, row->address);
    }
  }
  if (connected != was_connected) {
    Log(connected ? "coordinator_regained" : "coordinator_unreachable",
        {{"address", core->coordinator()},
         {"grant_left_ms",
          std::to_string(core->GrantLeft(boot_clock::now()).count())}});
  }
  if (connected) {
    Work();
    WakeLease();
  } else {
    FindLeader();
  }
}

void runner_role::parts::FindLeader() {
  const auto now = Now();
  if (reading_leader || now - leader_read_at < kLeaderPoll) {
    return;
  }
  reading_leader = true;
  leader_read_at = now;
  table.read(workflow::kLeaderKey,
             [this](const result<std::optional<store::row>>& found) {
               reading_leader = false;
               if (!found || !*found) {
                 return;
               }
               if (const auto row = workflow::DecodeLeaderRow((*found)->value);
                   row && !row->released) {
                 core->OnCoordinator(row->epoch, row->address);
                 Work();
               }
             });
}

std::string runner_role::parts::Status() const {
  return nlohmann::json{
      {"vm", settings.vm},
      {"coordinator", core->coordinator()},
      {"epoch", core->epoch()},
      {"connected", connected},
      {"runs", core->run_count()},
      {"grant_left_ms", core->GrantLeft(boot_clock::now()).count()},
      {"filler_percent", core->filler_percent()}}
      .dump();
}

void runner_role::parts::StartTimers() {
  member->Start();
  monitor->Start();
  net::asio::spawn(
      control, [this](const net::yield& yield) { LeaseLoop(yield); },
      net::asio::detached);
  net::asio::spawn(
      control, [this](const net::yield& yield) { ReportLoop(yield); },
      net::asio::detached);
  RunEvery(control, kWorkInterval, [this] { Work(); });
  RunEvery(control, kFlushInterval, [this] { events.Flush(); });
  RunEvery(control, kGaugeInterval, [this] {
    metrics.Set(
        "chiveglade_runner_grant_seconds", {},
        static_cast<double>(core->GrantLeft(boot_clock::now()).count()) /
            1'000);
    metrics.Set("chiveglade_runner_filler_percent", {}, core->filler_percent());
    metrics.Set("chiveglade_coordinator_epoch", {},
                static_cast<double>(core->epoch()));
    limits.UpdateGauges();
    metrics.Set("chiveglade_log_lines_dropped", {},
                static_cast<double>(events.dropped()));
  });
}

void runner_role::parts::AddStopSteps(lifecycle& cycle) {
  // The worker goes on under its lease until this process is back.
  cycle.AddStopStep("calls", [this](const std::function<void()>& then) {
    Log("stopped", {{"runs", std::to_string(core->run_count())}});
    stopping = true;
    events.Flush();
    then();
  });
}

runner_role::runner_role(std::unique_ptr<parts> owned)
    : parts_(std::move(owned)) {}

runner_role::~runner_role() = default;

result<std::unique_ptr<runner_role>> runner_role::Make(
    const config::runner_settings& settings) {
  auto made = std::make_unique<parts>(settings);
  for (const auto step : {&parts::MakeParts, &parts::Listen}) {
    if (const auto outcome = (made.get()->*step)(); !outcome) {
      return outcome.last_reason();
    }
  }
  return std::unique_ptr<runner_role>(new runner_role(std::move(made)));
}

exit_code runner_role::Run() {
  const auto& settings = parts_->settings;
  parts_->Log("runner_started", {{"vm", settings.vm},
                                 {"worker", ToString(settings.worker)},
                                 {"peers", ToString(settings.peer_listen)}});
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
