#include "operator_api.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "chiveglade/authority/commands.h"
#include "chiveglade/control/manifest_publisher.h"
#include "heartbeat_service.h"

namespace chiveglade::app {

using nlohmann::json;

namespace {

constexpr char kJson[] = "application/json";

net::http_reply JsonReply(int status, const json& body) {
  return {status,
          {{"content-type", kJson}},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

std::optional<uint64_t> ParseVersion(const std::string& text) {
  constexpr size_t kMaxDigits = 18;
  if (text.empty() || text.size() > kMaxDigits ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(text);
}

}  // namespace

net::http_reply MakeAnswer(int http_status,
                           const std::string& status,
                           const std::string& detail) {
  return JsonReply(http_status, {{"status", status}, {"detail", detail}});
}

operator_api::operator_api(entry_context& context) : context_(context) {}

net::http_reply operator_api::Handle(const net::http_request& request,
                                     const net::yield& yield) {
  const auto target = ParseTarget(request.target);
  if (!target) {
    return MakeAnswer(400, "invalid", target.last_reason().detail);
  }
  const std::string first =
      target->segments.empty() ? std::string() : target->segments[0];
  if (first == "v1") {
    return HandleV1(request, *target, yield);
  }
  if (request.method != "GET") {
    return MakeAnswer(405, "invalid", "only GET is allowed here");
  }
  if (first == "healthz") {
    return MakeAnswer(200, "ok", "the process answers");
  }
  if (first == "readyz") {
    return Ready();
  }
  if (first == "metrics") {
    return {200,
            {{"content-type", "text/plain; version=0.0.4"}},
            context_.metrics.Text()};
  }
  if (first == "status") {
    return Status(yield);
  }
  return MakeAnswer(404, "not_found", "no such path");
}

net::http_reply operator_api::HandleV1(const net::http_request& request,
                                       const parsed_target& target,
                                       const net::yield& yield) {
  if (target.segments.size() < 2) {
    return MakeAnswer(404, "not_found", "no such path");
  }
  if (request.method == "GET") {
    return Show(target, yield);
  }
  if (request.method != "POST") {
    return MakeAnswer(405, "invalid", "only GET and POST are allowed here");
  }
  const change_call call{request.body, target.Query("by"),
                         target.Query("reason"), target.Query("expect"),
                         target.Query("dry_run") == "1"};
  if (call.by.empty()) {
    return MakeAnswer(422, "invalid", "the parameter `by` is missing");
  }
  return Change(call, target, yield);
}

net::http_reply operator_api::Show(const parsed_target& target,
                                   const net::yield& yield) {
  const auto& path = target.segments;
  if (path[1] == "manifest" && path.size() == 2) {
    return ShowManifest();
  }
  if (path[1] == "dc" && path.size() == 2) {
    return ShowDataCentres(yield);
  }
  if (path[1] == "jobs" && path.size() <= 3) {
    return AskScheduler(
        path.size() == 2 ? "/jobs" : "/jobs/" + EscapeUrl(path[2]), yield);
  }
  if (path[1] == "workers" && path.size() <= 3) {
    return AskScheduler(
        path.size() == 2 ? "/workers" : "/workers/" + EscapeUrl(path[2]),
        yield);
  }
  return MakeAnswer(404, "not_found", "no such path");
}

net::http_reply operator_api::Change(const change_call& call,
                                     const parsed_target& target,
                                     const net::yield& yield) {
  const auto& path = target.segments;
  if (path[1] == "manifest" && path.size() == 2) {
    return PublishManifest(call, yield);
  }
  if (path[1] == "jobs" && path.size() == 2) {
    return SubmitJob(call, yield);
  }
  if (path.size() == 4) {
    if (path[1] == "jobs" && path[3] == "cancel") {
      return CancelJob(call, path[2], yield);
    }
    if (path[1] == "dc" && (path[3] == "out" || path[3] == "return")) {
      return ChangeDataCentre(call, path[2], path[3] == "out", yield);
    }
    if (path[1] == "workers" &&
        (path[3] == "drain" || path[3] == "undrain" || path[3] == "gone")) {
      return ChangeWorker(call, path[2], path[3], yield);
    }
  }
  return MakeAnswer(404, "not_found", "no such path");
}

int64_t operator_api::ConfirmedMillisAgo() const {
  const auto confirmed = context_.reader->confirmed_at();
  return confirmed ? (context_.clock() - *confirmed).count() : -1;
}

net::http_reply operator_api::Ready() const {
  return context_.reader->ready()
             ? MakeAnswer(200, "ready", "the manifest in effect is known")
             : MakeAnswer(503, "not_ready",
                          "neither the store nor a peer has said which "
                          "manifest is in effect");
}

net::http_reply operator_api::Status(const net::yield& yield) {
  const auto view = context_.reader->view();
  json entries = json::array();
  for (const auto& entry : view->entries) {
    entries.push_back({{"name", entry.name},
                       {"data_centre", entry.data_centre},
                       {"address", entry.address}});
  }
  json targets = json::object();
  if (view->manifest) {
    for (const auto& service : view->manifest->services) {
      json list = json::array();
      for (const auto& at : context_.directory->Status(service.name)) {
        list.push_back({{"vm", at.vm},
                        {"data_centre", at.data_centre},
                        {"load", at.load},
                        {"open", at.open},
                        {"in_service", at.in_service},
                        {"ejected", at.ejected}});
      }
      targets[service.name] = std::move(list);
    }
  }
  const auto scheduler = RunOn<std::string>(
      context_.control, [this] { return context_.scheduler->StatusJson(); },
      yield);
  return JsonReply(200,
                   {{"name", context_.settings.name},
                    {"data_centre", context_.settings.data_centre},
                    {"ready", context_.reader->ready()},
                    {"control_rows_confirmed_ms_ago", ConfirmedMillisAgo()},
                    {"manifest_version", view->published.version},
                    {"entries", std::move(entries)},
                    {"targets", std::move(targets)},
                    {"scheduler", json::parse(scheduler, nullptr, false)}});
}

net::http_reply operator_api::ShowManifest() const {
  const auto view = context_.reader->view();
  if (!view->manifest_text) {
    return MakeAnswer(404, "not_found", "no manifest is in effect here");
  }
  return JsonReply(200, {{"status", "ok"},
                         {"version", view->published.version},
                         {"hash", view->published.hash},
                         {"by", view->published.by},
                         {"confirmed_ms_ago", ConfirmedMillisAgo()},
                         {"manifest", json::parse(*view->manifest_text)}});
}

net::http_reply operator_api::PublishManifest(const change_call& call,
                                              const net::yield& yield) {
  auto parsed = config::ParseManifest(call.body, "manifest");
  if (!parsed.value) {
    json problems = json::array();
    for (const auto& problem : parsed.problems) {
      problems.push_back(config::ToString(problem));
    }
    return JsonReply(422, {{"status", "invalid"},
                           {"detail", "nothing was changed"},
                           {"problems", std::move(problems)}});
  }
  const auto expected = call.expect.empty()
                            ? context_.reader->view()->published.version
                            : ParseVersion(call.expect);
  if (!expected) {
    return MakeAnswer(422, "invalid", "`expect` is not a version number");
  }
  if (call.dry_run) {
    return MakeAnswer(200, "dry_run",
                      "would publish version " + std::to_string(*expected + 1) +
                          "; nothing was changed");
  }
  const control::publish_request request{config::WriteManifest(*parsed.value),
                                         *expected, call.by,
                                         MakeNonce(context_.random)};
  const auto outcome = AwaitCallback<control::publish_outcome>(
      context_.control,
      [this, &request](std::function<void(control::publish_outcome)> then) {
        control::PublishManifest(context_.table, context_.objects, request,
                                 std::move(then));
      },
      yield);
  switch (outcome.status) {
    case control::publish_status::kAccepted:
      return MakeAnswer(
          200, "accepted",
          "version " + std::to_string(outcome.current.version) + " accepted");
    case control::publish_status::kConflict:
      return MakeAnswer(409, "conflict", outcome.why.detail);
    case control::publish_status::kNotAccepted:
      return MakeAnswer(503, "not_accepted",
                        "nothing was changed: " + outcome.why.detail);
    case control::publish_status::kUnknown:
      break;
  }
  return MakeAnswer(
      504, "unknown",
      "the store did not say whether it took effect: " + outcome.why.detail);
}

net::http_reply operator_api::ShowDataCentres(const net::yield& yield) {
  const auto view = context_.reader->view();
  const auto workers = AskScheduler("/workers", yield);
  std::map<std::string, std::pair<int, size_t>> counts;  // VMs, attempts
  if (workers.status == 200) {
    const auto body = json::parse(workers.body);
    for (const auto& worker : body.at("workers")) {
      auto& [vms, attempts] = counts[worker.value("data_centre", "")];
      ++vms;
      attempts += worker.value("attempts", size_t{0});
    }
  }
  json rows = json::array();
  const auto add = [&](const std::string& name) {
    json row = {{"name", name}, {"state", "in"}, {"version", 0}};
    if (const auto at = view->data_centres.find(name);
        at != view->data_centres.end()) {
      const auto value = authority::ReadDataCentre(at->second.value);
      row["state"] = IsOut(at->second) ? "out" : "in";
      row["version"] = at->second.version;
      row["by"] = value ? value->by : "";
      row["since"] = value ? value->since : "";
      row["reason"] = value ? value->why : value.last_reason().detail;
    }
    if (const auto at = counts.find(name); at != counts.end()) {
      row["vms"] = at->second.first;
      row["attempts"] = at->second.second;
    }
    rows.push_back(std::move(row));
  };
  if (view->manifest) {
    for (const auto& centre : view->manifest->data_centres) {
      add(centre.name);
    }
  }
  return JsonReply(200, {{"status", "ok"},
                         {"confirmed_ms_ago", ConfirmedMillisAgo()},
                         {"scheduler_answered", workers.status == 200},
                         {"data_centres", std::move(rows)}});
}

}  // namespace chiveglade::app
