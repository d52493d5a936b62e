#include "history.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace chiveglade::standin {

namespace {

using json = nlohmann::json;

const char* StateName(agent::worker_state state) {
  switch (state) {
    case agent::worker_state::kRunning:
      return "running";
    case agent::worker_state::kStopping:
      return "stopping";
    case agent::worker_state::kFinished:
      return "finished";
    case agent::worker_state::kFailed:
      return "failed";
    case agent::worker_state::kStopped:
      return "stopped";
    case agent::worker_state::kLapsed:
      return "lapsed";
  }
  return "";
}

json ToJson(const attempt_history& in) {
  return {{"job", in.attempt.task.job},
          {"index", in.attempt.task.index},
          {"attempt", in.attempt.number},
          {"tick", in.tick},
          {"started", in.started.time_since_epoch().count()},
          {"ended", in.ended.time_since_epoch().count()},
          {"state", StateName(in.state)},
          {"work_restored_ms", in.work_restored.count()},
          {"work_done_ms", in.work_done.count()},
          {"resumed_from", in.resumed_from},
          {"checkpoint", in.checkpoint}};
}

json ToJson(const request_history& in) {
  return {{"service", in.service},
          {"job", in.attempt.task.job},
          {"index", in.attempt.task.index},
          {"attempt", in.attempt.number},
          {"request_id", in.request_id},
          {"idempotency_key", in.idempotency_key},
          {"method", in.method},
          {"target", in.target},
          {"body_digest", in.body_digest},
          {"started", in.started.time_since_epoch().count()},
          {"ended", in.ended.time_since_epoch().count()},
          {"answered", in.answered}};
}

}  // namespace

attempt_history& history::Attempt(const state::attempt_id& attempt) {
  auto& out = attempts_[attempt];
  out.attempt = attempt;
  return out;
}

size_t history::AddRequest(request_history what) {
  requests_.push_back(std::move(what));
  return requests_.size() - 1;
}

void history::AddViolation(boot_time at, const std::string& what) {
  violations_.push_back(std::to_string(at.time_since_epoch().count()) + " " +
                        what);
}

std::string history::ToJson(uint64_t boot, size_t first) const {
  json attempts = json::array();
  for (const auto& [id, attempt] : attempts_) {
    attempts.push_back(standin::ToJson(attempt));
  }
  json requests = json::array();
  for (size_t i = first; i < requests_.size(); ++i) {
    requests.push_back(standin::ToJson(requests_[i]));
  }
  return json{{"boot", boot},
              {"attempts", std::move(attempts)},
              {"first_request", first},
              {"requests", std::move(requests)},
              {"violations", violations_}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace chiveglade::standin
