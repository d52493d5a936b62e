// What runners report, and orders to them.
#include <algorithm>
#include <climits>
#include <utility>

#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

// A report of a new life of the runner process is believed at once only if its
// sequence is low or the old life has been silent for this long: one of an old
// life may have been held up on its way.
constexpr millis kOldLifeSilent{1'000};
constexpr uint64_t kEarlySequence = 3;
// A VM with less than this left of its grant gets no new tasks.
constexpr millis kShortestGrant{500};
constexpr uint32_t kFullPace = 100;
constexpr double kMillicores = 1'000;  // in a core
// Figures are for the last half second.
constexpr millis kLearnInterval{400};

}  // namespace

bool coordinator::state::IsStale(const vm_state& vm,
                                 const report& in,
                                 boot_time now) const {
  if (!vm.heard) {
    return false;
  }
  if (in.runner_incarnation == vm.last.runner_incarnation) {
    return in.sequence <= vm.last.sequence;
  }
  return in.sequence > kEarlySequence && now - vm.heard_at < kOldLifeSilent;
}

report_reply coordinator::OnReport(const report& in,
                                   boot_time now,
                                   boot_time confirmed) {
  auto& vm = state_->vms[in.vm];
  vm.name = in.vm;
  report_reply out;
  out.epoch = state_->options.epoch;
  if (state_->IsStale(vm, in, now)) {
    out.worker_incarnation = vm.last.worker_incarnation;
    return out;
  }
  const bool took_work = state_->TakesWork(vm, now);
  const bool first =
      !vm.heard || vm.last.runner_incarnation != in.runner_incarnation;
  const auto before = vm.last.phase;
  const auto born_before = vm.last.worker_incarnation;
  const bool was_complete = vm.last.complete;
  if (in.worker_incarnation > vm.last.worker_incarnation) {
    vm.ends_applied = vm.ends_durable = vm.ends_batched = 0;
    vm.unwanted.clear();
  }
  vm.heard = true;
  vm.heard_at = now;
  vm.last = in;
  vm.last.complete = in.omits_runs ? was_complete : in.complete;
  vm.last.runs.clear();
  vm.last.ends.clear();
  vm.last.refusals.clear();
  vm.load_stale = true;
  if (first || before != in.phase || born_before != in.worker_incarnation) {
    state_->Log("vm_heard",
                {{"vm", in.vm},
                 {"phase", std::to_string(static_cast<int>(in.phase))},
                 {"born", std::to_string(in.worker_incarnation)},
                 {"runs", std::to_string(in.runs.size())}});
  }
  if (first) {
    // A new runner process knows nothing of what its worker runs.
    for (auto& [run, hosted] : vm.runs) {
      hosted.sent_at = {};
    }
    state_->with_orders.insert(in.vm);
  }
  state_->ApplyEnds(vm, in, now);
  if (in.worker_incarnation == 0) {
    // The runner has not heard of its worker: nothing there may be prolonged.
    return out;
  }
  state_->EndAllBefore(vm, in.worker_incarnation, "worker_restarted", now);
  if (in.phase == worker_phase::kGone) {
    state_->EndAllBefore(vm, INT64_MAX, "worker_gone", now);
  } else if (!in.omits_runs) {
    state_->ApplyRuns(vm, in, now);
    state_->Learn(vm, now);
  }
  const auto age = std::chrono::duration_cast<millis>(now - confirmed);
  out.grant = std::max(millis(0), state_->options.grant - age);
  vm.over_at = std::max(vm.over_at, now + WithClockMargin(out.grant));
  state_->placing_due =
      state_->placing_due || (!took_work && state_->TakesWork(vm, now));
  out.worker_incarnation = in.worker_incarnation;
  out.acknowledged = vm.ends_durable;
  return out;
}

void coordinator::state::ApplyEnds(vm_state& vm,
                                   const report& in,
                                   boot_time now) {
  for (const auto& end : in.ends) {
    if (end.number <= vm.ends_applied) {
      continue;
    }
    vm.ends_applied = end.number;
    const auto hosted = vm.runs.find(end.run);
    if (hosted != vm.runs.end() &&
        hosted->second.worker_incarnation == in.worker_incarnation) {
      EndRun(vm, end.run, end.how, end.checkpoint, now);
    }
    vm.unwanted.erase(end.run);
  }
  for (const auto& refusal : in.refusals) {
    const auto hosted = vm.runs.find(refusal.run);
    if (hosted != vm.runs.end() && hosted->second.durable) {
      Log("start_refused", {{"task", ToString(refusal.run.task)},
                            {"run", std::to_string(refusal.run.run)},
                            {"vm", vm.name},
                            {"reason", refusal.why}});
      EndRun(vm, refusal.run, run_result::kRefused, "", now);
    }
    vm.unwanted.erase(refusal.run);
  }
}

