// Processing of the runners' reports, and the orders sent to runners.
#include <algorithm>
#include <array>
#include <climits>
#include <cmath>
#include <utility>

#include "chiveglade/workflow/headroom.h"
#include "src/workflow/coordinator_state.h"

namespace chiveglade::workflow {

namespace {

// A report of another incarnation of the runner process is accepted if its
// sequence number is at most kMaxEarlySequence, or if the known incarnation has
// not reported for kOldIncarnationTimeout. Otherwise it may be a delayed report
// of an earlier incarnation.
constexpr millis kOldIncarnationTimeout{1'000};
constexpr uint64_t kMaxEarlySequence = 3;
// A VM whose lease expires within this time gets no new tasks.
constexpr millis kMinLeaseForStart{500};
constexpr uint32_t kFullPacePercent = 100;
// Orders to a VM that exceed this are divided among several messages. Far below
// kMaxMessageBytes, so that a slow link delivers each in time.
constexpr size_t kMaxOrdersBytes = size_t{128} * 1024;
// A start is sent again for this long; when it has expired, the task is placed
// anew.
constexpr millis kMaxStartRetryTime{3'000};
// Of a lease call to a worker; its lists may be older by this.
constexpr millis kMaxReplyTime{700};
// An order without its texts, encoded.
constexpr size_t kOrderBytes = 128;
constexpr double kMillicoresPerCore = 1'000;
constexpr double kPercent = 100;
// Minimum time between two samples of a VM. Measurements cover the last half
// second.
constexpr millis kLearnInterval{400};
// Time over which a measured latency is smoothed, and the time between reports.
constexpr millis kMeasuredPeriod{1'000};
// Rises of a serving task's own load by this share of its target are logged.
constexpr double kReportedRise = 0.2;
// In the order of own_load_condition.
constexpr std::array<const char*, 3> kOwnLoadConditions = {"alone", "beside",
                                                           "after_end"};

}  // namespace

bool coordinator::state::IsStale(const vm_state& vm,
                                 const report& in,
                                 boot_time now) const {
  if (!vm.has_reported) {
    return false;
  }
  if (in.runner_incarnation == vm.last_report.runner_incarnation) {
    return in.sequence <= vm.last_report.sequence;
  }
  return in.sequence > kMaxEarlySequence &&
         now - vm.last_report_at < kOldIncarnationTimeout;
}

void coordinator::state::LearnSize(const report& in, boot_time now) {
  if (first_report_at == boot_time{}) {
    first_report_at = now;
  }
  if (in.service.empty() || in.capacity == resources{}) {
    return;
  }
  // Never lowered: a VM that has left may come back.
  auto& most = largest_vms[in.service];
  most.millicores = std::max(most.millicores, in.capacity.millicores);
  most.memory_mib = std::max(most.memory_mib, in.capacity.memory_mib);
  most.accelerators = std::max(most.accelerators, in.capacity.accelerators);
}

std::optional<resources> coordinator::LargestVm(const std::string& service,
                                                boot_time now) const {
  const auto found = state_->largest_vms.find(service);
  if (found == state_->largest_vms.end() ||
      now - state_->first_report_at < state_->options.vms_heard_after) {
    return std::nullopt;
  }
  return found->second;
}

report_reply coordinator::OnReport(const report& in,
                                   boot_time now,
                                   boot_time last_commit_sent_at) {
  auto& vm = state_->vms[in.vm];
  vm.name = in.vm;
  report_reply out;
  out.epoch = state_->options.epoch;
  if (state_->IsStale(vm, in, now)) {
    out.worker_incarnation = vm.last_report.worker_incarnation;
    return out;
  }
  state_->LearnSize(in, now);
  const bool accepted_starts = state_->AcceptsStarts(vm, now);
  const bool is_new_runner =
      !vm.has_reported ||
      vm.last_report.runner_incarnation != in.runner_incarnation;
  const auto before = vm.last_report.phase;
  const auto incarnation_before = vm.last_report.worker_incarnation;
  const bool was_complete = vm.last_report.complete;
  if (in.worker_incarnation > vm.last_report.worker_incarnation) {
    vm.ends_applied = vm.ends_durable = vm.ends_batched = 0;
    vm.unwanted_runs.clear();
  }
  const bool was_silent =
      now - vm.last_report_at >= state_->options.report_timeout;
  vm.has_reported = true;
  vm.last_report_at = now;
  vm.last_report = in;
  vm.last_report.complete = in.omits_runs ? was_complete : in.complete;
  vm.last_report.runs.clear();
  vm.last_report.ends.clear();
  vm.last_report.refusals.clear();
  vm.load_stale = true;
  if (is_new_runner || before != in.phase ||
      incarnation_before != in.worker_incarnation) {
    state_->Log("vm_heard",
                {{"vm", in.vm},
                 {"phase", std::to_string(static_cast<int>(in.phase))},
                 {"born", std::to_string(in.worker_incarnation)},
                 {"runs", std::to_string(in.runs.size())}});
  }
  const bool last_was_answered = in.epoch == state_->options.epoch &&
                                 in.answered > 0 &&
                                 in.answered + 1 == in.sequence;
  // The reply to the last report before a silence may have been lost with it.
  const bool may_be_lost = was_silent && !vm.silence_excused;
  if (is_new_runner || last_was_answered || may_be_lost) {
    vm.reply_received_at = now;
    vm.silence_excused = may_be_lost && !is_new_runner;
  }
  if (is_new_runner) {
    vm.runner_since_ms = in.boot_clock_ms;
    vm.orders_failing_since = {};
    // A new runner process does not know the runs of its worker, so all orders
    // are sent again.
    for (auto& [run, hosted] : vm.runs) {
      hosted.last_order_at = {};
    }
    state_->vms_with_orders.insert(in.vm);
    vm.weights_sent.clear();
    vm.weights_due = state_->options.keep_interference;
  }
  if (vm.weights_due) {
    state_->vms_with_orders.insert(in.vm);
  }
  state_->ApplyEnds(vm, in, now);
  if (in.worker_incarnation == 0) {
    // The runner has had no contact with its worker yet, so the lease must not
    // be extended.
    return out;
  }
  state_->MoveRuns(vm, in);
  state_->EndRunsBefore(vm, in.worker_incarnation, "worker_restarted", now);
  if (in.phase == worker_phase::kGone) {
    // A report from before this coordinator may be late, and the worker back.
    if (in.epoch == state_->options.epoch) {
      state_->EndRunsBefore(vm, in.worker_incarnation + 1, "worker_gone", now);
    }
  } else if (!in.omits_runs) {
    state_->ApplyRuns(vm, in, now);
    state_->UpdateOwnLoads(vm, now);
    state_->UpdateInterference(vm, now);
  }
  const auto age =
      std::chrono::duration_cast<millis>(now - last_commit_sent_at);
  if (state_->ReceivesReplies(vm, now)) {
    out.grant = std::max(millis(0), state_->options.lease_duration - age);
  }
  vm.lease_expires_at =
      std::max(vm.lease_expires_at, now + WithClockMargin(out.grant));
  state_->placement_due = state_->placement_due ||
                          (!accepted_starts && state_->AcceptsStarts(vm, now));
  out.worker_incarnation = in.worker_incarnation;
  out.acknowledged = vm.ends_durable;
  if (vm.orders_failing_since != boot_time{}) {
    // Also shows whether calls are answered again.
    state_->vms_with_orders.insert(in.vm);
  }
  if (vm.orders_failing_since != boot_time{} && last_was_answered) {
    std::vector<addressed_orders> pending;
    state_->AppendOrders(vm, now, 1, pending);
    out.undelivered.push_back(std::move(pending.front().message));
  }
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
    vms_with_new_ends.insert(vm.name);
    const auto hosted = vm.runs.find(end.run);
    // A start meant for an earlier incarnation may have reached this one.
    if (hosted == vm.runs.end()) {
      if (end.how == run_result::kDone) {
        OnLateDone(vm, end.run, now);
      }
    } else if (hosted->second.worker_incarnation <= in.worker_incarnation) {
      EndRun(vm, end.run, end.how, end.checkpoint, now);
    }
    vm.unwanted_runs.erase(end.run);
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
    vm.unwanted_runs.erase(refusal.run);
  }
}

void coordinator::state::MoveRuns(vm_state& vm, const report& in) {
  for (const auto& status : in.runs) {
    if (const auto at = vm.runs.find(status.run); at != vm.runs.end()) {
      at->second.worker_incarnation =
          std::max(at->second.worker_incarnation, in.worker_incarnation);
    }
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
      auto& sent = vm.unwanted_runs[status.run];
      if (now - sent > options.order_resend_timeout) {
        vms_with_orders.insert(vm.name);
      }
      continue;
    }
    auto& hosted = at->second;
    if (!hosted.started || hosted.percent != status.percent ||
        status.pace < kFullPacePercent) {
      hosted.last_progress_at = now;
    }
    hosted.started = status.started;
    hosted.known_to_runner = true;
    if (auto* job = status.started ? FindJob(status.run.task.job) : nullptr) {
      NoteBegun(*job, "listed", vm.name);
    }
    hosted.percent = status.percent;
    hosted.pace = status.pace;
    hosted.load = status.load;
    if (!status.checkpoint.empty()) {
      hosted.checkpoint = status.checkpoint;
    }
    if (hosted.stopping &&
        now - hosted.last_order_at > options.order_resend_timeout) {
      hosted.last_order_at = {};
      vms_with_orders.insert(vm.name);
    }
  }
  SettleUnlistedRuns(vm, in, listed, now);
  if (in.complete && in.epoch == options.epoch) {
    std::erase_if(vm.unwanted_runs, [&](const auto& item) {
      return !listed.contains(item.first);
    });
  }
}

bool coordinator::state::CannotStart(const vm_state& vm,
                                     const hosted_run& hosted,
                                     const report& in,
                                     boot_time now) const {
  const bool is_restored = hosted.placed_at == boot_time{};
  if (hosted.first_start_sent_at == boot_time{} && !is_restored) {
    return now - hosted.placed_at > kMaxStartRetryTime &&
           !AcceptsStarts(vm, now);
  }
  if (in.boot_clock_ms <= hosted.starts_expire_ms) {
    return false;
  }
  // A runner lists each run that it was ordered to start until it is settled.
  if (!is_restored && !hosted.known_to_runner &&
      hosted.first_start_clock_ms >= vm.runner_since_ms) {
    return true;
  }
  // An earlier process of the runner may have left a call under way. It ended
  // before the first report of this one. The lease of the call does not count
  // the time for which its VM is suspended.
  return in.complete &&
         millis(in.boot_clock_ms) >
             millis(vm.runner_since_ms) +
                 WithClockMargin(kStartLease + kMaxListAge + kMaxReplyTime);
}

void coordinator::state::SettleUnlistedRuns(vm_state& vm,
                                            const report& in,
                                            const std::set<run_key>& listed,
                                            boot_time now) {
  std::vector<run_key> over;
  // Runs that have not started on a VM that no longer accepts starts are
  // cancelled.
  const bool accepts_no_starts = in.phase == worker_phase::kDraining ||
                                 out_of_service.contains(in.data_centre);
  // Under another epoch, orders of the leader of that epoch may be on the way.
  const bool is_current = in.epoch == options.epoch;
  for (auto& [run, hosted] : vm.runs) {
    const bool is_restored = hosted.placed_at == boot_time{};
    if (!hosted.durable || listed.contains(run) ||
        (is_restored && !is_current) ||
        now - hosted.last_order_at <= options.order_resend_timeout) {
      continue;
    }
    if (hosted.starts_expire_ms == 0 && is_restored) {
      // The runner takes no orders of earlier leaders any more.
      hosted.starts_expire_ms = in.boot_clock_ms + kStartValidity.count();
    }
    if (in.complete && is_current && accepts_no_starts && !hosted.started &&
        !hosted.stopping) {
      Log("start_given_up", {{"task", ToString(run.task)},
                             {"run", std::to_string(run.run)},
                             {"vm", vm.name},
                             {"reason", in.phase == worker_phase::kDraining
                                            ? "draining"
                                            : "data_centre_out_of_service"}});
      StopRun(vm.name, run, now);
    } else if (CannotStart(vm, hosted, in, now)) {
      over.push_back(run);
    } else if (in.complete && is_current &&
               (hosted.stopping || hosted.first_start_sent_at == boot_time{} ||
                now - hosted.first_start_sent_at < kMaxStartRetryTime)) {
      // The order was lost or was sent by an earlier leader. Sending it again
      // is safe, because the worker starts each run at most once.
      counters.resent += hosted.last_order_at == boot_time{} ? 0 : 1;
      hosted.last_order_at = {};
      vms_with_orders.insert(vm.name);
    }
  }
  for (const auto& run : over) {
    if (const auto& hosted = vm.runs.at(run); !hosted.stopping) {
      Log("start_given_up",
          {{"task", ToString(run.task)},
           {"run", std::to_string(run.run)},
           {"vm", vm.name},
           {"reason", hosted.orders_sent == 0    ? "not_sent"
                      : ReceivesReplies(vm, now) ? "no_effect"
                                                 : "undelivered"}});
    }
    EndRun(vm, run, run_result::kRefused, "", now);
  }
}

double coordinator::state::BestEffortImpact(
    const vm_state& vm,
    const std::string& serving_image) const {
  double out = 0;
  for (const auto& [run, hosted] : vm.runs) {
    if (hosted.started && hosted.step && hosted.step->best_effort &&
        hosted.step->latency_target.count() == 0 && hosted.load > 0) {
      out += interference.Weight(hosted.step->image, serving_image) *
             hosted.load / kMillicoresPerCore;
    }
  }
  return out;
}

void coordinator::state::UpdateOwnLoads(vm_state& vm, boot_time now) {
  const auto condition = static_cast<size_t>(OwnLoadCondition(vm, now));
  std::map<std::string, double> impacts;
  for (auto& [run, hosted] : vm.runs) {
    const double ratio = LatencyRatio(hosted);
    if (ratio == 0) {
      continue;
    }
    const auto [impact, added] = impacts.try_emplace(hosted.step->image, 0);
    if (added) {
      impact->second = BestEffortImpact(vm, hosted.step->image);
    }
    hosted.impact = impact->second;
    const double alone = LatencyRatioAt(HeadroomAt(ratio) + hosted.impact);
    hosted.measured_peak.Update(alone, now);
    auto& load =
        replica_loads[{run.task.job, run.task.occurrence, run.task.step}];
    load.Update(run, ratio, now);
    const double peak = hosted.own_peak;
    hosted.own_peak =
        load.IsKnown() ? load.peak() : hosted.measured_peak.value();
    const double own = load.IsKnown() ? load.now() : alone;
    ++counters.own_load_samples[condition];
    counters.own_load_sums[condition] += own;
    if (added && hosted.own_peak - peak >= kReportedRise) {
      const auto percent = [](double share) {
        return std::to_string(std::lround(share * kPercent));
      };
      Log("own_load_raised",
          {{"vm", vm.name},
           {"image", hosted.step->image},
           {"condition", kOwnLoadConditions[condition]},
           {"percent_of_target", percent(ratio)},
           {"predicted_impact", percent(hosted.impact)},
           {"peak_before", percent(peak)},
           {"fillers", std::to_string(vm.best_effort_millicores)}});
    }
  }
}

own_load_condition coordinator::state::OwnLoadCondition(const vm_state& vm,
                                                        boot_time now) const {
  if (vm.best_effort_ended_at != boot_time{} &&
      now - vm.best_effort_ended_at < kMeasuredPeriod) {
    return own_load_condition::kAfterEnd;
  }
  const bool beside =
      std::any_of(vm.runs.begin(), vm.runs.end(), [](const auto& item) {
        return item.second.step && item.second.step->best_effort;
      });
  return beside ? own_load_condition::kBeside : own_load_condition::kAlone;
}

std::map<run_key, double> coordinator::state::OwnLoadsOn(
    const vm_state& vm) const {
  std::map<run_key, double> out;
  for (const auto& [run, hosted] : vm.runs) {
    const auto at =
        replica_loads.find({run.task.job, run.task.occurrence, run.task.step});
    if (at != replica_loads.end() && at->second.IsKnown()) {
      out[run] = at->second.now();
    }
  }
  return out;
}

void coordinator::state::UpdateInterference(vm_state& vm, boot_time now) {
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
      const double ratio = LatencyRatio(hosted);
      if (vm.best_effort_millicores > 0) {
        if (const auto limit = margin.Learn(hosted.step->image, ratio);
            limit && options.adaptive_latency_margin) {
          Log("latency_limit_changed",
              {{"image", hosted.step->image},
               {"percent_of_target",
                std::to_string(std::lround(*limit * kPercent))}});
        }
      }
      sample.serving[run] = {hosted.step->image, ratio, ratio};
    } else if (hosted.step->best_effort) {
      sample.best_effort_tasks.push_back(
          {hosted.step->image, hosted.load / kMillicoresPerCore});
    }
  }
  interference.Learn(vm.sample, sample, unix_ms);
  // A latency is measured with a lag, so that of tasks that have just ended
  // would be attributed to the others.
  if (OwnLoadCondition(vm, now) != own_load_condition::kAfterEnd) {
    interference.LearnFromOwnLoad(sample, OwnLoadsOn(vm), unix_ms);
  }
  vm.sample = std::move(sample);
}

