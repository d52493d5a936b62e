// What a coordinator knows: jobs, VMs, and the runs that tie them together.
#ifndef CHIVEGLADE_SRC_WORKFLOW_COORDINATOR_STATE_H_
#define CHIVEGLADE_SRC_WORKFLOW_COORDINATOR_STATE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/workflow/coordinator.h"
#include "chiveglade/workflow/worker_health.h"

namespace chiveglade::workflow {

using log_fields = std::vector<std::pair<std::string, std::string>>;

// A run that occupies a VM until it is known to have ended.
struct hosted_run {
  const step_spec* step = nullptr;  // of a known job; null for an unknown one
  int64_t worker_incarnation = 0;
  bool durable = false;  // its placement has been committed
  bool batched = false;  // its placement is in the batch being written
  bool started = false;  // seen in the worker's list
  bool stopping = false;
  boot_time placed_at{};
  boot_time slow_since{};  // throttled below the speed worth keeping
  boot_time sent_at{};     // newest order about it; zero: none yet
  boot_time moved_at{};    // when its progress last changed
  uint32_t percent = 0;
  uint32_t pace = 100;
  int32_t load = -1;
  std::string checkpoint;
};

// Tail latency of a serving task as a share of its target; 0 if not known.
double RatioOf(const hosted_run& serving);

struct vm_state {
  std::string name;
  report last;  // without its lists
  boot_time heard_at{};
  bool heard = false;
  // Until when something there may still run although nothing is heard.
  boot_time over_at{};
  std::map<run_key, hosted_run> runs;
  // Runs that are not wanted there, with the time of the last order to stop.
  std::map<run_key, boot_time> unwanted;
  uint64_t ends_applied = 0;  // highest end taken into the state
  uint64_t ends_batched = 0;  // the same in the batch being written
  uint64_t ends_durable = 0;  // may be acknowledged
  worker_health health;
  boot_time no_starts_until{};  // after a refusal

  // Sums over `runs`.
  resources reserved;
  int64_t filler_millicores = 0;
  int64_t serving_millicores = 0;
  boot_time learned_at{};      // when its measurements were last learned from
  interference_sample sample;  // as of then

  vm_load load;  // for placing, as of `load_at`
  boot_time load_at{};
  bool load_stale = true;  // something there has changed since
};

// What one pass over the waiting jobs has found out.
struct placing_pass {
  boot_time now{};
  int64_t now_unix_ms = 0;
  // VMs that take work, by service.
  std::map<std::string, std::vector<vm_state*>> vms;
  // Steps that had no room anywhere. Within a pass room only shrinks, so what
  // asks for as much has none either.
  struct refused_step {
    std::string service;
    const step_spec* step = nullptr;
  };
  std::vector<refused_step> without_room;
};

struct job_state {
  std::string id;
  submission in;
  job_record record;
  job_phase phase = job_phase::kQueued;    // as decided
  job_phase visible = job_phase::kQueued;  // as durable
  job_phase batched = job_phase::kQueued;  // in the batch being written
  uint32_t attempts = 1;
  uint32_t priority = 0;
  std::string service;
  bool needs_tickets = false;
  boot_time objective{};  // when it should be complete
  // It has missed its objective and lets others pass, as of the last pass.
  bool waits_its_turn = false;
  boot_time ended_at{};
  bool dirty = false;
  bool in_batch = false;
  bool has_record = false;  // a progress row exists
  // Tasks done, by occurrence and step.
  std::vector<std::vector<uint32_t>> done_counts;
  std::vector<boot_time> retry_at;  // by step: no start before
};

struct coordinator::state {
  coordinator_options options;
  catalogue queues;
  bool has_catalogue = false;
  std::set<std::string> out_of_service;
  std::map<std::string, std::unique_ptr<job_state>> jobs;
  std::set<std::string> active;  // jobs without a final phase
  // The same in the order in which they are placed.
  std::vector<job_state*> order;
  bool order_stale = true;
  bool placing_due = true;  // something has changed since the last pass
  boot_time placed_at{};    // when that was
  int64_t placed_unix_ms = 0;
  boot_time checked_at{};  // when runs were last looked at for hangs
  std::set<std::string> dirty;
  std::vector<std::string> batch;
  bool batch_is_whole = false;
  bool loading = false;  // stored progress is read: nothing is news
  std::map<std::string, vm_state> vms;
  std::set<std::string> with_orders;  // VMs that may have something to send
  interference_model interference;
  coordinator_counters counters;

