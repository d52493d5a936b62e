#include "agent_world.h"

#include <algorithm>
#include <set>

namespace chiveglade::testing {

using agent::worker_call_kind;
using agent::worker_call_status;
using state::attempt_end;

namespace {

constexpr resources kCapacity{4'000, 4'096, 0};
constexpr uint64_t kTasks = 8;
constexpr millis kRunLease{5'000};
// Short leases, so that they end within a scenario.
constexpr millis kWorkerLease{3'000};
constexpr millis kStartMargin{500};
constexpr millis kStep{50};

}  // namespace

agent_world::agent_world(uint64_t seed) : random_(seed), worker_(kCapacity) {
  RestartAgent();
}

state::job_spec agent_world::Spec(const std::string& name) const {
  state::job_spec spec;
  spec.name = name;
  spec.per_task = {1'500, 1'000, 0};
  spec.run_lease = kRunLease;
  return spec;
}

void agent_world::Pass(millis time) {
  now_ += time;
  worker_.Advance(now_);
  CheckRunning();
}

void agent_world::Round(millis time) {
  Pass(time);
  TickAgent();
  for (size_t i = calls_.size(); i > 0; --i) {
    if (Draw(4) != 0) {
      DeliverCall();
    }
  }
  if (core_->wants_heartbeat() || Draw(8) == 0) {
    SendHeartbeat();
  }
  if (Draw(2) == 0) {
    DeliverAnswer();
  }
}

void agent_world::CheckRunning() {
  for (const auto& id : worker_.live()) {
    const auto at = tasks_.find(id.task.job);
    const auto& task = at->second;
    // The scheduler may grant the next attempt once the lease is over.
    if (task.number == id.number && now_ > task.lease) {
      problems_.push_back(id.task.job + " runs past its grant");
    }
  }
}

void agent_world::RestartAgent() {
  agent::agent_options options;
  options.vm = "vm";
  options.address = "127.0.0.1:1";
  options.capacity = kCapacity;
  options.worker_lease = kWorkerLease;
  core_ = *agent::agent_core::Make(options, [this] { return now_; });
  ++process_;
  answers_.clear();
}

void agent_world::RestartWorker() {
  worker_.Restart(now_);
}

void agent_world::TickAgent() {
  for (auto& call : core_->Tick()) {
    calls_.push_back({std::move(call), process_, false, std::nullopt});
  }
}

void agent_world::DeliverCall() {
  if (calls_.empty()) {
    return;
  }
  const size_t which = Draw(calls_.size());
  auto& what = calls_[which];
  const auto fate = Draw(8);
  if (fate == 0 && !what.told && what.process == process_) {
    // The agent gives up on the answer, and the call arrives later.
    core_->OnWorkerCall(what.call, {worker_call_status::kUnknown, {}});
    what.told = true;
    return;
  }
  if (fate >= 6 && what.call.kind == worker_call_kind::kList && !what.listing) {
    what.listing = {worker_.boot(), worker_.List(now_)};
    return;
  }
  if (fate == 1) {
    if (!what.told && what.process == process_) {
      core_->OnWorkerCall(what.call, {worker_call_status::kUnknown, {}});
    }
  } else if (fate == 2 && !what.told && what.process == process_) {
    core_->OnWorkerCall(what.call, {worker_call_status::kNotSent, {}});
  } else {
    Execute(what, fate == 3);
  }
  calls_.erase(calls_.begin() + static_cast<int64_t>(which));
}

void agent_world::Execute(call_in_flight& what, bool lose_answer) {
  const bool told = what.told || what.process != process_;
  if (what.call.kind == worker_call_kind::kList) {
    if (told) {
      return;
    }
    if (lose_answer) {
      core_->OnWorkerCall(what.call, {worker_call_status::kUnknown, {}});
      return;
    }
    const auto listing = what.listing.value_or(
        agent::worker_listing{worker_.boot(), worker_.List(now_)});
    core_->OnWorkerBoot(listing.boot);
    core_->OnWorkerTasks(listing.tasks);
    return;
  }
  auto outcome = worker_.Handle(what.call, now_);
  if (lose_answer) {
    outcome = {worker_call_status::kUnknown, {}};
  }
  if (!told) {
    core_->OnWorkerCall(what.call, outcome);
  }
}

void agent_world::SendHeartbeat() {
  if (!core_->announces()) {
    return;
  }
  const auto beat = core_->MakeHeartbeat();
  if (Draw(5) != 0) {
    TakeHeartbeat(beat);
  }
}

void agent_world::TakeIncarnation(uint64_t incarnation) {
  for (auto& [name, task] : tasks_) {
    if (task.held && task.incarnation != incarnation) {
      task.held = false;
    }
  }
  incarnation_ = incarnation;
}

void agent_world::TakeHeartbeat(const state::heartbeat& beat) {
  answer_in_flight out{beat, {}};
  auto& answer = out.answer;
  answer.epoch = 1;
  answer.grants = true;
  answer.append_age = millis(static_cast<int64_t>(Draw(300)));
  for (const auto& report : beat.ends) {
    TakeEnd(report.end);
    answer.acknowledged.push_back(report.end.attempt);
  }
  if (beat.vm.incarnation != incarnation_) {
    TakeIncarnation(beat.vm.incarnation);
  }
  newest_tick_ = std::max(newest_tick_, beat.tick);
  if (beat.partial) {
    answer.grants = false;
    answers_.push_back(std::move(out));
    return;
  }
  ConcludeNotRun(beat);
  for (const auto& report : beat.attempts) {
    const auto& task = tasks_[report.attempt.task.job];
    if (!task.held || task.number != report.attempt.number) {
      answer.unknown.push_back(report.attempt);
    }
  }
  for (auto& [name, task] : tasks_) {
    if (!task.held) {
      continue;
    }
    task.lease = std::max(task.lease, now_ - answer.append_age + kRunLease);
    const state::attempt_id id{{name, 0}, task.number};
    answer.starts.push_back({id, Spec(name), "", millis(0), task.tick});
    if (task.stop) {
      answer.stops.push_back({id, "preempted", millis(1'000)});
    }
  }
  answers_.push_back(std::move(out));
}

// The scheduler takes a granted attempt for one that never ran if a heartbeat
// made after the order's expiry does not show it.
void agent_world::ConcludeNotRun(const state::heartbeat& beat) {
  std::set<state::attempt_id> shown;
  for (const auto& report : beat.attempts) {
    shown.insert(report.attempt);
  }
  for (auto& [name, task] : tasks_) {
    const state::attempt_id id{{name, 0}, task.number};
    if (!task.held || shown.contains(id) ||
        beat.tick <
            task.tick + (state::kStartValidity + kStartMargin).count()) {
      continue;
    }
    task.held = false;
    const auto live = worker_.live();
    if (std::count(live.begin(), live.end(), id) != 0) {
      problems_.push_back(name + " runs and was not shown");
    }
  }
}

void agent_world::TakeEnd(const state::attempt_ended& end) {
  const auto& id = end.attempt;
  const auto past = worker_.history().find(id);
  const bool ran = past != worker_.history().end();
  if (ran && past->second.ended > now_) {
    problems_.push_back(id.task.job + " was reported as ended while it ran");
  }
  if (ran && end.how == attempt_end::kNotRun) {
    problems_.push_back(id.task.job + " ran and was reported as not run");
  }
  if (ran && past->second.how == agent::worker_state::kStopped &&
      past->second.boot == worker_.boot() &&
      (end.how != attempt_end::kStopped || end.checkpoint.empty())) {
    problems_.push_back(id.task.job + " lost its checkpoint");
  }
  auto& task = tasks_[id.task.job];
  if (task.held && task.number == id.number) {
    task.held = false;
    ++ends_taken_;
  }
}

void agent_world::DeliverAnswer() {
  if (answers_.empty()) {
    return;
  }
  const size_t which = Draw(answers_.size());
  const auto fate = Draw(6);
  if (fate != 0) {
    core_->OnAnswer(answers_[which].asked, answers_[which].answer);
  }
  if (fate != 1) {  // otherwise it comes again later
    answers_.erase(answers_.begin() + static_cast<int64_t>(which));
  }
}

void agent_world::GrantTask() {
  auto& task = tasks_["job" + std::to_string(Draw(kTasks))];
  if (incarnation_ == 0 || (task.held && now_ <= task.lease)) {
    return;
  }
  // The capacity is left to the agent, which must refuse what does not fit.
  task = {task.number + 1,  true, newest_tick_, incarnation_,
          now_ + kRunLease, false};
}

void agent_world::StopTask() {
  auto at = tasks_.find("job" + std::to_string(Draw(kTasks)));
  if (at != tasks_.end()) {
    at->second.stop = true;
  }
}

void agent_world::FinishTask() {
  if (const auto live = worker_.live(); !live.empty()) {
    worker_.Finish(live[Draw(live.size())], Draw(4) == 0, now_);
  }
}

void agent_world::Settle() {
  constexpr int kRounds = 1'000;
  answers_.clear();
  for (int round = 0; round < kRounds; ++round) {
    Pass(kStep);
    TickAgent();
    while (!calls_.empty()) {
      Execute(calls_.front(), false);
      calls_.pop_front();
    }
    if (core_->announces()) {
      TakeHeartbeat(core_->MakeHeartbeat());
      core_->OnAnswer(answers_.back().asked, answers_.back().answer);
      answers_.clear();
    }
    for (const auto& id : worker_.live()) {
      worker_.Finish(id, false, now_);
    }
  }
}

std::vector<std::string> agent_world::Problems() const {
  auto all = problems_;
  const auto& more = worker_.violations();
  all.insert(all.end(), more.begin(), more.end());
  return all;
}

}  // namespace chiveglade::testing
