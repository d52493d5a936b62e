#include "tests/workflow/workflow_world.h"

#include <algorithm>
#include <utility>

#include "tests/workflow/fixture.h"

namespace chiveglade::workflow {

namespace {

constexpr millis kStep{10};
constexpr millis kReportInterval{300};
constexpr millis kLeaseCallInterval{200};
constexpr millis kHeartbeatInterval{1'000};
constexpr int64_t kUnixStart = 1'700'000'000'000;
constexpr int kMaxTasksOnVm = 4;  // of 1000 millicores each
// As the platform's store has them. Its calls hold values as base64.
constexpr testing::store_limits kStoreLimits{65'536, 100, 740'000};
// Delivery of messages, and the steps of the processes.
constexpr millis kMessageSlack{100};
// Longest delay of a pace call without a reply; the runner allows for 6 s.
constexpr int kMaxPaceDelayMs = 5'500;
// A throttle that is not the newest one must not be in force for longer: the
// interval of repetitions, of which no two in a row are late.
constexpr millis kMaxPaceError{2'000};
// A task that is without a run for this long counts as unavailable, as one
// does that was stopped.
constexpr millis kUnavailableAfter{3'000};
// As the HTTP client has it.
constexpr millis kReplyTimeout{700};
// After which a coordinator takes orders without a reply for lost.
constexpr millis kOrdersTimeout{600};
constexpr millis kIdleCheckInterval{50};

boot_time At(millis time) {
  constexpr millis kOffset{1'000'000};
  return boot_time(kOffset + time);
}

}  // namespace

struct workflow_world::gateway {
  size_t index = 0;
  uint64_t incarnation = 0;
  bool frozen = false;
  bool partitioned = false;
  bool news_silent = false;
  std::unique_ptr<fenced_writer> writer;
  std::unique_ptr<coordinator> core;
};

struct workflow_world::runner {
  size_t index = 0;
  uint64_t incarnation = 0;
  bool partitioned = false;
  bool frozen = false;
  bool orders_lost = false;
  bool reports_lost = false;
  bool report_replies_lost = false;
  bool heartbeats_lost = false;
  bool draining = false;
  std::optional<millis> suspended_since;
  // Tasks with a run when it was suspended.
  std::set<task_key> suspended_tasks;
  call_handling handling = call_handling::kAnswer;
  bool lease_unanswered = false;  // a call is under way that gets no reply
  // Percentage last sent for each run, and since when another is in force.
  std::map<run_key, uint32_t> newest_pace;
  std::map<run_key, millis> pace_wrong_since;
  std::set<run_key> late_paces;  // runs whose last call was late
  std::unique_ptr<supervisor> core;
  std::unique_ptr<fake_worker> worker;
  millis last_report_at{-1'000};
  millis last_lease_call_at{-1'000};
  millis last_heartbeat_at{-2'000};
  std::string name() const { return "vm" + std::to_string(index); }
};

workflow_world::workflow_world(uint64_t seed, size_t runners, size_t gateways)
    : random_(seed) {
  store_.SetLimits(kStoreLimits);
  store_.SetFaults([this](const std::string& call, const std::string&) {
    if (store_down_) {
      return Chance(0.5) ? testing::store_fault::kRefuse
                         : testing::store_fault::kLoseRequest;
    }
    if (call == "commit" && Chance(faults_.lost_store_answer)) {
      return Chance(0.5) ? testing::store_fault::kLoseAnswer
                         : testing::store_fault::kLoseRequest;
    }
    return testing::store_fault::kNone;
  });
  for (size_t i = 0; i < gateways; ++i) {
    gateways_.push_back(std::make_unique<gateway>());
    gateways_.back()->index = i;
    RestartGateway(i);
  }
  for (size_t i = 0; i < runners; ++i) {
    runners_.push_back(std::make_unique<runner>());
    auto& added = *runners_.back();
    added.index = i;
    added.worker = std::make_unique<fake_worker>(
        added.name(),
        worker_observer{
            [this](const std::string& vm, const run_key& run) {
              OnStarted(vm, run);
            },
            [this](const std::string& vm, const run_key& run, run_result how) {
              OnEnded(vm, run, how);
            },
            [this](const std::string& vm, const run_end& end, bool lapsed) {
              OnAcknowledged(vm, end, lapsed);
            }});
    RestartRunner(i);
  }
}

workflow_world::~workflow_world() = default;

bool workflow_world::Chance(double share) {
  return share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

millis workflow_world::Delay() {
  return millis(std::uniform_int_distribution<int>(1, 15)(random_));
}

void workflow_world::Schedule(millis delay, std::function<void()> run) {
  scheduled_.emplace(time_ + delay, std::move(run));
}

void workflow_world::ScheduleAtWorker(const runner& on,
                                      millis delay,
                                      std::function<void()> run) {
  Schedule(delay, [this, &on, run = std::move(run)] {
    if (on.suspended_since) {
      ScheduleAtWorker(on, kStep, run);
    } else {
      run();
    }
  });
}

void workflow_world::ScheduleAt(const runner& on,
                                millis delay,
                                std::function<void()> run) {
  Schedule(delay, [this, &on, run = std::move(run)] {
    if (on.frozen || on.suspended_since) {
      ScheduleAt(on, kStep, run);
    } else {
      run();
    }
  });
}

bool workflow_world::Send(const std::function<void(millis delay)>& schedule) {
  if (Chance(faults_.lost_message)) {
    return false;
  }
  const bool is_late = Chance(faults_.late_message);
  if (is_late) {
    const auto delay = Delay() * 300;
    late_until_ = std::max(late_until_, time_ + delay);
    schedule(delay);
  }
  if (is_late && Chance(0.5)) {
    return false;
  }
  schedule(Delay());
  return true;
}

void workflow_world::Submit(const std::string& id, const submission& in) {
  // As a coordinator reads it from the store.
  jobs_.emplace(id, *DecodeSubmission(EncodeSubmission(in)));
}

void workflow_world::SubmitLate(const std::string& id,
                                const submission& in,
                                millis delay) {
  Schedule(delay, [this, id, in] {
    const auto outcome = store_.Commit(AcceptJob(id, EncodeSubmission(in)));
    if (outcome.status == store::commit_status::kCommitted) {
      jobs_.emplace(id, in);
    }
  });
}

void workflow_world::CancelEarly(const std::string& id) {
  if (jobs_.contains(id)) {
    Cancel(id);
    return;
  }
  const auto earlier = store_.Read(CancellationKey(id));
  const auto outcome =
      store_.Commit(CancelAbsentJob(id, earlier ? earlier->version : 0));
  if (outcome.status == store::commit_status::kCommitted) {
    absent_cancelled_at_.emplace(id, time_);
  }
}

void workflow_world::Cancel(const std::string& id) {
  cancelled_at_.emplace(id, time_);
}

void workflow_world::RestartGateway(size_t index) {
  NoteDisturbance();
  auto& on = *gateways_[index];
  ++on.incarnation;
  on.core.reset();
  writer_options options;
  options.self.name =
      "gateway" + std::to_string(index) + "-" + std::to_string(on.incarnation);
  options.self.address = std::to_string(index);
  fenced_writer::hooks hooks;
  hooks.table = store_.table();
  const auto commit = hooks.table.commit;
  hooks.table.commit = [&on, commit](const store::transaction& change,
                                     store::commit_callback then) {
    if (on.partitioned) {
      then({store::commit_status::kUnknown, 0, "", {}});
      return;
    }
    commit(change, std::move(then));
  };
  const auto read = hooks.table.read;
  hooks.table.read = [&on, read](const std::string& key,
                                 store::read_callback then) {
    if (on.partitioned) {
      then(reason{"store_answer_lost", "cut off"});
      return;
    }
    read(key, std::move(then));
  };
  hooks.clock = [this] { return At(time_); };
  hooks.random = [this] { return random_(); };
  hooks.gained = [this, &on](uint64_t epoch) { Recover(on, epoch); };
  hooks.lost = [&on](const char*) { on.core.reset(); };
  on.writer = std::make_unique<fenced_writer>(options, std::move(hooks));
}

void workflow_world::RestartRunner(size_t index) {
  NoteDisturbance();
  auto& on = *runners_[index];
  ++on.incarnation;
  supervisor_options options;
  options.vm = on.name();
  options.address = std::to_string(index);
  options.runner_incarnation = on.name() + "-" + std::to_string(on.incarnation);
  on.lease_unanswered = false;
  on.newest_pace.clear();
  on.pace_wrong_since.clear();
  on.core = std::make_unique<supervisor>(std::move(options));
}

void workflow_world::SetGatewayFrozen(size_t index, bool frozen) {
  NoteDisturbance();
  gateways_[index]->frozen = frozen;
}

void workflow_world::SetStorePartitioned(size_t index, bool partitioned) {
  NoteDisturbance();
  gateways_[index]->partitioned = partitioned;
}

void workflow_world::SetRunnerPartitioned(size_t index, bool partitioned) {
  NoteDisturbance();
  runners_[index]->partitioned = partitioned;
}

void workflow_world::SetRunnerFrozen(size_t index, bool frozen) {
  NoteDisturbance();
  runners_[index]->frozen = frozen;
}

void workflow_world::SetCallHandling(size_t index, call_handling how) {
  NoteDisturbance();
  runners_[index]->handling = how;
}

void workflow_world::LoseWorker(size_t index) {
  NoteDisturbance();
  auto& on = *runners_[index];
  on.handling = call_handling::kIgnore;
  on.worker->Crash(true);
  idle_jobs_.OnWorkerLost(on.name());
}

void workflow_world::SetVmSuspended(size_t index, bool suspended) {
  NoteDisturbance();
  auto& on = *runners_[index];
  if (suspended == on.suspended_since.has_value()) {
    return;
  }
  if (suspended) {
    on.suspended_since = time_;
    for (auto& [task, vms] : running_) {
      if (vms.erase(on.name()) > 0) {
        on.suspended_tasks.insert(task);
      }
    }
    return;
  }
  const auto length = time_ - *on.suspended_since;
  on.suspended_since.reset();
  on.core->OnSuspension(length, At(time_));
  // Calls take no time here; in fact, the worker goes on for the time of a call
  // before it can be stopped.
  StepRunner(on);
  const auto tasks = std::exchange(on.suspended_tasks, {});
  for (const auto& run : on.worker->runs()) {
    if (!tasks.contains(run.task)) {
      continue;
    }
    auto& at = running_[run.task];
    if (!at.empty()) {
      violations_.push_back(
          "runs twice after a suspension: " + ToString(run.task) + " on " +
          on.name() + " at " + std::to_string(time_.count()) + " ms");
    }
    at.insert(on.name());
    down_since_.erase(run.task);
  }
}

void workflow_world::SetFaults(const faults& in) {
  NoteDisturbance();
  faults_ = in;
}

void workflow_world::SetStoreDown(bool down) {
  NoteDisturbance();
  store_down_ = down;
}

void workflow_world::SetOrdersLost(size_t index, bool lost) {
  NoteDisturbance();
  runners_[index]->orders_lost = lost;
}

void workflow_world::SetReportsLost(size_t index, bool lost) {
  NoteDisturbance();
  runners_[index]->reports_lost = lost;
}

void workflow_world::SetReportRepliesLost(size_t index, bool lost) {
  NoteDisturbance();
  runners_[index]->report_replies_lost = lost;
}

void workflow_world::SetHeartbeatsLost(size_t index, bool lost) {
  NoteDisturbance();
  runners_[index]->heartbeats_lost = lost;
}

void workflow_world::SetWorkerDraining(size_t index, bool draining) {
  NoteDisturbance();
  runners_[index]->draining = draining;
}

void workflow_world::SetNewsSilent(size_t index, bool silent) {
  NoteDisturbance();
  gateways_[index]->news_silent = silent;
}

void workflow_world::CrashWorker(size_t index, bool stays_down) {
  NoteDisturbance();
  runners_[index]->worker->Crash(stays_down);
  idle_jobs_.OnWorkerLost(runners_[index]->name());
}

void workflow_world::BounceWorker(size_t index, millis first_heartbeat) {
  NoteDisturbance();
  auto& on = *runners_[index];
  on.worker->Crash(false, true);
  idle_jobs_.OnWorkerLost(on.name());
  on.last_heartbeat_at = time_ - kHeartbeatInterval + first_heartbeat;
}

void workflow_world::SetWorkerRefusing(size_t index, bool refusing) {
  NoteDisturbance();
  runners_[index]->worker->SetRefusing(refusing);
}

void workflow_world::AnnounceExit(size_t index) {
  NoteDisturbance();
  auto& on = *runners_[index];
  on.core->OnWorkerExit(on.worker->instance(), At(time_));
}

void workflow_world::SendForeignHeartbeat(size_t index) {
  NoteDisturbance();
  worker_heartbeat heartbeat;
  heartbeat.instance = "other";
  heartbeat.incarnation = kUnixStart + time_.count();
  heartbeat.sequence = 1;
  heartbeat.service = "other";
  runners_[index]->core->OnHeartbeat(heartbeat, At(time_));
}

void workflow_world::SetMaxListedEnds(size_t limit) {
  NoteDisturbance();
  for (auto& runner : runners_) {
    runner->worker->SetMaxListedEnds(limit);
  }
}

void workflow_world::SetRemoteSlowdown(double factor) {
  remote_slowdown_ = factor;
  for (auto& runner : runners_) {
    runner->worker->SetRack("rack" + std::to_string(runner->index % 2));
  }
}

void workflow_world::SetCheckpointBytes(size_t bytes) {
  for (auto& runner : runners_) {
    runner->worker->SetCheckpointBytes(bytes);
  }
}

void workflow_world::BringUpWorker(size_t index) {
  NoteDisturbance();
  runners_[index]->worker->BringUp();
}

void workflow_world::Heal() {
  NoteDisturbance();
  faults_ = {};
  store_down_ = false;
  for (auto& gateway : gateways_) {
    gateway->frozen = gateway->partitioned = gateway->news_silent = false;
  }
  for (auto& runner : runners_) {
    runner->partitioned = runner->frozen = runner->draining = false;
    runner->orders_lost = runner->reports_lost = false;
    runner->report_replies_lost = runner->heartbeats_lost = false;
    runner->handling = call_handling::kAnswer;
    SetVmSuspended(runner->index, false);
    runner->worker->BringUp();
  }
}

void workflow_world::Recover(gateway& on, uint64_t epoch) {
  coordinator_options options;
  options.epoch = epoch;
  options.address = std::to_string(on.index);
  options.remote_slowdown = remote_slowdown_;
  on.core = std::make_unique<coordinator>(std::move(options));
  on.core->SetCatalogue(MakeCatalogue());
  LoadJobs(on);
  on.writer->SetReady();
}

void workflow_world::LoadJobs(gateway& on) {
  for (const auto& [id, job] : jobs_) {
    if (store_.Read(kEndedPrefix + id)) {
      continue;
    }
    std::optional<job_record> progress;
    for (const auto& row : store_.Scan(kProgressPrefix + id, SIZE_MAX)) {
      const auto key = ParseProgressKey(row.key);
      if (key->job != id) {
        continue;  // The ID of another job begins so.
      }
      progress = progress ? progress : MakeJobRecord(job.job);
      if (!AddProgress(key->row, *DecodeProgressRow(row.value), *progress)) {
        violations_.push_back("progress of other tasks: " + row.key);
      }
    }
    on.core->AddJob(id, job, progress, At(time_), kUnixStart + time_.count());
  }
  for (const auto& [id, at] : cancelled_at_) {
    on.core->CancelJob(id, At(time_));
  }
  on.core->SetInformedAsOf(At(time_));
}

void workflow_world::TakeNews(gateway& on) {
  if (on.news_silent) {
    return;
  }
  for (const auto& [id, job] : jobs_) {
    if (!store_.Read(kEndedPrefix + id)) {
      on.core->AddJob(id, job, std::nullopt, At(time_),
                      kUnixStart + time_.count());
    }
  }
  for (const auto& [id, at] : cancelled_at_) {
    on.core->CancelJob(id, At(time_));
  }
  on.core->SetInformedAsOf(At(time_));
}

void workflow_world::Advance(millis time) {
  const auto until = time_ + time;
  while (time_ < until) {
    Step();
  }
}

void workflow_world::Step() {
  time_ += kStep;
  while (!scheduled_.empty() && scheduled_.begin()->first <= time_) {
    auto run = std::move(scheduled_.begin()->second);
    scheduled_.erase(scheduled_.begin());
    run();
  }
  for (auto& runner : runners_) {
    if (runner->suspended_since) {
      continue;
    }
    runner->worker->Advance(kStep,
                            [this](const run_key& run) { return PlanOf(run); });
    if (!runner->frozen) {
      StepRunner(*runner);
    }
    CheckPaces(*runner);
  }
  CheckDownTimes();
  for (auto& gateway : gateways_) {
    if (!gateway->frozen) {
      StepGateway(*gateway);
    }
  }
  if (checks_idle_jobs_ && time_ % kIdleCheckInterval == millis(0)) {
    FindIdleJobs();
  }
}

const workflow_world::gateway* workflow_world::ReadyCoordinator() const {
  const auto at =
      std::find_if(gateways_.begin(), gateways_.end(), [](const auto& each) {
        return each->core && each->writer->holds() && !each->frozen &&
               !each->partitioned && !each->news_silent;
      });
  return at == gateways_.end() || store_down_ ? nullptr : at->get();
}

void workflow_world::FindIdleJobs() {
  if (faults_ != faults{} || time_ <= late_until_) {
    NoteDisturbance();
  }
  if (const auto* coordinator = ReadyCoordinator();
      coordinator && coordinator->writer->epoch() != last_ready_epoch_) {
    last_ready_epoch_ = coordinator->writer->epoch();
    idle_jobs_.OnCoordinatorChanged(time_);
  }
  for (auto& violation : idle_jobs_.Check(MakeIdleJobView())) {
    violations_.push_back(std::move(violation));
  }
}

idle_job_check::world_view workflow_world::MakeIdleJobView() const {
  idle_job_check::world_view out;
  out.now = time_;
  out.unix_ms = kUnixStart + time_.count();
  out.has_ready_coordinator = ReadyCoordinator() != nullptr;
  out.epoch = last_ready_epoch_;
  for (const auto& on : runners_) {
    out.vms.push_back(MakeIdleJobVm(*on));
  }
  for (const auto& [id, job] : jobs_) {
    if (id.starts_with(kHopelessJob) || cancelled_at_.contains(id) ||
        store_.Read(kEndedPrefix + id)) {
      continue;
    }
    out.jobs.emplace(id, &job);
    if (!IsLasting(id)) {
      out.checked_jobs.insert(id);
    }
  }
  for (const auto& [task, vms] : running_) {
    if (!vms.empty()) {
      out.running.insert(task);
    }
  }
  return out;
}

idle_job_check::vm workflow_world::MakeIdleJobVm(const runner& on) const {
  idle_job_check::vm out;
  out.name = on.name();
  out.runner_process = on.incarnation;
  out.known_epoch = on.core->epoch();
  out.lists_arrive = !on.partitioned && !on.frozen && !on.reports_lost &&
                     !on.suspended_since && on.worker->up() &&
                     !on.worker->refusing() &&
                     on.handling == call_handling::kAnswer;
  out.sound = out.lists_arrive && !on.orders_lost && !on.report_replies_lost &&
              !on.heartbeats_lost && !on.draining;
  out.free = on.worker->capacity();
  for (const auto& run : on.worker->runs()) {
    if (const auto* step = StepOf(run.task)) {
      out.free -= step->demand;
    }
  }
  return out;
}

run_plan workflow_world::PlanOf(const run_key& run) const {
  const auto& job = run.task.job;
  run_plan out{millis(400 + 300 * run.task.index)};
  if (job.starts_with(kFailingJob)) {
    // Spread over the time at which the coordinator stops a hung run.
    const auto spread =
        (97 * static_cast<unsigned>(job.back()) + 211 * run.run) % 600;
    return {coordinator_options{}.progress_timeout + millis(spread),
            run_result::kFailed, false};
  }
  if (job.starts_with(kGangJob)) {
    out.duration = millis(2'000);
    out.saves_progress = true;
  }
  if (IsLasting(job)) {
    out.duration = millis::max();
    out.long_running = true;
  }
  if (job.starts_with(kServingJob)) {
    // Above the target of 50 ms for a third of the time.
    constexpr millis kPeriod{6'000};
    out.load = time_ % kPeriod < kPeriod / 3 ? 70 : 10;
  } else if (job.starts_with(kFillingJob)) {
    out.load = 1'000;
    out.saves_progress = true;
  }
  return out;
}

bool workflow_world::IsLasting(const std::string& job) {
  return job.starts_with(kLastingJob) || job.starts_with(kServingJob) ||
         job.starts_with(kFillingJob);
}

void workflow_world::CheckDownTimes() {
  for (auto& [task, since] : down_since_) {
    if (checks_restarts_ && !task.job.starts_with(kFillingJob) &&
        time_ - since > kMaxRestartTime) {
      violations_.push_back("does not run again: " + ToString(task) + " at " +
                            std::to_string(time_.count()) + " ms");
      since = time_;  // Says it once for each such time.
    }
  }
}

void workflow_world::CheckPaces(runner& on) {
  for (const auto& run : on.worker->runs()) {
    const auto newest = on.newest_pace.find(run);
    if (on.frozen || on.handling != call_handling::kAnswer ||
        newest == on.newest_pace.end() ||
        newest->second == on.worker->PaceOf(run)) {
      on.pace_wrong_since.erase(run);
      continue;
    }
    const auto since = on.pace_wrong_since.try_emplace(run, time_).first;
    if (time_ - since->second > kMaxPaceError) {
      violations_.push_back(
          "keeps the throttle of an earlier call: " + ToString(run.task) +
          " on " + on.name() + " at " + std::to_string(time_.count()) + " ms");
      since->second = time_;
    }
  }
}

void workflow_world::CheckStop(const run_key& run) {
  const auto* step = StepOf(run.task);
  // Others are stopped by their runner, as they may not go on.
  if (!step || step->disruption_budget < 0 || !ordered_stops_.contains(run)) {
    return;
  }
  int32_t unavailable = 0;
  for (uint32_t i = 0; i < step->count; ++i) {
    auto other = run.task;
    other.index = i;
    const auto down = down_since_.find(other);
    unavailable += i != run.task.index && down != down_since_.end() &&
                           (down_by_stop_.contains(other) ||
                            time_ - down->second > kUnavailableAfter)
                       ? 1
                       : 0;
  }
  if (unavailable >= step->disruption_budget) {
    violations_.push_back(
        "is stopped beyond the disruption budget: " + ToString(run.task) +
        " at " + std::to_string(time_.count()) + " ms");
  }
}

void workflow_world::CheckGang(const start_order& order) {
  const auto* step = StepOf(order.run.task);
  if (!step || !step->gang) {
    return;
  }
  auto first = order.run;
  first.task.index = 0;
  const auto [at, added] = gang_checkpoints_.emplace(first, order.checkpoint);
  if (at->second != order.checkpoint) {
    violations_.push_back("starts with another checkpoint than its gang: " +
                          ToString(order.run.task) + " at " +
                          std::to_string(time_.count()) + " ms");
  }
}

const step_spec* workflow_world::StepOf(const task_key& task) const {
  const auto job = jobs_.find(task.job);
  return job == jobs_.end() ? nullptr : &job->second.job.steps[task.step];
}

void workflow_world::StepGateway(gateway& on) {
  on.writer->Tick();
  if (!on.core) {
    return;
  }
  const auto now = At(time_);
  TakeNews(on);
  on.core->Tick(now, kUnixStart + time_.count());
  if (on.writer->holds() && !on.writer->busy() && on.core->HasUncommitted()) {
    std::vector<store::mutation> changes;
    for (auto& row : on.core->TakeBatch(now)) {
      changes.push_back({ToString(row.key), std::move(row.record)});
    }
    on.writer->Write(std::move(changes), [this, &on](write_status status) {
      if (!on.core) {
        return;
      }
      if (status == write_status::kCommitted) {
        on.core->OnCommitted(At(time_));
      } else {
        on.core->OnNotCommitted();
      }
    });
  }
  if (!on.core) {
    return;
  }
  WriteEnded(on);
  for (const auto& next : on.core->TakeOrders(now)) {
    const auto to = std::stoul(next.address);
    auto& runner = *runners_[to];
    NoteOrders(next.message, runner);
    const auto deliver = [this, &on, &runner, vm = next.vm,
                          epoch = on.writer->epoch(),
                          bytes = Encode(next.message)] {
      ReceiveOrders(*DecodeOrders(bytes), runner);
      if (on.core && on.writer->epoch() == epoch) {
        on.core->OnOrdersDelivered(vm);
      }
    };
    if (runner.orders_lost) {
      Schedule(kOrdersTimeout,
               [this, &on, vm = next.vm, epoch = on.writer->epoch()] {
                 if (on.core && on.writer->epoch() == epoch) {
                   on.core->OnOrdersNotDelivered(vm, At(time_));
                 }
               });
      continue;
    }
    if (runner.partitioned ||
        !Send([&](millis delay) { ScheduleAt(runner, delay, deliver); })) {
      on.core->OnOrdersNotDelivered(next.vm, At(time_));
    }
  }
}

void workflow_world::NoteOrders(const orders& in, const runner& to) {
  for (const auto& start : in.starts) {
    CheckGang(start);
    idle_jobs_.OnStartSent(start.run, to.name(), in.epoch, time_);
  }
  ordered_stops_.insert(in.stops.begin(), in.stops.end());
}

void workflow_world::ReceiveOrders(const orders& in, runner& by) {
  for (const auto& start : in.starts) {
    idle_jobs_.OnStartReceived(start.run, by.incarnation);
  }
  by.core->OnOrders(in, At(time_));
}

void workflow_world::WriteEnded(gateway& on) {
  const auto batch = on.core->TakeEnded(At(time_), 30);
  if (batch.empty() || on.partitioned || Chance(0.9)) {
    return;
  }
  store::transaction change;
  for (const auto& [id, ended] : batch.ends) {
    AppendEnd(id, ended, change.mutations);
  }
  const auto incarnation = on.incarnation;
  store_.table().commit(change, [&](const store::commit_outcome& outcome) {
    if (outcome.status == store::commit_status::kCommitted && on.core &&
        on.incarnation == incarnation) {
      on.core->OnEndedWritten(batch);
    }
  });
}

void workflow_world::DeliverReport(size_t from,
                                   const std::string& bytes,
                                   boot_time sent) {
  const auto in = *DecodeReport(bytes);
  const uint64_t incarnation = runners_[from]->incarnation;
  for (auto& gateway : gateways_) {
    if (!gateway->core || gateway->frozen || Chance(faults_.lost_message)) {
      continue;
    }
    const auto reply = *DecodeReportReply(Encode(gateway->core->OnReport(
        in, At(time_), gateway->writer->last_commit_sent_at())));
    for (const auto& end : in.ends) {
      if (end.how == run_result::kDone) {
        idle_jobs_.OnDoneReported(end.run.task);
      }
    }
    const auto epoch = gateway->writer->epoch();
    auto& runner = *runners_[from];
    for (const auto& orders : reply.undelivered) {
      NoteOrders(orders, runner);
    }
    if (runner.report_replies_lost) {
      continue;
    }
    const auto deliver = [this, &runner, incarnation, in, reply, sent, epoch] {
      if (runner.incarnation == incarnation && !runner.partitioned) {
        runner.core->OnCoordinator(epoch, "coordinator");
        runner.core->OnReportReply(in, reply, sent);
        for (const auto& orders : reply.undelivered) {
          ReceiveOrders(orders, runner);
        }
      }
    };
    (void)Send([&](millis delay) { ScheduleAt(runner, delay, deliver); });
  }
}

void workflow_world::StepRunner(runner& on) {
  const auto now = At(time_);
  if (on.worker->up() && !on.heartbeats_lost &&
      time_ - on.last_heartbeat_at >= kHeartbeatInterval) {
    on.last_heartbeat_at = time_;
    auto heartbeat = on.worker->MakeHeartbeat();
    heartbeat.draining = on.draining;
    on.core->OnHeartbeat(heartbeat, now);
  }
  CallWorker(on);
  if (!on.partitioned && (on.core->IsReportDue() ||
                          time_ - on.last_report_at >= kReportInterval)) {
    on.last_report_at = time_;
    const auto bytes = Encode(on.core->MakeReport(now));
    if (on.reports_lost) {
      return;
    }
    (void)Send([&](millis delay) {
      Schedule(delay, [this, index = on.index, bytes, now] {
        DeliverReport(index, bytes, now);
      });
    });
  }
}

call_status workflow_world::Call(runner& on,
                                 const std::function<call_status()>& call) {
  if (on.handling == call_handling::kIgnore) {
    return call_status::kNoReply;
  }
  const auto status = call();
  return on.handling == call_handling::kAnswer ? status : call_status::kNoReply;
}

void workflow_world::Reply(const runner& on,
                           call_status status,
                           const std::function<void()>& reply) {
  if (status != call_status::kNoReply) {
    reply();
    return;
  }
  ScheduleAt(on, kReplyTimeout, [&on, reply, incarnation = on.incarnation] {
    if (on.incarnation == incarnation) {
      reply();
    }
  });
}

void workflow_world::CallWorker(runner& on) {
  const auto now = At(time_);
  for (const auto& call : on.core->TakeStarts(now)) {
    if (Chance(faults_.late_order)) {
      on.core->OnStartReply(call, call_status::kNoReply, now, now);
      // A call that a worker holds back ends with its process.
      ScheduleAtWorker(on, millis(2'000 + 700 * Delay().count()),
                       [&on, call, life = on.worker->incarnation()] {
                         if (on.worker->incarnation() == life) {
                           (void)on.worker->Start(call);
                         }
                       });
      continue;
    }
    const auto status = Call(on, [&] { return on.worker->Start(call); });
    Reply(on, status, [this, &on, call, status, now] {
      on.core->OnStartReply(call, status, now, At(time_));
    });
  }
  for (const auto& call : on.core->TakeStops(now)) {
    if (Chance(faults_.late_order)) {
      on.core->OnStopReply(call.run, call_status::kNoReply, now);
      ScheduleAtWorker(on, millis(2'000),
                       [&on, call] { (void)on.worker->Stop(call); });
      continue;
    }
    const auto status = Call(on, [&] { return on.worker->Stop(call); });
    Reply(on, status, [this, &on, call, status] {
      on.core->OnStopReply(call.run, status, At(time_));
    });
  }
  for (const auto& call : on.core->TakePaces(now)) {
    CallPace(on, call);
  }
  if (const auto probe = on.core->TakeProbe(now)) {
    CallLease(on, *probe);
  }
  if (time_ - on.last_lease_call_at < kLeaseCallInterval ||
      on.lease_unanswered) {
    return;
  }
  if (const auto call = on.core->NextLease(now)) {
    on.last_lease_call_at = time_;
    CallLease(on, *call);
  }
}

void workflow_world::CallLease(runner& on, const lease_call& call) {
  const uint64_t incarnation = on.incarnation;
  const auto now = At(time_);
  lease_reply reply;
  reply.status = Call(on, [&] {
    reply = on.worker->Lease(call);
    return reply.status;
  });
  millis delay = Delay();
  if (reply.status == call_status::kNoReply) {
    reply = {};
    reply.status = call_status::kNoReply;
    delay = kReplyTimeout + call.wait;
    on.lease_unanswered = true;
  }
  ScheduleAt(on, delay, [this, &on, incarnation, call, reply, now] {
    if (on.incarnation == incarnation) {
      on.lease_unanswered =
          on.lease_unanswered && reply.status != call_status::kNoReply;
      on.core->OnLeaseReply(call, reply, now, At(time_));
    }
  });
}

void workflow_world::CallPace(runner& on, const pace_call& call) {
  on.newest_pace[call.run] = call.percent;
  auto status = call_status::kNoReply;
  // Never two in a row, so that there is a bound on how long one is in force.
  if (!on.late_paces.erase(call.run) && Chance(faults_.late_pace)) {
    on.late_paces.insert(call.run);
    const millis delay(
        std::uniform_int_distribution<int>(0, kMaxPaceDelayMs)(random_));
    ScheduleAtWorker(on, delay, [&on, call] { (void)on.worker->Pace(call); });
  } else {
    status = Call(on, [&] { return on.worker->Pace(call); });
  }
  Reply(on, status, [this, &on, call, status] {
    on.core->OnPaceReply(call, status, At(time_));
  });
}

void workflow_world::OnStarted(const std::string& vm, const run_key& run) {
  const std::string what = ToString(run.task) + " run " +
                           std::to_string(run.run) + " on " + vm + " at " +
                           std::to_string(time_.count()) + " ms";
  auto& at = running_[run.task];
  if (!at.empty()) {
    violations_.push_back("runs twice: " + what);
  }
  if (done_.contains(run.task)) {
    violations_.push_back("starts after it completed: " + what);
  }
  at.insert(vm);
  idle_jobs_.OnStarted(run.task);
  started_at_[run.task] = time_;
  CheckAttempts(run.task);
  down_since_.erase(run.task);
  down_by_stop_.erase(run.task);
  const auto* step = StepOf(run.task);
  // Best-effort tasks use what is left over.
  if (step && !step->best_effort && ++running_on_[vm] > kMaxTasksOnVm) {
    violations_.push_back("exceeds the VM's capacity: " + what);
  }
  if (run.task.job.starts_with(kHopelessJob)) {
    violations_.push_back("asks for more than the VM has: " + what);
  }
  const auto job = jobs_.find(run.task.job);
  if (job == jobs_.end()) {
    violations_.push_back("was never submitted: " + what);
    return;
  }
  const auto cancelled = cancelled_at_.find(run.task.job);
  if (faults_.late_order == 0 && cancelled != cancelled_at_.end() &&
      time_ - cancelled->second > coordinator_options{}.max_information_age +
                                      kStartValidity + kMessageSlack) {
    violations_.push_back("starts long after its cancellation: " + what);
  }
  if (absent_cancelled_at_.contains(run.task.job)) {
    violations_.push_back("was cancelled before it was accepted: " + what);
  }
  for (const uint32_t earlier : job->second.job.steps[run.task.step].after) {
    for (uint32_t i = 0; i < job->second.job.steps[earlier].count; ++i) {
      const run_key first{{run.task.job, 0, earlier, i}, 0};
      const auto ended = done_at_.lower_bound(first);
      if (ended == done_at_.end() || ended->first.task != first.task) {
        violations_.push_back("starts before the steps that it depends on: " +
                              what);
      }
    }
  }
}

void workflow_world::OnEnded(const std::string& vm,
                             const run_key& run,
                             run_result how) {
  auto& at = running_[run.task];
  const bool was_last = at.erase(vm) > 0 && at.empty();
  const auto* step = StepOf(run.task);
  running_on_[vm] -= step && !step->best_effort ? 1 : 0;
  if (was_last && step && step->long_running) {
    if (how == run_result::kStopped) {
      CheckStop(run);
      down_by_stop_.insert(run.task);
    }
    down_since_[run.task] = time_;
  }
  if (step && step->gang && how != run_result::kDone) {
    EndGang(run);
  }
  if (how == run_result::kDone) {
    done_at_[run] = time_;
    idle_jobs_.OnDone(run.task, vm);
  } else if (how == run_result::kFailed) {
    failed_at_[run] = time_;
    idle_jobs_.OnFailed(run.task);
  }
}

void workflow_world::EndGang(const run_key& run) {
  constexpr millis kDelay{50};
  Schedule(kDelay, [this, run] {
    const auto* step = StepOf(run.task);
    for (auto& runner : runners_) {
      for (uint32_t i = 0; i < step->count && !runner->suspended_since; ++i) {
        auto member = run;
        member.task.index = i;
        runner->worker->Interrupt(member);
      }
    }
  });
}

void workflow_world::CheckAttempts(const task_key& task) {
  const auto job = jobs_.find(task.job);
  const auto& failures = acknowledged_failures_[task];
  const auto before_start = std::count_if(
      failures.begin(), failures.end(),
      [&](millis failed_at) { return failed_at < started_at_[task]; });
  if (job != jobs_.end() && before_start >= job->second.attempts) {
    violations_.push_back("started after its attempts were used up: " +
                          ToString(task));
  }
}

void workflow_world::OnAcknowledged(const std::string& vm,
                                    const run_end& end,
                                    bool lapsed) {
  if (end.how == run_result::kFailed && !lapsed) {
    acknowledged_failures_[end.run.task].push_back(failed_at_[end.run]);
    CheckAttempts(end.run.task);
  }
  if (end.how != run_result::kDone || lapsed) {
    return;
  }
  done_.insert(end.run.task);
  idle_jobs_.OnDoneAcknowledged(end.run.task);
  if (started_at_[end.run.task] > done_at_[end.run]) {
    violations_.push_back(
        "restarted although its completion was acknowledged: " +
        ToString(end.run.task) + " on " + vm);
  }
}

bool workflow_world::AllEnded() const {
  for (const auto& gateway : gateways_) {
    if (!gateway->core || !gateway->writer->holds()) {
      continue;
    }
    for (const auto& [id, job] : jobs_) {
      if (IsLasting(id) || id.starts_with(kHopelessJob)) {
        continue;
      }
      const auto ended = store_.Read(kEndedPrefix + id);
      const auto expected = id.starts_with(kFailingJob) ? job_phase::kFailed
                                                        : job_phase::kCompleted;
      if (!ended) {
        return false;
      }
      const auto phase = DecodeEndedJob(ended->value)->phase;
      if (phase != expected &&
          (phase != job_phase::kCancelled || !cancelled_at_.contains(id))) {
        return false;
      }
    }
    return true;
  }
  return false;
}

size_t workflow_world::coordinators() const {
  return static_cast<size_t>(
      std::count_if(gateways_.begin(), gateways_.end(),
                    [](const auto& at) { return at->writer->holds(); }));
}

}  // namespace chiveglade::workflow
