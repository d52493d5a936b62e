// Measures decisions per second and the latency of one decision at several
// cluster sizes. Prints one row per size and load. The processor times cover
// Observe and Plan only. The first argument limits the run to one size.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "chiveglade/sched/planner.h"

namespace chiveglade::sched {
namespace {

constexpr uint32_t kWorkspaces = 360;
constexpr uint32_t kTasksPerVm = 18;
constexpr uint32_t kClasses = 12;

// Returns the processor time of this thread in seconds. Wall time would include
// other programs on a busy machine.
double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share *
                                    static_cast<double>(values.size() - 1))];
}

config::manifest Manifest() {
  config::manifest manifest;
  for (uint32_t i = 0; i < kWorkspaces; ++i) {
    manifest.tenants.push_back(
        {"tenant-" + std::to_string(i), {100'000'000, 1'000'000'000, 100'000}});
  }
  for (uint32_t i = 0; i < kClasses; ++i) {
    manifest.classes.push_back({.name = "class-" + std::to_string(i),
                                .latency_critical = i < 2,
                                .slowdown_limit_pct = 150});
  }
  return manifest;
}

// A cluster with 18 tasks per VM, of which 3 are latency-critical.
class bench_cluster {
 public:
  explicit bench_cluster(uint32_t vms) : vms_(vms), random_(vms) {
    planner_options options;
    options.starts_per_second = 1'000'000;
    options.starts_per_vm_second = 10'000;
    planner_ = *planner::Make(options, [this] { return random_(); });
    planner_->SetManifest(Manifest());
    view_.now = boot_time(millis(1'000'000));
    for (uint32_t i = 0; i < vms; ++i) {
      Apply(state::vm_joined{{"worker-" + std::to_string(i), 1},
                             "dc" + std::to_string(i % 6),
                             "rack" + std::to_string(i / 18),
                             {32'000, 125'000, i % 2 ? 0 : 4}});
    }
    SubmitMany(vms * 3 / 4, 4, state::band::kService);
    Plan();
    SubmitMany(vms * (kTasksPerVm - 3) / 10, 10, state::band::kNormal);
    for (int i = 0; i < 4; ++i) {
      Plan();
      EndStoppingAttempts();
    }
  }

  size_t running() const { return running_batch_.size(); }
  const cluster_view& view() const { return view_; }

  // Ends `ends` random batch tasks and submits as many of one task each.
  void ReplaceTasks(uint32_t ends) {
    for (uint32_t i = 0; i < ends && !running_batch_.empty(); ++i) {
      const auto at = random_() % running_batch_.size();
      state::attempt_ended end;
      end.attempt = running_batch_[at];
      running_batch_[at] = running_batch_.back();
      running_batch_.pop_back();
      const auto* task = state_.FindTask(end.attempt.task);
      const auto vm = task->vm.name;
      planner_->ObserveEnd(end, vm, state_.FindJob(end.attempt.task.job)->spec,
                           view_.now);
      Apply(end);
    }
    SubmitMany(ends, 1, state::band::kNormal);
  }
  // Submits tasks that need more room than any VM has left.
  void SubmitBacklog(uint32_t jobs) {
    SubmitMany(jobs, 4, state::band::kNormal, {30'000, 100'000, 0});
  }
  // Reports of a tenth of the VMs, as with a heartbeat per second and ten plans
  // per second. Returns the processor time of Observe in seconds.
  double Report() {
    std::vector<state::heartbeat> heartbeats;
    for (uint32_t i = turn_++ % 10; i < vms_; i += 10) {
      heartbeats.push_back(MakeHeartbeat("worker-" + std::to_string(i)));
    }
    const double start = CpuSeconds();
    for (const auto& heartbeat : heartbeats) {
      planner_->Observe(heartbeat, view_.now);
    }
    return CpuSeconds() - start;
  }
  // Plans and applies the events. Returns the processor time of Plan in seconds
  // and the number of decisions.
  std::pair<double, size_t> Plan() {
    view_.now += millis(100);
    const double start = CpuSeconds();
    const auto made = planner_->Plan(state_, view_);
    const double passed = CpuSeconds() - start;
    for (const auto& change : made.events) {
      Apply(change);
      if (const auto* grant = std::get_if<state::attempt_granted>(&change)) {
        Apply(state::attempt_running{grant->attempt});
        if (grant->attempt.task.job[0] == 'b') {
          running_batch_.push_back(grant->attempt);
        }
      }
    }
    return {passed, made.events.size()};
  }
  void EndStoppingAttempts() {
    for (auto it = running_batch_.begin(); it != running_batch_.end();) {
      if (state_.FindTask(it->task)->phase == state::task_phase::kStopping) {
        state::attempt_ended end;
        end.attempt = *it;
        end.how = state::attempt_end::kStopped;
        Apply(end);
        it = running_batch_.erase(it);
      } else {
        ++it;
      }
    }
  }