  void Log(const char* event, const log_fields& fields) const;

  // Jobs.
  job_state* FindJob(const std::string& id);
  task_record* FindTask(job_state& job, const task_key& task);
  const step_spec& StepOf(const job_state& job, const task_key& task) const;
  void ApplyPolicy(job_state& job) const;
  void MarkDirty(job_state& job);
  void SetFinal(job_state& job, job_phase phase, boot_time now);
  void StopAll(job_state& job, boot_time now);
  void FinishIfComplete(job_state& job, boot_time now);
  void Forget(boot_time now);

  // Runs.
  void Host(vm_state& vm, const run_key& run, hosted_run hosted);
  void Unhost(vm_state& vm, std::map<run_key, hosted_run>::iterator at);
  void EndRun(vm_state& vm,
              const run_key& run,
              run_result how,
              const std::string& checkpoint,
              boot_time now);
  void OnTaskDone(job_state& job,
                  task_record& task,
                  const run_key& run,
                  boot_time now);
  void OnTaskFailed(job_state& job,
                    task_record& task,
                    const run_key& run,
                    boot_time now);
  void StopOthers(const task_record& task, const task_key& key, boot_time now);
  void StopRun(const std::string& vm, const run_key& run, boot_time now);
  void EndAllBefore(vm_state& vm, int64_t born, const char* why, boot_time now);

  // VMs.
  bool IsStale(const vm_state& vm, const report& in, boot_time now) const;
  void ApplyEnds(vm_state& vm, const report& in, boot_time now);
  void ApplyRuns(vm_state& vm, const report& in, boot_time now);
  void ExpireVms(boot_time now);
  void FindHung(boot_time now);
  void Learn(vm_state& vm, boot_time now);
  bool TakesWork(const vm_state& vm, boot_time now) const;

  // Placing.
  void Place(boot_time now, int64_t now_unix_ms);
  // In the order of priority; jobs that can still meet their objective first.
  void SortJobs(boot_time now);
  void PlaceJob(job_state& job, placing_pass& pass);
  bool StepIsReady(const job_state& job, size_t occurrence, size_t step) const;
  void PlaceStep(job_state& job,
                 uint32_t occurrence,
                 uint32_t step,
                 placing_pass& pass);
  // Brings the loads of VMs up to date for a step of a job.
  void UpdateLoads(const std::vector<vm_state*>& candidates,
                   const job_state& job,
                   uint32_t occurrence,
                   uint32_t step,
                   boot_time now);
  // Stops one filler that is throttled for long where it would be faster.
  void MoveThrottled(boot_time now);
  bool HasFasterVm(job_state& job,
                   const task_key& task,
                   const vm_state& than,
                   boot_time now);
  void PlaceGang(job_state& job,
                 uint32_t occurrence,
                 uint32_t step,
                 placing_pass& pass);
  // The same, looked up once in a pass.
  const std::vector<vm_state*>& CandidatesIn(placing_pass& pass,
                                             const std::string& service);
  // VMs of a service that take work.
  std::vector<vm_state*> Candidates(const std::string& service, boot_time now);
  // Images of the serving tasks on a VM.
  std::vector<std::string> ServingOn(const vm_state& vm) const;
  // Without what depends on the step to be placed.
  vm_load LoadOf(const vm_state& vm, boot_time now) const;
  void Start(job_state& job,
             const task_key& key,
             uint32_t run,
             vm_state& vm,
             boot_time now);
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_SRC_WORKFLOW_COORDINATOR_STATE_H_