std::vector<pair_weight> coordinator::state::WeightsOn(
    const vm_state& vm) const {
  std::set<std::string> best_effort;
  for (const auto& [run, hosted] : vm.runs) {
    if (hosted.step && hosted.step->best_effort) {
      best_effort.insert(hosted.step->image);
    }
  }
  return interference.WeightsFor(ServingImages(vm), best_effort);
}

std::vector<learned_pair> coordinator::ExportInterference(
    int64_t now_unix_ms) const {
  return state_->interference.Export(now_unix_ms);
}

size_t coordinator::ImportInterference(const std::vector<learned_pair>& in,
                                       int64_t now_unix_ms) {
  const size_t taken = state_->interference.Import(in, now_unix_ms);
  if (taken == 0 || !state_->options.keep_interference) {
    return taken;
  }
  for (auto& [name, vm] : state_->vms) {
    if (vm.has_reported) {
      vm.weights_due = true;
      state_->vms_with_orders.insert(name);
    }
  }
  return taken;
}

double coordinator::mean_latency_limit() const {
  return state_->margin.MeanRatio();
}

size_t coordinator::known_pairs() const {
  return state_->interference.known_pairs();
}

void coordinator::state::ExpireVms(boot_time now) {
  for (auto& [name, vm] : vms) {
    if (!vm.runs.empty() && now > vm.lease_expires_at) {
      EndRunsBefore(vm, INT64_MAX, "grant_expired", now);
    }
  }
}

