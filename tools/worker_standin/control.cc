#include "control.h"

#include <array>
#include <charconv>

namespace chiveglade::standin {

using agent::worker_call_kind;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr char kHistory[] = "/history";
constexpr char kFrom[] = "?from=";

constexpr std::array kPosted = {
    worker_call_kind::kStart,      worker_call_kind::kRenew,
    worker_call_kind::kCheckpoint, worker_call_kind::kThrottle,
    worker_call_kind::kStop,       worker_call_kind::kForget};

control_reply Refusal(int status, const reason& why) {
  return {status, agent::EncodeReason(why)};
}

control_reply Post(worker_call_kind kind,
                   const std::string& body,
                   task_table& tasks,
                   boot_time now) {
  const auto call = agent::DecodeCall(kind, body);
  if (!call) {
    return Refusal(kBadRequest, call.last_reason());
  }
  const auto outcome = tasks.Handle(*call, now);
  if (outcome.status != agent::worker_call_status::kDone) {
    return Refusal(kConflict, outcome.why);
  }
  return {kOk, "{}"};
}

}  // namespace

control_reply HandleControl(const std::string& method,
                            const std::string& target,
                            const std::string& body,
                            task_table& tasks,
                            const history& past,
                            boot_time now) {
  if (method == "GET" && target == agent::PathOf(worker_call_kind::kList)) {
    return {kOk, agent::EncodeListing(tasks.List(now))};
  }
  if (method == "GET" && target.starts_with(kHistory)) {
    tasks.Advance(now);
    size_t from = 0;
    if (const auto at = target.find(kFrom); at != std::string::npos) {
      const char* text = target.data() + at + sizeof(kFrom) - 1;
      std::from_chars(text, target.data() + target.size(), from);
    }
    return {kOk, past.ToJson(tasks.boot(), from)};
  }
  for (const auto kind : kPosted) {
    if (method == "POST" && target == agent::PathOf(kind)) {
      return Post(kind, body, tasks, now);
    }
  }
  return Refusal(kNotFound, {"no_such_call", method + " " + target});
}

}  // namespace chiveglade::standin
