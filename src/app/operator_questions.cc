// Questions that only the scheduler can answer.
#include <utility>

#include <nlohmann/json.hpp>

#include "heartbeat_service.h"
#include "manifest_fetch.h"
#include "operator_api.h"

namespace chiveglade::app {

using nlohmann::json;

namespace {

constexpr millis kQuestionTimeout{2'000};
constexpr size_t kMaxAnswerBytes = size_t{16} * 1024 * 1024;
// A list of jobs is for people; a single job is always answered in full.
constexpr size_t kMaxJobsListed = 2'000;

net::http_reply JsonReply(const json& body) {
  return {200,
          {{"content-type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

const char* BandName(state::band priority) {
  switch (priority) {
    case state::band::kService:
      return "service";
    case state::band::kUrgent:
      return "urgent";
    case state::band::kNormal:
      return "normal";
    case state::band::kIdle:
      return "idle";
  }
  return "";
}

// The scheduler's own description of a job, with a count of its phases and,
// unless asked for, without its tasks.
json JobSummary(const authority::scheduler& from,
                const std::string& name,
                bool with_tasks) {
  json job = json::parse(from.JobJson(name));
  json phases = json::object();
  for (const auto& task : job.at("tasks")) {
    auto& count = phases[task.value("phase", "")];
    count = count.is_null() ? 1 : count.get<int>() + 1;
  }
  job["name"] = name;
  job["phases"] = std::move(phases);
  job["priority"] = BandName(from.committed().FindJob(name)->spec.priority);
  if (job.value("waiting", "").empty()) {
    job["waiting"] = job.value("parked", "");
  }
  if (!with_tasks) {
    job.erase("tasks");
  }
  return job;
}

json WorkerSummary(const authority::scheduler& from, const state::vm& vm) {
  json worker = json::parse(from.VmJson(vm.id.name));
  worker["name"] = vm.id.name;
  worker["attempts"] = vm.tasks.size();
  worker["committed_millicores"] = vm.committed.millicores;
  worker["capacity_millicores"] = vm.capacity.millicores;
  worker["state"] = worker.value("drained", false)       ? "drained"
                    : worker.value("quarantined", false) ? "quarantined"
                                                         : "in";
  return worker;
}

json AllJobs(const authority::scheduler& from) {
  json list = json::array();
  for (const auto& [name, unused] : from.committed().jobs()) {
    if (list.size() >= kMaxJobsListed) {
      break;
    }
    list.push_back(JobSummary(from, name, false));
  }
  return {{"status", "ok"},
          {"total", from.committed().jobs().size()},
          {"jobs", std::move(list)}};
}

json AllWorkers(const authority::scheduler& from) {
  json list = json::array();
  for (const auto& [name, vm] : from.committed().vms()) {
    list.push_back(WorkerSummary(from, vm));
  }
  return {{"status", "ok"}, {"workers", std::move(list)}};
}

net::http_reply OneJob(const authority::scheduler& from,
                       const std::string& name) {
  if (from.committed().FindJob(name) == nullptr) {
    return MakeAnswer(404, "not_found",
                      from.committed().NameTaken(name)
                          ? "the job " + name + " has ended and was retired"
                          : "there is no job " + name);
  }
  return JsonReply({{"status", "ok"},
                    {"jobs", json::array({JobSummary(from, name, true)})}});
}

net::http_reply OneWorker(const authority::scheduler& from,
                          const std::string& name) {
  const auto* vm = from.committed().FindVm(name);
  if (vm == nullptr) {
    return MakeAnswer(404, "not_found", "there is no worker " + name);
  }
  return JsonReply(
      {{"status", "ok"}, {"workers", json::array({WorkerSummary(from, *vm)})}});
}

net::http_reply OneCommand(const authority::scheduler& from,
                           const std::string& id) {
  const auto& commands = from.committed().commands();
  if (const auto at = commands.find(id); at != commands.end()) {
    return JsonReply(
        {{"accepted", at->second.accepted}, {"detail", at->second.detail}});
  }
  return MakeAnswer(404, "not_found", "not carried out yet");
}

}  // namespace

net::http_reply operator_api::AnswerHere(const std::string& path) const {
  const auto& from = *context_.scheduler;
  if (!from.holds_role()) {
    return MakeAnswer(503, "not_scheduler", "this entry is not the scheduler");
  }
  const auto target = ParseTarget(path);
  if (!target || target->segments.empty()) {
    return MakeAnswer(404, "not_found", "no such question");
  }
  const auto& parts = target->segments;
  if (parts[0] == "jobs") {
    return parts.size() == 1 ? JsonReply(AllJobs(from))
                             : OneJob(from, parts[1]);
  }
  if (parts[0] == "workers") {
    return parts.size() == 1 ? JsonReply(AllWorkers(from))
                             : OneWorker(from, parts[1]);
  }
  if (parts[0] == "commands" && parts.size() == 2) {
    return OneCommand(from, parts[1]);
  }
  return MakeAnswer(404, "not_found", "no such question");
}

net::http_reply operator_api::AnswerQuestion(const std::string& path,
                                             const net::yield& yield) {
  return RunOn<net::http_reply>(
      context_.control, [this, &path] { return AnswerHere(path); }, yield);
}

net::http_reply operator_api::AskScheduler(const std::string& path,
                                           const net::yield& yield) {
  auto reply = AnswerQuestion(path, yield);
  if (reply.status != 503) {
    return reply;
  }
  const auto address = RunOn<std::string>(
      context_.control,
      [this] { return context_.scheduler->scheduler_address(); }, yield);
  const auto client = context_.peer(address);
  if (!client) {
    return MakeAnswer(503, "no_scheduler", "no scheduler is known");
  }
  const auto answer =
      net::Exchange(*client, PeerGet(kSchedulerPrefix + path), "",
                    kMaxAnswerBytes, kQuestionTimeout, yield);
  if (!answer) {
    return MakeAnswer(
        503, "no_scheduler",
        "the scheduler does not answer: " + answer.last_reason().detail);
  }
  return {answer->status, {{"content-type", "application/json"}}, answer->body};
}

}  // namespace chiveglade::app
