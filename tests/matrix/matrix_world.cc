#include "tests/matrix/matrix_world.h"

#include <algorithm>

#include "chiveglade/authority/commands.h"
#include "tests/authority/authority_world.h"

namespace chiveglade::testing {

namespace {

constexpr millis kStepLength{50};
constexpr millis kHeartbeatInterval{1'000};
constexpr millis kRunLease{15'000};
constexpr millis kTaskDuration{6'000};
// Longest time after a data centre is taken out in which a start there is
// allowed.
constexpr millis kMaxStartDelayAfterOut{3'000};
// Long enough for all work to finish after every fault has ended.
constexpr millis kMaxRunTime{240'000};
constexpr resources kCapacity{4'000, 4'096, 0};

std::string ToString(const state::attempt_id& id) {
  return id.task.job + "/" + std::to_string(id.task.index) + "#" +
         std::to_string(id.number);
}

config::manifest Manifest() {
  config::manifest out;
  out.data_centres = {{"dc1", "r"}, {"dc2", "r"}};
  out.largest_vm = kCapacity;
  out.tenants = {{"t", {1'000'000, 1'000'000, 0}}};
  out.classes = {{"shade", true, kRunLease, millis(1'000), 120},
                 {"batch", false, kRunLease, millis(1'000), 120}};
  config::service_spec service;
  service.name = "s";
  service.tenant = "t";
  service.klass = "shade";
  service.replicas = 2;
  service.per_replica = {500, 500, 0};
  out.services = {service};
  state::job_spec job;
  job.name = "batch";
  job.tenant = "t";
  job.klass = "batch";
  job.tasks = 8;
  job.per_task = {1'000, 1'000, 0};
  job.run_lease = kRunLease;
  out.jobs = {job};
  return out;
}

}  // namespace

matrix_world::matrix_world(bool scored_planner, uint64_t seed)
    : random_(seed), use_scored_planner_(scored_planner) {
  AddEntry("e1");
  AddEntry("e2");
  for (const auto& [name, centre, rate] :
       {std::tuple("v1", "dc1", 0.99), std::tuple("v2", "dc2", 1.01),
        std::tuple("v3", "dc2", 1.0)}) {
    auto vm = std::make_unique<vm_process>();
    vm->name = name;
    vm->data_centre = centre;
    vm->clock_rate = rate;
    vm->worker = std::make_unique<fake_worker>(kCapacity);
    StartAgent(*vm);
    vms_.push_back(std::move(vm));
  }
}

void matrix_world::Inject(const std::string& fault, matrix_step at) {
  fault_ = fault;
  fault_step_ = at;
}

void matrix_world::InjectAfter(const std::string& fault, millis time) {
  At(run_start_ + time, [this, fault] { TriggerFault(fault); });
}

void matrix_world::Fail(const std::string& what) {
  if (problem_.empty()) {
    problem_ =
        what + " after " + std::to_string((now_ - run_start_).count()) + " ms";
  }
}

void matrix_world::At(boot_time when, std::function<void()> then) {
  timers_.emplace(when, std::move(then));
}

void matrix_world::AddEntry(const std::string& name) {
  authority::scheduler_options options;
  options.name = name;
  options.address = name + ":1";
  options.snapshot_interval = millis(8'000);
  options.return_ramp = millis(5'000);
  authority::planner_hooks planner;
  planner.plan = FirstFit;
  if (use_scored_planner_) {
    sched::planner_options policy;
    policy.return_ramp = options.return_ramp;
    planner = authority::MakePlannerHooks(*sched::planner::Make(
        policy,
        [random = random_engine(random_())]() mutable { return random(); }));
  }
  auto objects = store_.objects();
  objects.put = [this, put = objects.put](const std::string& key,
                                          const std::string& bytes,
                                          const store::put_callback& then) {
    OnStepReached(matrix_step::kSnapshot);
    put(key, bytes, then);
  };
  auto table = store_.table();
  table.commit = [this, commit = table.commit](
                     const store::transaction& change,
                     const store::commit_callback& then) {
    for (const auto& condition : change.conditions) {
      if (condition.key.starts_with(authority::kDataCentrePrefix) &&
          change.mutations[0].key == authority::kHeadKey) {
        OnStepReached(matrix_step::kGrantAppend);
      }
    }
    commit(change, then);
  };
  entries_[name] = *authority::scheduler::Make(
      options, table, objects, planner, [this] { return now_; },
      [this] { return random_(); });
  if (script_ > 0) {
    entries_[name]->SetManifest(1, manifest_);
  }
}

authority::scheduler* matrix_world::holder() {
  for (const auto& [name, entry] : entries_) {
    if (entry->holds_role() && now_ >= paused_until_[name]) {
      return entry.get();
    }
  }
  return nullptr;
}

boot_time matrix_world::LocalTime(const vm_process& vm) const {
  return boot_time(millis(static_cast<int64_t>(
      static_cast<double>(now_.time_since_epoch().count()) * vm.clock_rate)));
}

void matrix_world::StartAgent(vm_process& vm) {
  agent::agent_options options;
  options.vm = vm.name;
  options.data_centre = vm.data_centre;
  options.rack = vm.name;
  options.address = "127.0.0.1:1";
  options.capacity = kCapacity;
  vm.core =
      *agent::agent_core::Make(options, [this, &vm] { return LocalTime(vm); });
  ++vm.process;
}

void matrix_world::RestartVm(vm_process& vm) {
  vm.worker->Restart(LocalTime(vm));
  StartAgent(vm);
}

void matrix_world::SetStoreFault(store_fault fault,
                                 bool commits_only,
                                 millis length) {
  store_.SetFaults(
      [fault, commits_only](const std::string& call, const std::string& key) {
        const bool hit =
            !commits_only || (call == "commit" && key == authority::kHeadKey);
        return hit ? fault : store_fault::kNone;
      });
  At(now_ + length, [this] { store_.SetFaults(nullptr); });
}

void matrix_world::ChangeDataCentre(bool out) {
  const auto row = store_.Read("dc/dc2");
  // Skips a change that the row already has.
  if (row && authority::ReadDataCentre(row->value)->out == out) {
    return;
  }
  authority::ChangeDataCentre(
      store_.table(),
      {"dc2",
       row ? row->version : 0,
       {out, "", "ann", "", std::to_string(random_())}},
      [this, out](const authority::command_outcome& outcome) {
        if (outcome.status == authority::command_status::kAccepted) {
          out_since_ = out ? std::optional(now_) : std::nullopt;
        }
      });
}

void matrix_world::RunScript() {
  const millis passed = now_ - run_start_;
  if (script_ == 0 && passed >= millis(6'000)) {
    ++script_;
    manifest_ = Manifest();
    for (const auto& [name, entry] : entries_) {
      entry->SetManifest(1, manifest_);
    }
    OnStepReached(matrix_step::kSubmitted);
  }
  if (script_ == 1 && passed >= millis(11'000) && now_ >= out_retry_) {
    out_retry_ = now_ + millis(1'000);
    ChangeDataCentre(true);
    if (out_since_) {
      ++script_;
      OnStepReached(matrix_step::kDataCentreOut);
    }
  }
  if (script_ == 2 && passed >= millis(25'000) && now_ >= out_retry_) {
    out_retry_ = now_ + millis(1'000);
    ChangeDataCentre(false);
    if (!out_since_) {
      ++script_;
      OnStepReached(matrix_step::kDataCentreReturn);
    }
  }
  // A fault may have taken the data centre out again.
  if (script_ == 3 && out_since_ && now_ >= *out_since_ + millis(15'000)) {
    ChangeDataCentre(false);
  }
}

void matrix_world::Run() {
  OnStepReached(matrix_step::kStart);
  while (problem_.empty() && now_ - run_start_ < kMaxRunTime) {
    Step();
    if (now_ - run_start_ > millis(100'000) && AllWorkDone()) {
      break;
    }
  }
  if (problem_.empty()) {
    CheckFinalState();
  }
}

void matrix_world::Step() {
  now_ += kStepLength;
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const auto then = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    then();
  }
  RunScript();
  TickEntries();
  Deliver();
  for (auto& vm : vms_) {
    vm->worker->Advance(LocalTime(*vm));
    TickVm(*vm);
    Check();
  }
}

void matrix_world::TickEntries() {
  for (const auto& [name, entry] : entries_) {
    if (now_ >= paused_until_[name]) {
      entry->Tick();
      Check();
    }
  }
}

void matrix_world::TickVm(vm_process& vm) {
  if (now_ < vm.dead_until) {
    return;
  }
  FinishWork(vm);
  if (now_ < vm.frozen_until) {
    return;
  }
  for (const auto& call : vm.core->Tick()) {
    Execute(vm, call);
  }
  SendHeartbeats(vm);
}

void matrix_world::Execute(vm_process& vm, const agent::worker_call& call) {
  using agent::worker_call_status;
  if (call.kind == agent::worker_call_kind::kStart) {
    OnStepReached(matrix_step::kStartCall);
  }
  if (now_ < worker_unreachable_until_) {
    vm.core->OnWorkerCall(call, {worker_call_status::kNotSent, {}});
    return;
  }
  const bool lost = now_ < drop_worker_answers_until_;
  if (call.kind == agent::worker_call_kind::kList && !lost) {
    const auto tasks = vm.worker->List(LocalTime(vm));
    vm.core->OnWorkerBoot(vm.worker->boot());
    vm.core->OnWorkerTasks(tasks);
    return;
  }
  auto outcome = vm.worker->Handle(call, LocalTime(vm));
  if (lost) {
    outcome = {worker_call_status::kUnknown, {}};
  }
  vm.core->OnWorkerCall(call, outcome);
}

void matrix_world::SendHeartbeats(vm_process& vm) {
  const bool urgent =
      vm.core->wants_heartbeat() &&
      now_ + kHeartbeatInterval - millis(200) > vm.next_heartbeat;
  if (!vm.core->announces() || (now_ < vm.next_heartbeat && !urgent)) {
    return;
  }
  vm.next_heartbeat = now_ + kHeartbeatInterval;
  const auto heartbeat = vm.core->MakeHeartbeat();
  for (const auto& [name, entry] : entries_) {
    SendMessage(vm, [this, &vm, heartbeat, name = name, process = vm.process] {
      if (vm.process == process) {
        OnHeartbeatArrived(vm, name, heartbeat);
      }
    });
  }
}

void matrix_world::SendMessage(vm_process& vm,
                               const std::function<void()>& deliver) {
  if (now_ < drop_messages_until_ || now_ < vm.cut_off_until) {
    return;
  }
  const int copies = now_ < duplicate_until_ ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto delay = now_ < delay_messages_until_
                           ? millis(static_cast<int64_t>(random_() % 4'000))
                           : millis(1);
    network_.push_back({now_ + delay, ++message_order_, deliver});
  }
}

void matrix_world::Deliver() {
  std::vector<message> due;
  std::erase_if(network_, [&](message& one) {
    const bool now = one.at <= now_;
    if (now) {
      due.push_back(std::move(one));
    }
    return now;
  });
  std::sort(due.begin(), due.end(), [](const message& a, const message& b) {
    return std::pair(a.at, a.order) < std::pair(b.at, b.order);
  });
  for (const auto& one : due) {
    one.deliver();
    Check();
  }
}

void matrix_world::OnHeartbeatArrived(vm_process& vm,
                                      const std::string& entry,
                                      const state::heartbeat& heartbeat) {
  const auto at = entries_.find(entry);
  if (at == entries_.end() || now_ < paused_until_[entry]) {
    return;
  }
  OnStepReached(matrix_step::kFirstHeartbeat);
  if (!heartbeat.attempts.empty()) {
    OnStepReached(matrix_step::kRunningReported);
  }
  if (!heartbeat.ends.empty()) {
    OnStepReached(matrix_step::kEndReported);
  }
  const auto answer = at->second->OnHeartbeat(heartbeat);
  if (!answer.starts.empty()) {
    OnStepReached(matrix_step::kStartOrder);
  }
  if (!answer.stops.empty()) {
    OnStepReached(matrix_step::kStopOrder);
  }
  if (!answer.acknowledged.empty()) {
    OnStepReached(matrix_step::kEndAcknowledged);
  }
  if (now_ >= drop_answers_until_) {
    SendMessage(vm, [this, &vm, heartbeat, answer, process = vm.process] {
      OnAnswer(vm, process, heartbeat, answer);
    });
  }
}

void matrix_world::OnAnswer(vm_process& vm,
                            uint64_t process,
                            const state::heartbeat& heartbeat,
                            const state::heartbeat_answer& answer) {
  if (vm.process == process && now_ >= vm.dead_until &&
      now_ >= vm.frozen_until) {
    vm.core->OnAnswer(heartbeat, answer);
  }
}

void matrix_world::FinishWork(vm_process& vm) {
  for (const auto& attempt : vm.worker->live()) {
    if (attempt.task.job == "batch" &&
        LocalTime(vm) >=
            vm.worker->history().at(attempt).started + kTaskDuration) {
      vm.worker->Finish(attempt, false, LocalTime(vm));
      finished_.insert(attempt.task);
    }
  }
}

void matrix_world::CheckStart(vm_process& vm,
                              const state::attempt_id& attempt) {
  if (!started_.emplace(attempt, vm.name).second) {
    Fail(ToString(attempt) + " was started twice");
  }
  if (finished_.contains(attempt.task) && !vm_reports_lost_) {
    Fail(ToString(attempt) + " runs although its task has finished");
  }
  if (vm.data_centre == "dc2" && out_since_ &&
      now_ > *out_since_ + kMaxStartDelayAfterOut) {
    Fail(ToString(attempt) + " started in a data centre that is out");
  }
}

void matrix_world::Check() {
  std::map<state::task_id, std::string> live;
  for (auto& vm : vms_) {
    if (!vm->worker->violations().empty()) {
      Fail(vm->name + ": " + vm->worker->violations()[0]);
    }
    for (const auto& attempt : vm->worker->live()) {
      if (vm->checked_starts.insert(attempt).second) {
        CheckStart(*vm, attempt);
      }
      if (now_ < vm->dead_until) {
        continue;
      }
      const auto [other, first] = live.emplace(attempt.task, vm->name);
      if (!first) {
        Fail(ToString(attempt) + " runs on " + vm->name + " and on " +
             other->second);
      }
    }
  }
  if (auto* at = holder()) {
    for (const auto& [name, host] : at->committed().vms()) {
      if (!FitsWithin(host.committed, host.capacity)) {
        Fail(name + " is committed beyond its capacity");
      }
    }
  }
}

bool matrix_world::AllWorkDone() {
  auto* at = holder();
  const auto* batch = at ? at->committed().FindJob("batch") : nullptr;
  const auto* service = at ? at->committed().FindJob("service:s") : nullptr;
  if (!batch || !service) {
    return false;
  }
  const auto is = [](state::task_phase phase) {
    return [phase](const state::task& task) { return task.phase == phase; };
  };
  return std::all_of(batch->tasks.begin(), batch->tasks.end(),
                     is(state::task_phase::kFinished)) &&
         std::all_of(service->tasks.begin(), service->tasks.end(),
                     is(state::task_phase::kRunning));
}

void matrix_world::CheckFinalState() {
  if (!holder()) {
    Fail("no entry holds the role");
  } else if (!AllWorkDone()) {
    Fail("work was lost: " + holder()->JobJson("batch") +
         holder()->JobJson("service:s"));
  }
}

}  // namespace chiveglade::testing
