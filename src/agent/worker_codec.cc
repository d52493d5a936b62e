#include "chiveglade/agent/worker_codec.h"

#include <array>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace chiveglade::agent {

namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 6> kStateNames = {
    "running", "stopping", "finished", "failed", "stopped", "lapsed"};

json ToJson(const resources& in) {
  return {{"millicores", in.millicores},
          {"memory_mib", in.memory_mib},
          {"accelerators", in.accelerators}};
}

resources ReadResources(const json& in) {
  return {in.at("millicores").get<int64_t>(),
          in.at("memory_mib").get<int64_t>(),
          in.at("accelerators").get<int64_t>()};
}

int64_t Count(boot_time at) {
  return at.time_since_epoch().count();
}

boot_time ReadTime(const json& in, const char* key) {
  return boot_time(millis(in.at(key).get<int64_t>()));
}

millis ReadMillis(const json& in, const char* key) {
  return millis(in.at(key).get<int64_t>());
}

void Put(json& out, const state::attempt_id& id) {
  out["job"] = id.task.job;
  out["index"] = id.task.index;
  out["attempt"] = id.number;
}

state::attempt_id ReadAttempt(const json& in) {
  return {{in.at("job").get<std::string>(), in.at("index").get<uint32_t>()},
          in.at("attempt").get<uint32_t>()};
}

json ToJson(const worker_task& in) {
  json out{{"state", kStateNames.at(static_cast<size_t>(in.state))},
           {"size", ToJson(in.size)},
           {"run_lease_ms", in.run_lease.count()},
           {"stop_grace_ms", in.stop_grace.count()},
           {"lease_until", Count(in.lease_until)},
           {"grant_until", Count(in.grant_until)},
           {"throttle_pct", in.throttle_pct},
           {"used", ToJson(in.used)},
           {"work_done_ms", in.work_done.count()},
           {"slowdown_pct", in.slowdown_pct},
           {"checkpoint", in.checkpoint},
           {"checkpoint_work_ms", in.checkpoint_work.count()},
           {"detail", in.detail}};
  Put(out, in.attempt);
  return out;
}

worker_state ReadState(const json& in) {
  const auto name = in.get<std::string>();
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (name == kStateNames.at(i)) {
      return static_cast<worker_state>(i);
    }
  }
  throw json::other_error::create(1, "unknown state " + name, &in);
}

worker_task ReadTask(const json& in) {
  worker_task out;
  out.attempt = ReadAttempt(in);
  out.state = ReadState(in.at("state"));
  out.size = ReadResources(in.at("size"));
  out.run_lease = ReadMillis(in, "run_lease_ms");
  out.stop_grace = ReadMillis(in, "stop_grace_ms");
  out.lease_until = ReadTime(in, "lease_until");
  out.grant_until = ReadTime(in, "grant_until");
  out.throttle_pct = in.at("throttle_pct").get<uint32_t>();
  out.used = ReadResources(in.at("used"));
  out.work_done = ReadMillis(in, "work_done_ms");
  out.slowdown_pct = in.at("slowdown_pct").get<uint32_t>();
  out.checkpoint = in.at("checkpoint").get<std::string>();
  out.checkpoint_work = ReadMillis(in, "checkpoint_work_ms");
  out.detail = in.at("detail").get<std::string>();
  return out;
}

void PutStart(json& out, const worker_call& call) {
  const auto& spec = call.order.spec;
  out["tenant"] = spec.tenant;
  out["class"] = spec.klass;
  out["band"] = static_cast<uint32_t>(spec.priority);
  out["size"] = ToJson(spec.per_task);
  out["run_lease_ms"] = spec.run_lease.count();
  out["payload"] = spec.payload;
  out["checkpoint"] = call.order.checkpoint;
  out["work_done_ms"] = call.order.work_done.count();
  out["tick"] = call.order.tick;
  out["not_after"] = Count(call.not_after);
  out["lease_until"] = Count(call.lease_until);
  out["grant_until"] = Count(call.grant_until);
  out["stop_grace_ms"] = call.stop_grace.count();
}

void ReadStart(const json& in, worker_call& out) {
  auto& spec = out.order.spec;
  out.order.attempt = out.attempt;
  spec.name = out.attempt.task.job;
  spec.tenant = in.at("tenant").get<std::string>();
  spec.klass = in.at("class").get<std::string>();
  spec.priority = static_cast<state::band>(in.at("band").get<uint32_t>() & 3);
  spec.per_task = ReadResources(in.at("size"));
  spec.run_lease = ReadMillis(in, "run_lease_ms");
  spec.payload = in.at("payload").get<std::string>();
  out.order.checkpoint = in.at("checkpoint").get<std::string>();
  out.order.work_done = ReadMillis(in, "work_done_ms");
  out.order.tick = in.at("tick").get<int64_t>();
  out.not_after = ReadTime(in, "not_after");
  out.lease_until = ReadTime(in, "lease_until");
  out.grant_until = ReadTime(in, "grant_until");
  out.stop_grace = ReadMillis(in, "stop_grace_ms");
}

