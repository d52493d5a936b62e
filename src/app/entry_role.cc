#include "entry_role.h"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "admission_options.h"
#include "chiveglade/core/wall_clock.h"
#include "chiveglade/net/h2_server.h"
#include "chiveglade/net/http_server.h"
#include "chiveglade/observe/log.h"
#include "chiveglade/routing/request_front.h"
#include "chiveglade/sched/planner.h"
#include "chiveglade/store/http_object_store.h"
#include "chiveglade/store/http_table.h"
#include "entry_metrics.h"
#include "heartbeat_service.h"
#include "lifecycle.h"
#include "operator_api.h"
#include "peer_pool.h"
#include "store_options.h"

namespace chiveglade::app {

namespace {

constexpr millis kSchedulerTick{50};
constexpr millis kGaugeInterval{1'000};
// Expired claims deleted at a time, once a second; above the 25 keyed requests
// a second that the share of the store's writes allows for.
constexpr size_t kClaimsSwept = 40;

void LogEvent(const char* event, const observe::log_fields& fields) {
  observe::LogInfo(event, fields);
}

}  // namespace

// Members are destroyed in reverse order, the event loop last.
struct entry_role::parts {
  net::asio::io_context loop;
  entry_context context{loop};
  peer_pool peers{loop};
  std::unique_ptr<admission_options> limits;
  std::unique_ptr<operator_api> api;
  std::unique_ptr<heartbeat_service> heartbeats;
  std::shared_ptr<routing::claim_table> claims;
  std::shared_ptr<routing::request_front> front;
  std::shared_ptr<net::http_server> operators;
  std::shared_ptr<net::h2_server> agents;