void coordinator::state::ApplyRuns(vm_state& vm,
                                   const report& in,
                                   boot_time now) {
  std::set<run_key> listed;
  for (const auto& status : in.runs) {
    listed.insert(status.run);
    const auto at = vm.runs.find(status.run);
    if (at == vm.runs.end()) {
      auto& sent = vm.unwanted[status.run];
      if (now - sent > options.resend_after) {
        with_orders.insert(vm.name);
      }
      continue;
    }
    auto& hosted = at->second;
    if (!hosted.started || hosted.percent != status.percent ||
        status.pace < kFullPace) {
      hosted.moved_at = now;
    }
    hosted.started = status.started;
    hosted.percent = status.percent;
    hosted.pace = status.pace;
    hosted.load = status.load;
    if (!status.checkpoint.empty()) {
      hosted.checkpoint = status.checkpoint;
    }
    if (hosted.stopping && now - hosted.sent_at > options.resend_after) {
      hosted.sent_at = {};
      with_orders.insert(vm.name);
    }
  }
  if (!in.complete || in.epoch != options.epoch) {
    return;
  }
  // What has not started on a VM that takes no starts is given up there.
  const bool leaves = in.phase == worker_phase::kDraining ||
                      out_of_service.contains(in.data_centre);
  for (auto& [run, hosted] : vm.runs) {
    if (hosted.durable && !listed.contains(run) &&
        now - hosted.sent_at > options.resend_after) {
      if (leaves && !hosted.started && !hosted.stopping) {
        Log("start_given_up", {{"task", ToString(run.task)},
                               {"run", std::to_string(run.run)},
                               {"vm", vm.name},
                               {"reason", in.phase == worker_phase::kDraining
                                              ? "draining"
                                              : "data_centre_out_of_service"}});
        StopRun(vm.name, run, now);
        continue;
      }
      // The order was lost, or came from an earlier coordinator. It may be
      // repeated: the worker starts each run once.
      counters.resent += hosted.sent_at == boot_time{} ? 0 : 1;
      hosted.sent_at = {};
      with_orders.insert(vm.name);
    }
  }
  std::erase_if(vm.unwanted,
                [&](const auto& item) { return !listed.contains(item.first); });
}

void coordinator::state::Learn(vm_state& vm, boot_time now) {
  if (now - vm.learned_at < kLearnInterval) {
    return;
  }
  vm.learned_at = now;
  interference_sample sample;
  for (const auto& [run, hosted] : vm.runs) {
    if (!hosted.started || !hosted.step || hosted.load < 0) {
      continue;
    }
    if (hosted.step->latency_target.count() > 0) {
      const double ratio = RatioOf(hosted);
      sample.serving[run] = {hosted.step->image, ratio, ratio};
    } else if (hosted.step->fills) {
      sample.fillers.push_back({hosted.step->image, hosted.load / kMillicores});
    }
  }
  interference.Learn(vm.sample, sample);
  vm.sample = std::move(sample);
}

void coordinator::state::ExpireVms(boot_time now) {
  for (auto& [name, vm] : vms) {
    if (!vm.runs.empty() && now > vm.over_at) {
      EndAllBefore(vm, INT64_MAX, "grant_expired", now);
    }
  }
}

void coordinator::state::FindHung(boot_time now) {
  for (auto& [name, vm] : vms) {
    if (!TakesWork(vm, now) || !vm.last.complete) {
      continue;
    }
    for (auto& [run, hosted] : vm.runs) {
      if (hosted.started && !hosted.stopping && hosted.step &&
          !hosted.step->long_running && hosted.pace >= kFullPace &&
          now - hosted.moved_at > options.hung_after) {
        ++counters.hung;
        vm.health.OnHung(now);
        Log("run_hung", {{"task", ToString(run.task)},
                         {"run", std::to_string(run.run)},
                         {"vm", name},
                         {"percent", std::to_string(hosted.percent)}});
        StopRun(name, run, now);
      }
    }
  }
}

bool coordinator::state::TakesWork(const vm_state& vm, boot_time now) const {
  return vm.heard && vm.last.phase == worker_phase::kReady &&
         now - vm.heard_at < options.silent_after &&
         now >= vm.no_starts_until && vm.over_at - now > kShortestGrant &&
         !out_of_service.contains(vm.last.data_centre);
}

std::vector<coordinator::addressed_orders> coordinator::TakeOrders(
    boot_time now) {
  std::vector<addressed_orders> out;
  const auto waiting = std::exchange(state_->with_orders, {});
  for (const auto& name : waiting) {
    auto& vm = state_->vms.at(name);
    if (!vm.heard) {
      continue;
    }
    addressed_orders next{name, vm.last.address, {}};
    auto& message = next.message;
    message.epoch = state_->options.epoch;
    message.coordinator = state_->options.address;
    message.worker_incarnation = vm.last.worker_incarnation;
    message.boot_clock_ms = vm.last.boot_clock_ms;
    message.valid_for =
        std::clamp(std::chrono::duration_cast<millis>(vm.over_at - vm.heard_at),
                   millis(0), kStartValidity);
    message.acknowledged = vm.ends_durable;
    const bool may_start = state_->TakesWork(vm, now);
    for (auto& [run, hosted] : vm.runs) {
      if (!hosted.durable || hosted.sent_at != boot_time{}) {
        continue;
      }
      if (hosted.stopping) {
        message.stops.push_back(run);
      } else if (may_start && hosted.step) {
        const auto* job = state_->FindJob(run.task.job);
        const auto& task =
            job->record
                .tasks[run.task.occurrence][run.task.step][run.task.index];
        message.starts.push_back({run, job->in.job.payload, task.checkpoint, "",
                                  hosted.step->image, hosted.step->fills,
                                  hosted.step->demand.millicores,
                                  hosted.step->latency_target});
      } else {
        continue;
      }
      hosted.sent_at = now;
    }
    for (auto& [run, sent] : vm.unwanted) {
      if (now - sent > state_->options.resend_after) {
        sent = now;
        message.stops.push_back(run);
      }
    }
    if (!message.starts.empty()) {
      message.weights = state_->interference.WeightsFor(state_->ServingOn(vm));
    }
    out.push_back(std::move(next));
  }
  return out;
}

void coordinator::OnOrdersLost(const std::string& vm) {
  const auto at = state_->vms.find(vm);
  if (at == state_->vms.end()) {
    return;
  }
  // The next report shows what did not arrive, and is then not taken for one
  // that crossed the order.
  for (auto& [run, hosted] : at->second.runs) {
    if (!hosted.started) {
      hosted.sent_at = std::min(hosted.sent_at, boot_time{} + millis(1));
    }
  }
}

}  // namespace chiveglade::workflow