json RenewalsToJson(const std::vector<lease_renewal>& in) {
  json list = json::array();
  for (const auto& renewal : in) {
    json item{{"lease_until", Count(renewal.lease_until)},
              {"grant_until", Count(renewal.grant_until)}};
    Put(item, renewal.attempt);
    list.push_back(std::move(item));
  }
  return list;
}

json AttemptsToJson(const std::vector<state::attempt_id>& in) {
  json list = json::array();
  for (const auto& id : in) {
    json item;
    Put(item, id);
    list.push_back(std::move(item));
  }
  return list;
}

void ReadFields(const json& in, worker_call& out) {
  switch (out.kind) {
    case worker_call_kind::kList:
      return;
    case worker_call_kind::kRenew:
      for (const auto& item : in.at("renewals")) {
        out.renewals.push_back({ReadAttempt(item),
                                ReadTime(item, "lease_until"),
                                ReadTime(item, "grant_until")});
      }
      return;
    case worker_call_kind::kForget:
      for (const auto& item : in.at("attempts")) {
        out.forget.push_back(ReadAttempt(item));
      }
      return;
    default:
      break;
  }
  out.attempt = ReadAttempt(in);
  if (out.kind == worker_call_kind::kStart) {
    ReadStart(in, out);
  } else if (out.kind == worker_call_kind::kThrottle) {
    out.percent = in.at("percent").get<uint32_t>();
  } else if (out.kind == worker_call_kind::kStop) {
    out.hard = in.at("hard").get<bool>();
  }
}

}  // namespace

std::string PathOf(worker_call_kind kind) {
  switch (kind) {
    case worker_call_kind::kList:
      return "/tasks";
    case worker_call_kind::kStart:
      return "/tasks/start";
    case worker_call_kind::kRenew:
      return "/tasks/renew";
    case worker_call_kind::kCheckpoint:
      return "/tasks/checkpoint";
    case worker_call_kind::kThrottle:
      return "/tasks/throttle";
    case worker_call_kind::kStop:
      return "/tasks/stop";
    case worker_call_kind::kForget:
      return "/tasks/forget";
  }
  return "/tasks";
}

std::string EncodeCall(const worker_call& call) {
  json out{{"boot", call.boot}};
  switch (call.kind) {
    case worker_call_kind::kList:
      return {};
    case worker_call_kind::kRenew:
      out["renewals"] = RenewalsToJson(call.renewals);
      return out.dump();
    case worker_call_kind::kForget:
      out["attempts"] = AttemptsToJson(call.forget);
      return out.dump();
    case worker_call_kind::kStart:
      PutStart(out, call);
      break;
    case worker_call_kind::kThrottle:
      out["percent"] = call.percent;
      break;
    case worker_call_kind::kStop:
      out["hard"] = call.hard;
      break;
    case worker_call_kind::kCheckpoint:
      break;
  }
  Put(out, call.attempt);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<worker_call> DecodeCall(worker_call_kind kind, const std::string& body) {
  worker_call out;
  out.kind = kind;
  if (kind == worker_call_kind::kList) {
    return out;
  }
  try {
    const auto in = json::parse(body);
    out.boot = in.at("boot").get<uint64_t>();
    ReadFields(in, out);
  } catch (const json::exception& error) {
    return reason{"bad_call", error.what()};
  }
  return out;
}

std::string EncodeListing(const worker_listing& listing) {
  json tasks = json::array();
  for (const auto& task : listing.tasks) {
    tasks.push_back(ToJson(task));
  }
  return json{{"boot", listing.boot}, {"tasks", std::move(tasks)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

result<worker_listing> DecodeListing(const std::string& body) {
  worker_listing out;
  try {
    const auto in = json::parse(body);
    out.boot = in.at("boot").get<uint64_t>();
    for (const auto& task : in.at("tasks")) {
      out.tasks.push_back(ReadTask(task));
    }
  } catch (const json::exception& error) {
    return reason{"bad_listing", error.what()};
  }
  return out;
}

std::string EncodeReason(const reason& why) {
  return json{{"reason", why.code}, {"detail", why.detail}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

reason DecodeReason(const std::string& body) {
  const auto in = json::parse(body, nullptr, false);
  if (!in.is_object() || !in.contains("reason") || !in["reason"].is_string()) {
    return {"unreadable", "the answer holds no reason"};
  }
  const auto detail = in.value("detail", json());
  return {in["reason"].get<std::string>(),
          detail.is_string() ? detail.get<std::string>() : ""};
}

}  // namespace chiveglade::agent