  result<done> MakeStore();
  result<done> MakeControl();
  result<done> MakeScheduler();
  result<done> MakeRouting();
  result<done> Listen();
  void OnControlChanged();
  void StartTimers();
  void AddStopSteps(lifecycle& cycle);
};

result<done> entry_role::parts::MakeStore() {
  const auto& settings = context.settings;
  auto table = store::MakeHttpTable(
      loop, context.control,
      StoreOptions(settings.table, settings.store_timeout));
  if (!table) {
    return table.last_reason();
  }
  auto objects = store::MakeHttpObjectStore(
      loop, context.control,
      StoreOptions(settings.object_store, settings.store_timeout));
  if (!objects) {
    return objects.last_reason();
  }
  context.table = *std::move(table);
  context.objects = *std::move(objects);
  return done{};
}

result<done> entry_role::parts::MakeControl() {
  const auto& settings = context.settings;
  control::control_reader_options options;
  options.self = {settings.name, settings.data_centre,
                  ToString(settings.peer_listen)};
  auto reader = control::control_reader::Make(options, context.table,
                                              context.objects, context.clock,
                                              [this] { OnControlChanged(); });
  if (!reader) {
    return reader.last_reason();
  }
  context.reader = *std::move(reader);
  return done{};
}

result<done> entry_role::parts::MakeScheduler() {
  auto planner = sched::planner::Make({}, context.random);
  if (!planner) {
    return planner.last_reason();
  }
  const auto& settings = context.settings;
  authority::scheduler_options options;
  options.name = settings.name;
  options.address = ToString(settings.peer_listen);
  options.append_interval = settings.append_interval;
  options.scheduler_lease = settings.scheduler_lease;
  options.head_poll_interval = settings.control_poll;
  options.log = [](const std::string& line) {
    observe::LogInfo("scheduler_role", {{"change", line}});
  };
  auto scheduler = authority::scheduler::Make(
      options, context.table, context.objects,
      authority::MakePlannerHooks(*std::move(planner)), context.clock,
      context.random);
  if (!scheduler) {
    return scheduler.last_reason();
  }
  context.scheduler = *std::move(scheduler);
  return done{};
}

result<done> entry_role::parts::MakeRouting() {
  const auto& settings = context.settings;
  routing::directory_options directory;
  directory.data_centre = settings.data_centre;
  auto made = routing::target_directory::Make(directory, context.clock);
  if (!made) {
    return made.last_reason();
  }
  context.directory = *std::move(made);
  routing::claim_options claim_limits;
  claim_limits.entry = settings.name;
  claims = routing::claim_table::Make(
      claim_limits,
      {context.table, context.clock, &UnixMillis, context.random,
       [this](millis wait, std::function<void()> then) {
         auto timer = std::make_shared<net::asio::steady_timer>(loop, wait);
         timer->async_wait([timer, then = std::move(then)](
                               const boost::system::error_code&) { then(); });
       }});
  const auto callers =
      limits->Http(port_use::kClients, settings.max_body_bytes);
  routing::front_options options;
  options.entry = settings.name;
  options.listen = settings.caller_listen;
  options.max_connections = callers.max_connections;
  options.socket_buffer_bytes = callers.socket_buffer_bytes;
  options.max_open_requests =
      std::min(settings.open_requests, limits->PassingStreams());
  options.max_header_bytes = settings.max_header_bytes;
  options.max_body_bytes = settings.max_body_bytes;
  auto listening = routing::request_front::Make(
      loop, options,
      {[this] { return context.reader->view()->manifest; }, context.directory,
       claims, [this](const config::endpoint& at) { return peers.Find(at); },
       [this](const routing::request_record& record) {
         RecordRequest(context, record);
       },
       context.clock, context.random});
  if (!listening) {
    return listening.last_reason();
  }
  front = *std::move(listening);
  return done{};
}

result<done> entry_role::parts::Listen() {
  const auto& settings = context.settings;
  api = std::make_unique<operator_api>(context);
  heartbeats = std::make_unique<heartbeat_service>(
      context, [this](const std::string& path, const net::yield& yield) {
        return api->AnswerQuestion(path, yield);
      });
  auto peer_server = net::h2_server::Make(
      loop, settings.peer_listen.ip, settings.peer_listen.port,
      limits->Peers({}),
      [this](const net::h2_stream_ptr& stream, const net::yield& yield) {
        heartbeats->Handle(stream, yield);
      },
      limits->admit());
  if (!peer_server) {
    return peer_server.last_reason();
  }
  agents = *std::move(peer_server);
  auto operator_server = net::http_server::Make(
      loop, settings.operator_listen.ip, settings.operator_listen.port,
      limits->Http(port_use::kOperators, config::kMaxManifestBytes),
      [this](const net::http_request& request, const net::yield& yield) {
        return api->Handle(request, yield);
      },
      {limits->admit(), nullptr});
  if (!operator_server) {
    return operator_server.last_reason();
  }
  operators = *std::move(operator_server);
  return done{};
}

void entry_role::parts::OnControlChanged() {
  const auto view = context.reader->view();
  if (view->manifest) {
    context.scheduler->SetManifest(view->published.version, *view->manifest);
  }
  std::set<std::string> out;
  for (const auto& [name, row] : view->data_centres) {
    if (IsOut(row)) {
      out.insert(name);
    }
  }
  context.directory->SetOutOfService(std::move(out), {});
  observe::LogInfo("control_rows_changed",
                   {{"manifest", std::to_string(view->published.version)},
                    {"entries", std::to_string(view->entries.size())}});
}

void entry_role::parts::StartTimers() {
  RunEvery(context.control, context.settings.control_poll,
           [this] { context.reader->Poll(); });
  RunEvery(context.control, kSchedulerTick,
           [this] { context.scheduler->Tick(); });
  RunEvery(context.control, kGaugeInterval, [this] {
    context.directory->Expire();
    UpdateGauges(context, front->open_requests());
    limits->UpdateGauges();
    const auto view = context.reader->view();
    if (context.scheduler->holds_role() && view->manifest) {
      std::vector<std::string> tenants;
      for (const auto& tenant : view->manifest->tenants) {
        tenants.push_back(tenant.name);
      }
      claims->Sweep(tenants, kClaimsSwept, [](size_t) {});
    }
  });
}

void entry_role::parts::AddStopSteps(lifecycle& cycle) {
  cycle.AddStopStep("requests", [this](std::function<void()> then) {
    front->Drain(std::move(then));
  });
  cycle.AddStopStep("scheduler", [this](std::function<void()> then) {
    net::asio::post(context.control, [this, then = std::move(then)] {
      context.scheduler->Release(then);
    });
  });
  cycle.AddStopStep("agents", [this](std::function<void()> then) {
    agents->Drain(std::move(then));
  });
  cycle.AddStopStep("operators", [this](std::function<void()> then) {
    operators->Drain(std::move(then));
  });
}

entry_role::entry_role(std::unique_ptr<parts> owned)
    : parts_(std::move(owned)) {}

entry_role::~entry_role() = default;

result<std::unique_ptr<entry_role>> entry_role::Make(
    const config::entry_settings& settings) {
  auto made = std::make_unique<parts>();
  auto& context = made->context;
  context.settings = settings;
  context.clock = &boot_clock::now;
  context.random = MakeSystemRandom();
  context.peer = [raw = made.get()](const std::string& address) {
    return raw->peers.Find(address);
  };
  made->limits = std::make_unique<admission_options>(
      settings.admission, context.metrics, &LogEvent);
  for (const auto step :
       {&parts::MakeStore, &parts::MakeControl, &parts::MakeScheduler,
        &parts::MakeRouting, &parts::Listen}) {
    if (const auto outcome = (made.get()->*step)(); !outcome) {
      return outcome.last_reason();
    }
  }
  return std::unique_ptr<entry_role>(new entry_role(std::move(made)));
}

exit_code entry_role::Run() {
  const auto& settings = parts_->context.settings;
  observe::LogInfo("entry_started",
                   {{"callers", ToString(settings.caller_listen)},
                    {"operators", ToString(settings.operator_listen)},
                    {"agents", ToString(settings.peer_listen)}});
  lifecycle cycle(parts_->loop, settings.shutdown_grace);
  parts_->AddStopSteps(cycle);
  parts_->StartTimers();
  return cycle.Run(settings.threads) ? exit_code::kDone : exit_code::kFailed;
}

}  // namespace chiveglade::app
