#include "task_table.h"

#include <algorithm>

namespace chiveglade::standin {

using agent::IsLive;
using agent::worker_call;
using agent::worker_call_kind;
using agent::worker_call_outcome;
using agent::worker_call_status;
using agent::worker_state;

namespace {

constexpr millis kSampleInterval{100};
constexpr millis kFailAllAfter{200};
constexpr uint32_t kPercent = 100;
// Wait before the object store is asked again.
constexpr millis kCheckpointRetry{200};

worker_call_outcome Refuse(const char* code, const char* detail) {
  return {worker_call_status::kRefused, {code, detail}};
}

}  // namespace

task_table::task_table(table_options options, history& past, random_fn random)
    : options_(std::move(options)), past_(past), random_(std::move(random)) {}

worker_call_outcome task_table::Handle(const worker_call& call, boot_time now) {
  Advance(now);
  if (call.boot != options_.boot) {
    return Refuse("boot", "the call is for another boot of the worker");
  }
  switch (call.kind) {
    case worker_call_kind::kStart:
      return Start(call, now);
    case worker_call_kind::kRenew:
      for (const auto& renewal : call.renewals) {
        const auto at = tasks_.find(renewal.attempt);
        if (at != tasks_.end() && IsLive(at->second.task.state)) {
          auto& task = at->second.task;
          if (renewal.lease_until > renewal.grant_until) {
            past_.AddViolation(
                now, "a renewal beyond the grant: " + task.attempt.task.job);
          }
          task.lease_until = std::max(task.lease_until, renewal.lease_until);
          task.grant_until = std::max(task.grant_until, renewal.grant_until);
        }
      }
      return {worker_call_status::kDone, {}};
    case worker_call_kind::kForget:
      for (const auto& attempt : call.forget) {
        const auto at = tasks_.find(attempt);
        if (at != tasks_.end() && !IsLive(at->second.task.state)) {
          tasks_.erase(at);
        }
      }
      return {worker_call_status::kDone, {}};
    default:
      return Change(call, now);
  }
}

worker_call_outcome task_table::Change(const worker_call& call, boot_time now) {
  const auto at = tasks_.find(call.attempt);
  if (at == tasks_.end()) {
    return Refuse("unknown", "there is no such attempt");
  }
  auto& what = at->second;
  if (!IsLive(what.task.state)) {
    return {worker_call_status::kDone, {}};
  }
  if (call.kind == worker_call_kind::kThrottle) {
    what.task.throttle_pct = std::clamp(call.percent, 1u, 100u);
    return {worker_call_status::kDone, {}};
  }
  const bool stop = call.kind == worker_call_kind::kStop;
  if (stop && call.hard) {
    EndTask(what, worker_state::kStopped, "stopped at once", now);
    return {worker_call_status::kDone, {}};
  }
  if (stop) {
    what.task.state = worker_state::kStopping;
  }
  if (!what.serves && !what.checkpoint_wanted) {
    what.checkpoint_wanted = true;
    what.checkpoint_ready = now + what.payload.checkpoint;
  }
  return {worker_call_status::kDone, {}};
}

worker_call_outcome task_table::Start(const worker_call& call, boot_time now) {
  const auto& id = call.attempt;
  if (now >= call.not_after) {
    return Refuse("late", "the start call has expired");
  }
  if (tasks_.contains(id)) {
    return Refuse("exists", "the attempt was started before");
  }
  if (newest_[id.task] >= id.number) {
    return newest_[id.task] == id.number
               ? Refuse("ran_before", "the attempt has ended")
               : Refuse("older_attempt", "the task had a newer attempt");
  }
  auto payload = ParsePayload(call.order.spec.payload);
  if (!payload) {
    return Refuse("bad_payload", "the payload cannot be read");
  }
  CheckStart(call, now);
  newest_[id.task] = id.number;
  entry& made = tasks_[id];
  made.payload = std::move(*payload);
  made.klass = call.order.spec.klass;
  auto& task = made.task;
  task.attempt = id;
  task.size = call.order.spec.per_task;
  task.run_lease = call.order.spec.run_lease;
  task.stop_grace = call.stop_grace;
  task.lease_until = call.lease_until;
  task.grant_until = call.grant_until;
  made.advanced = now;
  made.restoring = !call.order.checkpoint.empty();
  task.checkpoint = call.order.checkpoint;
  task.checkpoint_work = call.order.work_done;
  const auto draw = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  made.fails = made.payload.fail || draw < made.payload.fail_share;
  if (!made.payload.service.empty()) {
    made.serves = std::make_shared<replica>(replica{
        id, made.payload.service, made.payload.slots, made.payload.connections,
        made.payload.execution, kPercent, 0, 0, true});
  }
  auto& past = past_.Attempt(id);
  past.tick = call.order.tick;
  past.started = now;
  past.resumed_from = call.order.checkpoint;
  return {worker_call_status::kDone, {}};
}

void task_table::CheckStart(const worker_call& call, boot_time now) {
  const auto name = call.attempt.task.job + "/" +
                    std::to_string(call.attempt.task.index) + "#" +
                    std::to_string(call.attempt.number);
  resources sum = call.order.spec.per_task;
  for (const auto& [id, what] : tasks_) {
    if (!IsLive(what.task.state)) {
      continue;
    }
    sum += what.task.size;
    if (id.task == call.attempt.task) {
      past_.AddViolation(now, "a second attempt of a live task: " + name);
    }
  }
  if (call.lease_until > call.grant_until) {
    past_.AddViolation(now, "a lease beyond the grant: " + name);
  }
  if (!FitsWithin(sum, options_.capacity)) {
    past_.AddViolation(now, "above the capacity with " + name);
  }
}

void task_table::Advance(boot_time now) {
  for (auto& [id, what] : tasks_) {
    if (IsLive(what.task.state)) {
      AdvanceTask(what, now);
    }
  }
}

void task_table::AdvanceTask(entry& what, boot_time now) {
  const boot_time until = std::min(now, what.task.lease_until);
  const auto slowdown = Slowdown(what);
  if (until > what.advanced) {
    const auto passed = static_cast<double>((until - what.advanced).count());
    if (!what.restoring) {
      what.work_ms += passed * what.task.throttle_pct / slowdown;
    }
    what.advanced = until;
  }
  if (what.serves) {
    what.serves->slowdown_pct = slowdown;
  }
  Measure(what, now);
  CheckEnd(what, now);
}

void task_table::CheckEnd(entry& what, boot_time now) {
  auto& task = what.task;
  // Work is only counted up to the end of the lease.
  if (!what.serves && !what.payload.never_ends &&
      what.work_ms >= static_cast<double>(what.payload.run.count())) {
    EndTask(what, what.fails ? worker_state::kFailed : worker_state::kFinished,
            what.fails ? "failed as its payload says" : "", now);
    return;
  }
  if (now >= task.lease_until) {
    EndTask(what, worker_state::kLapsed, "the lease was not renewed",
            task.lease_until);
    return;
  }
  const auto started = past_.Attempt(task.attempt).started;
  if (options_.fail_all && now >= started + kFailAllAfter) {
    EndTask(what, worker_state::kFailed, "this worker fails everything", now);
    return;
  }
  const bool stopping =
      task.state == worker_state::kStopping && !what.payload.ignores_stop;
  if (what.serves) {
    if (stopping && what.serves->in_use == 0) {
      EndTask(what, worker_state::kStopped, "stopped after its requests", now);
    }
    return;
  }
  if (stopping && (!what.checkpoint_wanted || what.restoring)) {
    EndTask(what, worker_state::kStopped, "stopped after a checkpoint", now);
  }
}

void task_table::EndTask(entry& what,
                         worker_state how,
                         const std::string& detail,
                         boot_time at) {
  what.task.state = how;
  what.task.detail = detail;
  if (what.serves) {
    what.serves->live = false;
  }
  auto& past = past_.Attempt(what.task.attempt);
  past.ended = at;
  past.state = how;
  past.work_done = millis(static_cast<int64_t>(what.work_ms));
  past.checkpoint = what.task.checkpoint;
}

uint32_t task_table::Slowdown(const entry& of) const {
  uint32_t percent = 100;
  for (const auto& [id, other] : tasks_) {
    if (&other == &of || !IsLive(other.task.state)) {
      continue;
    }
    const auto at = options_.slowdowns.find({of.klass, other.klass});
    if (at != options_.slowdowns.end()) {
      percent += at->second * other.task.throttle_pct / 100;
    }
  }
  return percent;
}

void task_table::Measure(entry& what, boot_time now) {
  if (!what.samples.empty() && now < what.samples.back().at + kSampleInterval) {
    return;
  }
  const auto& size = what.task.size;
  const auto share = static_cast<int64_t>(what.payload.used_pct);
  sample taken{now,
               millis(static_cast<int64_t>(what.work_ms)),
               Slowdown(what),
               {size.millicores * share * what.task.throttle_pct / 10'000,
                size.memory_mib * share / 100, size.accelerators}};
  what.samples.push_back(taken);
  // The newest sample that is old enough stays in front.
  while (what.samples.size() > 1 && what.samples[1].at + options_.lag <= now) {
    what.samples.pop_front();
  }
}

agent::worker_task task_table::Listed(const entry& what, boot_time now) const {
  auto out = what.task;
  if (!what.samples.empty() && what.samples.front().at + options_.lag <= now) {
    const auto& measured = what.samples.front();
    out.used = measured.used;
    out.work_done = measured.work;
    out.slowdown_pct = measured.slowdown_pct;
  }
  return out;
}

agent::worker_listing task_table::List(boot_time now) {
  Advance(now);
  agent::worker_listing out{options_.boot, {}};
  for (const auto& [id, what] : tasks_) {
    out.tasks.push_back(Listed(what, now));
  }
  return out;
}

std::vector<checkpoint_job> task_table::TakeCheckpointJobs() {
  std::vector<checkpoint_job> out;
  for (auto& [id, what] : tasks_) {
    if (!IsLive(what.task.state) || what.checkpoint_under_way ||
        what.advanced < what.checkpoint_ready) {
      continue;
    }
    if (what.restoring) {
      out.push_back({id, what.task.checkpoint, millis(0), true});
    } else if (what.checkpoint_wanted) {
      out.push_back({id,
                     "checkpoint/" + id.task.job + "/" +
                         std::to_string(id.task.index) + "/" +
                         std::to_string(id.number) + "-" +
                         std::to_string(++what.checkpoints),
                     millis(static_cast<int64_t>(what.work_ms)), false});
    } else {
      continue;
    }
    what.checkpoint_under_way = true;
  }
  return out;
}

void task_table::OnCheckpoint(const checkpoint_job& job,
                              std::optional<millis> work,
                              boot_time now) {
  const auto at = tasks_.find(job.attempt);
  if (at == tasks_.end()) {
    return;
  }
  auto& what = at->second;
  what.checkpoint_under_way = false;
  if (!work || !IsLive(what.task.state)) {
    what.checkpoint_ready = now + kCheckpointRetry;
    return;
  }
  if (job.read) {
    what.restoring = false;
    what.work_ms = static_cast<double>(work->count());
    what.task.checkpoint_work = *work;
    past_.Attempt(job.attempt).work_restored = *work;
  } else {
    what.task.checkpoint = job.key;
    what.task.checkpoint_work = *work;
    what.checkpoint_wanted = false;
  }
  Advance(now);
}

std::shared_ptr<replica> task_table::FindReplica(
    const std::string& service) const {
  std::shared_ptr<replica> stopping;
  for (const auto& [id, what] : tasks_) {
    if (what.serves && what.serves->live && what.serves->service == service) {
      if (what.task.state == worker_state::kRunning) {
        return what.serves;
      }
      stopping = what.serves;
    }
  }
  return stopping;
}

}  // namespace chiveglade::standin