void coordinator::state::StopHungRuns(boot_time now) {
  for (auto& [name, vm] : vms) {
    if (!AcceptsStarts(vm, now) || !vm.last_report.complete) {
      continue;
    }
    for (auto& [run, hosted] : vm.runs) {
      if (hosted.started && !hosted.stopping && hosted.step &&
          !hosted.step->long_running && hosted.pace >= kFullPacePercent &&
          now - hosted.last_progress_at > options.progress_timeout) {
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

bool coordinator::state::AcceptsStarts(const vm_state& vm,
                                       boot_time now) const {
  return IsInformed(now) && vm.has_reported &&
         vm.last_report.phase == worker_phase::kReady &&
         now - vm.last_report_at < options.report_timeout &&
         now >= vm.starts_paused_until &&
         vm.lease_expires_at - now > kMinLeaseForStart &&
         ReceivesReplies(vm, now) &&
         !out_of_service.contains(vm.last_report.data_centre);
}

bool coordinator::state::ReceivesReplies(const vm_state& vm,
                                         boot_time now) const {
  return now - vm.reply_received_at < options.report_timeout;
}

coordinator::addressed_orders coordinator::state::MakeOrders(
    const vm_state& vm) const {
  addressed_orders out{vm.name, vm.last_report.address, {}};
  out.message.epoch = options.epoch;
  out.message.coordinator = options.address;
  out.message.worker_incarnation = vm.last_report.worker_incarnation;
  out.message.boot_clock_ms = vm.last_report.boot_clock_ms;
  out.message.valid_for =
      std::clamp(std::chrono::duration_cast<millis>(vm.lease_expires_at -
                                                    vm.last_report_at),
                 millis(0), kStartValidity);
  out.message.acknowledged = vm.ends_durable;
  return out;
}

void coordinator::state::AppendOrders(vm_state& vm,
                                      boot_time now,
                                      size_t max_messages,
                                      std::vector<addressed_orders>& out) {
  out.push_back(MakeOrders(vm));
  size_t messages = 1;
  size_t bytes = 0;
  // Returns the message that has room for an order of this size; null if all
  // are full.
  const auto message_for = [&](size_t order_bytes) -> orders* {
    if (bytes > 0 && bytes + order_bytes > kMaxOrdersBytes) {
      if (messages == max_messages) {
        return nullptr;
      }
      out.push_back(MakeOrders(vm));
      ++messages;
      bytes = 0;
    }
    bytes += order_bytes;
    return &out.back().message;
  };
  if (std::exchange(vm.weights_due, false)) {
    auto weights = WeightsOn(vm);
    if (weights != vm.weights_sent) {
      vm.weights_sent = weights;
      out.back().message.weights = std::move(weights);
    }
  }
  const bool may_start = AcceptsStarts(vm, now);
  for (auto& [run, hosted] : vm.runs) {
    if (!hosted.durable || hosted.last_order_at != boot_time{}) {
      continue;
    }
    if (hosted.stopping) {
      auto* message = message_for(kOrderBytes);
      if (!message) {
        break;
      }
      message->stops.push_back(run);
    } else if (may_start && hosted.step) {
      auto start = MakeStart(run, *hosted.step);
      auto* message = message_for(kOrderBytes + start.payload.size() +
                                  start.checkpoint.size() + start.image.size());
      if (!message) {
        break;
      }
      if (message->starts.empty()) {
        message->weights = vm.weights_sent = WeightsOn(vm);
      }
      message->starts.push_back(std::move(start));
      if (hosted.first_start_sent_at == boot_time{}) {
        hosted.first_start_sent_at = now;
        hosted.first_start_clock_ms = message->boot_clock_ms;
      }
      // With little left of the grant, a later order may expire first.
      hosted.starts_expire_ms =
          std::max(hosted.starts_expire_ms,
                   message->boot_clock_ms + message->valid_for.count());
    } else {
      continue;
    }
    hosted.last_order_at = now;
    ++hosted.orders_sent;
  }
  for (auto& [run, sent] : vm.unwanted_runs) {
    if (now - sent > options.order_resend_timeout) {
      auto* message = message_for(kOrderBytes);
      if (!message) {
        break;
      }
      sent = now;
      message->stops.push_back(run);
    }
  }
}

start_order coordinator::state::MakeStart(const run_key& run,
                                          const step_spec& step) {
  const auto& job = *FindJob(run.task.job);
  const auto& task =
      job.record.tasks[run.task.occurrence][run.task.step][run.task.index];
  return {run,
          job.in.job.payload,
          task.checkpoint,
          "",
          step.image,
          step.best_effort,
          step.demand.millicores,
          step.latency_target};
}

std::vector<coordinator::addressed_orders> coordinator::TakeOrders(
    boot_time now) {
  std::vector<addressed_orders> out;
  auto waiting = std::exchange(state_->vms_with_orders, {});
  const bool informed = state_->IsInformed(now);
  if (informed) {
    waiting.merge(std::exchange(state_->vms_with_held_starts, {}));
  }
  for (const auto& name : waiting) {
    auto& vm = state_->vms.at(name);
    if (!vm.has_reported) {
      continue;
    }
    if (!informed) {
      state_->vms_with_held_starts.insert(name);
    }
    state_->AppendOrders(vm, now, SIZE_MAX, out);
  }
  return out;
}

void coordinator::OnOrdersDelivered(const std::string& vm) {
  if (const auto at = state_->vms.find(vm); at != state_->vms.end()) {
    at->second.orders_failing_since = {};
  }
}

void coordinator::OnOrdersNotDelivered(const std::string& vm, boot_time now) {
  const auto at = state_->vms.find(vm);
  if (at == state_->vms.end()) {
    return;
  }
  if (at->second.orders_failing_since == boot_time{}) {
    at->second.orders_failing_since = now;
  }
  if (state_->options.keep_interference && !at->second.weights_sent.empty()) {
    // Sent again after the next report.
    at->second.weights_sent.clear();
    at->second.weights_due = true;
  }
  // Backdates the order, so that the next report that does not show the run
  // makes it resend immediately instead of after `order_resend_timeout`.
  for (auto& [run, hosted] : at->second.runs) {
    if (!hosted.started) {
      hosted.last_order_at =
          std::min(hosted.last_order_at, boot_time{} + millis(1));
    }
  }
}

}  // namespace chiveglade::workflow
