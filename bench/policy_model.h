// A small model of interference for policy_bench: slowdowns per pair of classes
// that are unknown to the planner and vary with load, lagged measurements, and
// periods in which one class interferes more. Simulates the agents, but no
// network or store.
#ifndef CHIVEGLADE_BENCH_POLICY_MODEL_H_
#define CHIVEGLADE_BENCH_POLICY_MODEL_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/sched/planner.h"

namespace chiveglade::sched {

// Results of one run.
struct run_figures {
  // 99th percentile of the slowdown of services; 1 is undisturbed.
  double p99 = 0;
  double throughput = 0;  // cores of useful batch work, net of lost work
  double evictions = 0;   // number of stops of batch attempts
  double lost_pct = 0;    // lost share of all batch work
  // From the start of the evacuation until the cluster has settled after the
  // return: throughput, and lost share of the batch work.
  double evacuation_throughput = 0;
  double evacuation_lost_pct = 0;
};

class policy_model {
 public:
  static constexpr int kVms = 24;
  static constexpr int kDataCentres = 3;
  static constexpr int kBatchClasses = 5;
  static constexpr int64_t kStepMs = 500;
  static constexpr int64_t kRunLengthMs = 900'000;
  static constexpr int64_t kWarmUpMs = 60'000;
  static constexpr int64_t kOutOfServiceMs = 450'000;
  static constexpr int64_t kReturnMs = 600'000;
  static constexpr int64_t kReturnSettledMs = 720'000;

  policy_model(planner_options options, bool batch, uint64_t seed)
      : batch_(batch), model_random_(seed), policy_random_(seed + 1) {
    planner_ = *planner::Make(options, [this] { return policy_random_(); });
    BuildCluster();
  }

  run_figures Run() {
    for (now_ = 0; now_ < kRunLengthMs; now_ += kStepMs) {
      view_.now = boot_time(millis(1'000'000 + now_));
      ApplyOperatorActions();
      if (batch_) {
        SubmitArrivals();
      }
      RunAttempts();
      if (now_ % 1'000 == 0) {
        Report();
      }
      Plan();
    }
    return Figures();
  }

 private:
  struct running_attempt {
    state::attempt_id attempt;
    std::string vm;
    int klass = 0;        // 0 and 1: services; from 2: batch
    double work_ms = 0;   // done, including the checkpoint
    double saved_ms = 0;  // in the checkpoint
    double needed_ms = 0;
    double speed = 1;
    double lagged = 1;  // slowdown with the measurement lag
    int64_t stop_at = -1;
  };

  double Uniform(double low, double high) {
    return low +
           (high - low) * static_cast<double>(model_random_() >> 11) * 0x1p-53;
  }
  void Apply(const state::event& change) {
    if (const auto outcome = state_.Apply(change); !outcome) {
      std::fprintf(stderr, "refused: %s\n",
                   outcome.last_reason().detail.c_str());
      std::abort();
    }
  }

  // Each service is slowed much by two batch classes and little by the others.
  void BuildCluster() {
    config::manifest manifest;
    manifest.tenants = {{"t", {10'000'000, 100'000'000, 0}}};
    for (int i = 0; i < 2 + kBatchClasses; ++i) {
      manifest.classes.push_back({.name = "c" + std::to_string(i),
                                  .latency_critical = i < 2,
                                  .slowdown_limit_pct = 120});
    }
    planner_->SetManifest(manifest);
    for (int service = 0; service < 2; ++service) {
      for (int i = 0; i < kBatchClasses; ++i) {
        const bool bad = i / 2 == service;
        pair_[service][i] = bad ? Uniform(0.04, 0.12) : Uniform(0, 0.006);
      }
    }
    for (int i = 0; i < kVms; ++i) {
      Apply(state::vm_joined{{"vm" + std::to_string(i), 1},
                             "dc" + std::to_string(i % kDataCentres),
                             "r" + std::to_string(i / 9),
                             {32'000, 125'000, 0}});
    }
    for (int i = 0; i < 2; ++i) {
      state::job_spec spec = Spec("service:" + std::to_string(i), i, 12);
      spec.priority = state::band::kService;
      spec.per_task = {8'000, 16'000, 0};
      spec.max_per_vm = 1;
      Apply(state::job_submitted{spec});
    }
  }
  static state::job_spec Spec(const std::string& name,
                              int klass,
                              uint32_t tasks) {
    state::job_spec spec;
    spec.name = name;
    spec.tenant = "t";
    spec.klass = "c" + std::to_string(klass);
    spec.tasks = tasks;
    spec.per_task = {2'000, 5'000, 0};
    return spec;
  }