 private:
  void Apply(const state::event& change) {
    if (const auto outcome = state_.Apply(change); !outcome) {
      std::fprintf(stderr, "refused: %s\n",
                   outcome.last_reason().detail.c_str());
      std::abort();
    }
  }
  void SubmitMany(uint32_t jobs,
                  uint32_t tasks,
                  state::band priority,
                  resources per_task = {1'500, 5'000, 0}) {
    for (uint32_t i = 0; i < jobs; ++i) {
      const bool service = priority == state::band::kService;
      state::job_spec spec;
      spec.name = (service ? "service:" : "batch-") + std::to_string(jobs_++);
      spec.tenant = "tenant-" + std::to_string(random_() % kWorkspaces);
      spec.klass = "class-" +
                   std::to_string(service ? random_() % 2 : 2 + random_() % 10);
      spec.priority = priority;
      spec.tasks = tasks;
      spec.per_task = per_task;
      spec.expected_run = millis(40'000);
      spec.max_per_vm = service ? 1 : 0;
      Apply(state::job_submitted{spec});
    }
  }
  state::heartbeat MakeHeartbeat(const std::string& name) {
    state::heartbeat heartbeat;
    const auto* vm = state_.FindVm(name);
    heartbeat.vm = vm->id;
    for (const auto& id : vm->tasks) {
      const auto* job = state_.FindJob(id.job);
      state::attempt_report report;
      report.attempt = {id, job->tasks[id.index].attempt};
      report.used = job->spec.per_task;
      report.work_done = millis(1'000);
      report.slowdown_pct = 100 + static_cast<uint32_t>(random_() % 5);
      heartbeat.attempts.push_back(report);
    }
    return heartbeat;
  }

  uint32_t vms_;
  random_engine random_;
  std::unique_ptr<planner> planner_;
  state::cluster_state state_;
  cluster_view view_;
  std::vector<state::attempt_id> running_batch_;
  uint64_t jobs_ = 0;
  uint32_t turn_ = 0;
};

void Measure(const char* load,
             bench_cluster& cluster,
             uint32_t vms,
             uint32_t per_plan,
             int plans) {
  double total = 0;
  size_t decisions = 0;
  std::vector<double> per_decision_us;
  std::vector<double> per_plan_us;
  for (int i = 0; i < plans; ++i) {
    cluster.ReplaceTasks(per_plan);
    total += cluster.Report();
    const auto [passed, made] = cluster.Plan();
    total += passed;
    decisions += made;
    per_plan_us.push_back(passed * 1e6);
    per_decision_us.push_back(passed * 1e6 /
                              static_cast<double>(std::max<size_t>(1, made)));
  }
  std::printf("%7u %8zu  %-22s %4u %12.0f %13.1f %13.1f %13.1f\n", vms,
              cluster.running(), load, per_plan,
              static_cast<double>(decisions) / total,
              Percentile(per_decision_us, 0.99), Percentile(per_plan_us, 0.50),
              Percentile(per_plan_us, 0.99));
}

}  // namespace
}  // namespace chiveglade::sched

int main(int argc, char** argv) {
  const uint32_t only =
      argc > 1 ? static_cast<uint32_t>(std::strtoul(argv[1], nullptr, 10)) : 0;
  using chiveglade::sched::bench_cluster;
  std::printf(
      "workers    batch  load                   per plan  decisions/s  "
      "p99 us/decision  p50 us/plan   p99 us/plan\n");
  for (const uint32_t vms : {11U, 670U, 2'700U}) {
    if (only != 0 && only != vms) {
      continue;
    }
    const int plans = vms > 1'000 ? 150 : 500;
    const uint32_t peak = std::max(2U, vms * 28 / 670);
    bench_cluster cluster(vms);
    chiveglade::sched::Measure("steady peak", cluster, vms, peak, plans);
    chiveglade::sched::Measure("one decision a plan", cluster, vms, 1, plans);
    cluster.SubmitBacklog(vms);
    chiveglade::sched::Measure("peak with backlog", cluster, vms, peak, plans);
  }
  return 0;
}
