// Changes that operators ask an entry for, but for manifests.
#include <ctime>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "chiveglade/authority/commands.h"
#include "operator_api.h"

namespace chiveglade::app {

using nlohmann::json;

namespace {

constexpr int kOutcomePolls = 20;
constexpr millis kOutcomePollInterval{150};

// The time of day for people; nothing is decided by it.
std::string NowAsText() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[32];
  const size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text, size};
}

net::http_reply FromOutcome(const authority::command_outcome& outcome,
                            const std::string& accepted) {
  using authority::command_status;
  switch (outcome.status) {
    case command_status::kAccepted:
      return MakeAnswer(200, "accepted", accepted);
    case command_status::kConflict:
      return MakeAnswer(409, "conflict",
                        outcome.detail + " (by " + outcome.by + ", version " +
                            std::to_string(outcome.version) + ")");
    case command_status::kNotAccepted:
      return MakeAnswer(503, "not_accepted",
                        "nothing was changed: " + outcome.detail);
    case command_status::kUnknown:
      break;
  }
  return MakeAnswer(504, "unknown", outcome.detail);
}

net::http_reply DryRun(const std::string& what) {
  return MakeAnswer(200, "dry_run", "would " + what + "; nothing was changed");
}

}  // namespace

net::http_reply operator_api::ChangeDataCentre(const change_call& call,
                                               const std::string& name,
                                               bool out,
                                               const net::yield& yield) {
  const auto view = context_.reader->view();
  bool declared = false;
  if (view->manifest) {
    for (const auto& centre : view->manifest->data_centres) {
      declared = declared || centre.name == name;
    }
  }
  if (!declared) {
    return MakeAnswer(404, "not_found",
                      "the manifest declares no data centre " + name);
  }
  uint64_t seen = 0;
  if (const auto at = view->data_centres.find(name);
      at != view->data_centres.end()) {
    seen = at->second.version;
  }
  if (!call.expect.empty()) {
    if (call.expect.size() > 18 ||
        call.expect.find_first_not_of("0123456789") != std::string::npos) {
      return MakeAnswer(422, "invalid", "`expect` is not a version number");
    }
    seen = std::stoull(call.expect);
  }
  const std::string what =
      out ? "take " + name + " out of service" : "return " + name;
  if (call.dry_run) {
    return DryRun(what);
  }
  const authority::data_centre_change change{
      name,
      seen,
      {out, NowAsText(), call.by, call.reason, MakeNonce(context_.random)}};
  const auto outcome = AwaitCallback<authority::command_outcome>(
      context_.control,
      [this, &change](const authority::command_callback& then) {
        authority::ChangeDataCentre(context_.table, change, then);
      },
      yield);
  return FromOutcome(outcome, name +
                                  (out ? " is out of service, version "
                                       : " is in service, version ") +
                                  std::to_string(outcome.version));
}

net::http_reply operator_api::SendCommand(const authority::command& order,
                                          const std::string& verify,
                                          const net::yield& yield) {
  const auto outcome = AwaitCallback<authority::command_outcome>(
      context_.control,
      [this, &order](const authority::command_callback& then) {
        authority::SendCommand(context_.table, order, then);
      },
      yield);
  if (outcome.status != authority::command_status::kAccepted) {
    return FromOutcome(outcome, "");
  }
  net::asio::steady_timer timer(context_.loop);
  for (int i = 0; i < kOutcomePolls; ++i) {
    timer.expires_after(kOutcomePollInterval);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    const auto reply = AskScheduler("/commands/" + EscapeUrl(order.id), yield);
    if (reply.status == 200) {
      auto body = json::parse(reply.body);
      const bool accepted = body.value("accepted", false);
      body["status"] = accepted ? "done" : "conflict";
      body["verify"] = verify;
      return {accepted ? 200 : 409,
              {{"content-type", "application/json"}},
              body.dump()};
    }
  }
  return MakeAnswer(200, "accepted",
                    "durable; it will be carried out by the scheduler");
}

net::http_reply operator_api::SubmitJob(const change_call& call,
                                        const net::yield& yield) {
  const auto view = context_.reader->view();
  if (!view->manifest) {
    return MakeAnswer(503, "not_accepted",
                      "nothing was changed: no manifest is in effect here");
  }
  const auto parsed = config::ParseJob(call.body, "job", *view->manifest);
  if (!parsed.value) {
    json problems = json::array();
    for (const auto& problem : parsed.problems) {
      problems.push_back(config::ToString(problem));
    }
    return {422,
            {{"content-type", "application/json"}},
            json{{"status", "invalid"},
                 {"detail", "nothing was changed"},
                 {"problems", std::move(problems)}}
                .dump()};
  }
  if (call.dry_run) {
    return DryRun("submit " + parsed.value->name);
  }
  return SendCommand(authority::SubmitJob(call.by, *parsed.value),
                     "chiveglade job status " + parsed.value->name, yield);
}

net::http_reply operator_api::CancelJob(const change_call& call,
                                        const std::string& name,
                                        const net::yield& yield) {
  if (call.dry_run) {
    const auto reply = AskScheduler("/jobs/" + EscapeUrl(name), yield);
    return reply.status == 200 ? DryRun("cancel " + name) : reply;
  }
  return SendCommand(authority::CancelJob(call.by, name),
                     "chiveglade job status " + name, yield);
}

net::http_reply operator_api::ChangeWorker(const change_call& call,
                                           const std::string& name,
                                           const std::string& action,
                                           const net::yield& yield) {
  // The incarnation is settled now, so that a command carried out late cannot
  // end the tasks of a VM that has been restarted since.
  uint64_t incarnation = 0;
  if (action == "gone" || call.dry_run) {
    auto reply = AskScheduler("/workers/" + EscapeUrl(name), yield);
    if (reply.status != 200) {
      return reply;
    }
    const auto body = json::parse(reply.body);
    incarnation = body.at("workers").at(0).value("incarnation", uint64_t{0});
  }
  if (call.dry_run) {
    return DryRun(action + " " + name);
  }
  const auto nonce = MakeNonce(context_.random);
  const auto order =
      action == "gone"
          ? authority::WorkerGone(call.by, name, incarnation, nonce)
          : authority::DrainWorker(call.by, name, action == "drain", nonce);
  return SendCommand(order, "chiveglade worker status", yield);
}

}  // namespace chiveglade::app