  void ApplyOperatorActions() {
    if (now_ == kOutOfServiceMs) {
      view_.data_centres["dc0"] = data_centre_phase::kOutOfService;
    } else if (now_ == kReturnMs) {
      view_.data_centres["dc0"] = data_centre_phase::kReturning;
      view_.returned_at["dc0"] = view_.now;
    } else if (now_ == kReturnMs + 60'000) {
      view_.data_centres.clear();
    }
  }

  // Submits about 5% more work than the VMs can hold beside the services.
  // Declared run times are off by up to a factor of four.
  void SubmitArrivals() {
    while (next_arrival_ <= now_) {
      const int klass = 2 + static_cast<int>(model_random_() % kBatchClasses);
      auto spec = Spec("b" + std::to_string(jobs_++), klass, 8);
      const double run = Uniform(20'000, 100'000);
      needed_[spec.name] = run;
      spec.expected_run =
          millis(static_cast<int64_t>(run * std::exp2(Uniform(-2, 2))));
      Apply(state::job_submitted{spec});
      next_arrival_ += static_cast<int64_t>(Uniform(1'000, 2'175));
    }
    // For 20 to 60 s at a time, one class interferes three times as much, or
    // none does.
    if (now_ >= interference_ends_) {
      interfering_class_ =
          model_random_() % 3 == 0
              ? static_cast<int>(model_random_() % kBatchClasses)
              : -1;
      interference_ends_ = now_ + static_cast<int64_t>(Uniform(20'000, 60'000));
    }
  }

  // Load is a slow sine with an abrupt step.
  double Load() const {
    const double cycle =
        std::sin(static_cast<double>(now_) / kRunLengthMs * 12.566);
    const double step = now_ % 300'000 > 200'000 ? 0.3 : 0;
    return 0.75 + 0.2 * cycle + step;
  }

  double Slowdown(const running_attempt& service) {
    double slow = 1 + 0.06 * std::abs(Uniform(-1, 1));
    for (const auto& other : by_vm_[service.vm]) {
      const auto& neighbour = running_attempts_.at(other);
      if (neighbour.klass >= 2) {
        const int klass = neighbour.klass - 2;
        slow += pair_[service.klass][klass] * Load() * neighbour.speed *
                (klass == interfering_class_ ? 3 : 1);
      }
    }
    return slow;
  }

  void RunAttempts() {
    by_vm_.clear();
    for (const auto& [id, running] : running_attempts_) {
      by_vm_[running.vm].push_back(id);
    }
    std::vector<std::pair<state::task_id, state::attempt_end>> ends;
    for (auto& [id, running] : running_attempts_) {
      if (running.klass < 2) {
        const double slow = Slowdown(running);
        running.lagged += (slow - running.lagged) * kStepMs / 5'000.0;
        if (now_ >= kWarmUpMs) {
          samples_.push_back(slow);
        }
      } else {
        const double work = running.speed * kStepMs;
        running.work_ms += work;
        CountWork(work);
        if (running.work_ms >= running.needed_ms) {
          ends.emplace_back(id, state::attempt_end::kFinished);
          continue;
        }
      }
      if (running.stop_at >= 0 && now_ >= running.stop_at) {
        ends.emplace_back(id, state::attempt_end::kStopped);
      }
    }
    for (const auto& [id, how] : ends) {
      End(id, how);
    }
  }

  // Adds work to the totals. Work that is lost later is subtracted at that
  // time.
  void CountWork(double work) {
    done_ += work;
    if (now_ >= kOutOfServiceMs && now_ < kReturnSettledMs) {
      evacuation_done_ += work;
    }
  }

  // Ends an attempt. One checkpoint in twenty fails, and the work since the
  // last one is lost.
  void End(const state::task_id& id, state::attempt_end how) {
    auto& running = running_attempts_.at(id);
    state::attempt_ended end;
    end.attempt = running.attempt;
    end.how = how;
    if (how == state::attempt_end::kStopped && running.klass >= 2) {
      if (model_random_() % 20 != 0) {
        running.saved_ms = running.work_ms;
      }
      end.checkpoint = "checkpoint";
      end.work_done = millis(static_cast<int64_t>(running.saved_ms));
      const double lost = running.work_ms - running.saved_ms;
      lost_ += lost;
      evacuation_lost_ +=
          now_ >= kOutOfServiceMs && now_ < kReturnSettledMs ? lost : 0;
      CountWork(-lost);
    }
    planner_->ObserveEnd(end, running.vm, state_.FindJob(id.job)->spec,
                         view_.now);
    Apply(end);
    running_attempts_.erase(id);
  }

  void Report() {
    std::map<std::string, state::heartbeat> heartbeats;
    for (const auto& [id, running] : running_attempts_) {
      state::attempt_report report;
      report.attempt = running.attempt;
      report.used = {running.klass < 2 ? 6'000 : 1'800, 4'000, 0};
      report.work_done = millis(static_cast<int64_t>(running.work_ms));
      report.slowdown_pct = running.klass < 2
                                ? static_cast<uint32_t>(100 * running.lagged *
                                                        Uniform(0.97, 1.03))
                                : 0;
      heartbeats[running.vm].attempts.push_back(report);
    }
    for (auto& [vm, heartbeat] : heartbeats) {
      heartbeat.vm = {vm, 1};
      planner_->Observe(heartbeat, view_.now);
    }
  }

  void Plan() {
    const auto made = planner_->Plan(state_, view_);
    for (const auto& change : made.events) {
      Apply(change);
      if (const auto* grant = std::get_if<state::attempt_granted>(&change)) {
        Start(*grant);
      } else if (const auto* stop =
                     std::get_if<state::attempt_stopping>(&change)) {
        auto& running = running_attempts_.at(stop->attempt.task);
        running.stop_at = now_ + 2'000;
        evictions_ += running.klass >= 2 ? 1 : 0;
      }
    }
    for (const auto& order : made.throttles) {
      if (const auto it = running_attempts_.find(order.attempt.task);
          it != running_attempts_.end()) {
        it->second.speed = order.percent / 100.0;
      }
    }
  }
  void Start(const state::attempt_granted& grant) {
    const auto& id = grant.attempt.task;
    const auto* job = state_.FindJob(id.job);
    running_attempt running;
    running.attempt = grant.attempt;
    running.vm = grant.vm.name;
    running.klass = job->spec.klass[1] - '0';
    running.saved_ms =
        static_cast<double>(job->tasks[id.index].work_done.count());
    running.work_ms = running.saved_ms;
    running.needed_ms = running.klass < 2 ? 0 : needed_[id.job];
    running_attempts_[id] = running;
    Apply(state::attempt_running{grant.attempt});
  }

  run_figures Figures() {
    std::sort(samples_.begin(), samples_.end());
    run_figures figures;
    figures.p99 = samples_[samples_.size() * 99 / 100];
    figures.throughput = 2 * done_ / kRunLengthMs;
    figures.evictions = evictions_;
    figures.lost_pct = done_ > 0 ? 100 * lost_ / (done_ + lost_) : 0;
    figures.evacuation_throughput =
        2 * evacuation_done_ / (kReturnSettledMs - kOutOfServiceMs);
    figures.evacuation_lost_pct =
        evacuation_done_ > 0
            ? 100 * evacuation_lost_ / (evacuation_done_ + evacuation_lost_)
            : 0;
    return figures;
  }

  bool batch_;
  random_engine model_random_;
  random_engine policy_random_;
  std::unique_ptr<planner> planner_;
  state::cluster_state state_;
  cluster_view view_;
  int64_t now_ = 0;
  int64_t next_arrival_ = 0;
  int64_t interference_ends_ = 0;
  int interfering_class_ = -1;
  uint64_t jobs_ = 0;
  std::array<std::array<double, kBatchClasses>, 2> pair_{};
  std::map<state::task_id, running_attempt> running_attempts_;
  std::map<std::string, std::vector<state::task_id>> by_vm_;
  std::map<std::string, double> needed_;
  std::vector<double> samples_;
  double done_ = 0;
  double lost_ = 0;
  double evacuation_done_ = 0;
  double evacuation_lost_ = 0;
  double evictions_ = 0;
};

}  // namespace chiveglade::sched

#endif  // CHIVEGLADE_BENCH_POLICY_MODEL_H_
