// Internal state of the coordinator: jobs, VMs, and the runs of tasks on VMs.
#ifndef CHIVEGLADE_SRC_WORKFLOW_COORDINATOR_STATE_H_
#define CHIVEGLADE_SRC_WORKFLOW_COORDINATOR_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "chiveglade/workflow/coordinator.h"
#include "chiveglade/workflow/decaying_peak.h"
#include "chiveglade/workflow/job_order.h"
#include "chiveglade/workflow/latency_margin.h"
#include "chiveglade/workflow/replica_load.h"
#include "chiveglade/workflow/worker_health.h"

namespace chiveglade::workflow {

using log_fields = std::vector<std::pair<std::string, std::string>>;

// A run that holds its reservation on a VM until it is known to have ended.
struct hosted_run {
  const step_spec* step = nullptr;  // null if the job is not known
  int64_t worker_incarnation = 0;
  bool durable = false;   // the placement is committed
  bool started = false;   // was in the worker's list
  bool stopping = false;  // a stop was decided
  bool resumed = false;   // started from a checkpoint
  bool remote = false;    // outside the rack where it would be faster
  boot_time placed_at{};
  millis expected_run{0};  // as of its start; 0: unknown
  // When it was last not throttled below kSlowPacePercent.
  boot_time throttled_since{};
  boot_time move_considered_at{};   // last search for a faster VM
  boot_time last_order_at{};        // zero: an order must be sent
  boot_time last_progress_at{};     // moves on too while throttled
  uint32_t orders_sent = 0;         // starts and stops
  boot_time first_start_sent_at{};  // zero: none by this leader
  // By the VM's boot clock: when the report was made that the first start
  // answers, and when the last one expires.
  int64_t first_start_clock_ms = 0;
  int64_t starts_expire_ms = 0;
  bool known_to_runner = false;  // was in a report
  // As last reported; see run_status.
  uint32_t percent = 0;
  uint32_t pace = 100;
  int32_t load = -1;
  std::string checkpoint;
  // For a serving task, as a latency ratio, the recent peak of its step's own
  // load, and the headroom that best-effort tasks take by the model.
  double own_peak = 0;
  decaying_peak measured_peak;  // of this task alone, for steps with few tasks
  double impact = 0;
};

// Returns the tail latency of a serving task as a share of its target, or 0 if
// unknown.
double LatencyRatio(const hosted_run& serving);
// Returns the same for the recent peak of its own load.
double PeakLatencyRatio(const hosted_run& serving);

struct vm_state {
  std::string name;
  report last_report;  // without runs, ends and refusals
  boot_time last_report_at{};
  bool has_reported = false;
  // Until then runs on the VM may go on even if no report arrives.
  boot_time lease_expires_at{};
  std::map<run_key, hosted_run> runs;
  // Runs in the worker's list that should not be there, with the time of the
  // last order to stop.
  std::map<run_key, boot_time> unwanted_runs;
  uint64_t ends_applied = 0;  // highest end number applied
  uint64_t ends_batched = 0;  // the same, in the current batch
  uint64_t ends_durable = 0;  // the same, committed; may be acknowledged
  worker_health health;
  boot_time starts_paused_until{};  // pause after a refused start

  boot_time best_effort_ended_at{};  // last end of a best-effort run

  // Sums over `runs`.
  resources reserved;
  int64_t best_effort_millicores = 0;
  int64_t serving_millicores = 0;
  // When the first report of the runner's process was made, by the boot clock
  // of the VM.
  int64_t runner_since_ms = 0;
  // Last report that showed that the reply to the one before was received, or
  // that was the first of the runner's process or after a silence.
  boot_time reply_received_at{};
  bool silence_excused = false;  // no reply was received since that silence
  // First call with orders that failed since the last one that was answered;
  // zero: none.
  boot_time orders_failing_since{};
  boot_time learned_at{};      // when `sample` was taken
  interference_sample sample;  // last sample that the model learned from
  // The runner may lack weights that it needs, and those it was sent last.
  bool weights_due = false;
  std::vector<pair_weight> weights_sent;

  vm_load load;  // cached input of placement, computed at `load_at`
  boot_time load_at{};
  bool load_stale = true;  // `load` must be recomputed
};

// VMs of one rack that accept starts, grouped by what they can hold.
struct rack_vms {
  struct shape {
    resources capacity;
    std::vector<std::string> labels;
    uint32_t count = 0;
  };
  std::vector<shape> shapes;
};

// The wait of the tasks of a step that have not started.
struct step_wait {
  boot_time since{};             // zero: they have not waited
  const char* kind = "";         // see coordinator_options::wait_ended
  std::string rack;              // that they wait for; empty for "speed"
  millis gain{0};                // expected at the last decision to wait
  bool over = false;             // they wait no more
  bool lost = false;             // because the place cannot become available
  bool takes_any_speed = false;  // no fast VM is expected in time
  boot_time running_end{};       // expected end of the tasks that were started
  boot_time reported_at{};       // last report of what limits the step
};

// A step of a job: its id, the occurrence and the step.
using step_key = std::tuple<std::string, uint32_t, uint32_t>;

// Data kept for the duration of one placement pass over the active jobs.
struct placement_pass {
  boot_time now{};
  int64_t now_unix_ms = 0;
  // VMs that accept starts, by service.
  std::map<std::string, std::vector<vm_state*>> vms;
  // Steps that fit on no VM. Free capacity only shrinks during a pass, so a
  // step with the same or a higher demand does not fit either.
  struct refused_step {
    std::string service;
    const step_spec* step = nullptr;
    latency_basis basis = latency_basis::kNow;
  };
  std::vector<refused_step> steps_without_room;
  // Steps that wait because their preferred rack has no room, with the number
  // of their tasks that there was room for elsewhere.
  struct waiting_step {
    refused_step refused;
    size_t places = 0;
  };
  std::vector<waiting_step> waiting_steps;
  // Racks with VMs that accept starts, by service and name, and the demand of
  // the tasks that wait for them; "" stands for all racks of a service.
  std::map<std::string, std::map<std::string, rack_vms>> racks;
  std::map<placement_forecast::rack_key, resources> waiting_demand;
  // Expected ends by service and rack.
  std::map<std::string, std::map<std::string, expected_ends>> ends;
};

struct job_state {
  std::string id;
  submission in;
  uint64_t bytes = 0;  // held for it; see JobBytes
  job_record record;
  // The phase in the current batch and the durable one. `record` has the one
  // that was decided.
  job_phase visible_phase = job_phase::kQueued;
  job_phase batched_phase = job_phase::kQueued;
  uint32_t attempts = 1;
  uint32_t priority = 0;
  std::string service;
  bool needs_tickets = false;
  boot_time accepted_at{};
  boot_time objective{};  // deadline for completion
  // Place among the jobs, as of the last pass.
  job_rank rank;
  remaining_work left;
  bool left_stale = true;  // `left` must be recomputed
  boot_time ended_at{};
  std::set<uint32_t> dirty_rows;     // rows of progress to write
  std::vector<uint32_t> batch_rows;  // those in the current batch
  int64_t ended_unix_ms = 0;
  // A task of it is known to have begun. Unlike `record.phase`, which changes
  // with the first placement, it is not durable: a job whose stored progress
  // does not show it counts as one that has not begun.
  bool begun = false;
  uint32_t live_runs = 0;  // of all its tasks
  boot_time idle_since{};  // while there are none
  // When a worker last listed a run of it, or no task could run.
  boot_time listed_at{};
  // Number of done tasks by occurrence and step.
  std::vector<std::vector<uint32_t>> done_task_counts;
  std::vector<boot_time> retry_at;  // by step: earliest next start
  // By occurrence and step; see coordinator_waiting.cc.
  std::map<std::pair<uint32_t, uint32_t>, step_wait> waits;
  boot_time idle_wait_since{};      // first wait since nothing runs; zero: none
  std::vector<millis> paths_after;  // see PathsAfter; empty: not computed
  // By task: share of the work that its last run with a checkpoint had done.
  std::map<task_key, uint32_t> percent_done;
};

// A run and the VM that it is placed on.
struct placed_key {
  std::string vm;
  run_key run;
};

// A job without rows among the live ones.
struct ended_view {
  job_phase phase = job_phase::kCompleted;
  boot_time ended_at{};
};

struct coordinator::state {
  coordinator_options options;
  catalogue current_catalogue;
  bool has_catalogue = false;
  std::set<std::string> out_of_service;
  boot_time informed_as_of = boot_time::max();
  std::map<std::string, std::unique_ptr<job_state>> jobs;
  std::set<std::string> active;  // ids of jobs without a final phase
  // Sums of job_state::bytes, in all and by queue.
  uint64_t job_bytes = 0;
  uint64_t run_count = 0;  // of vm_state::runs, over all VMs
  std::map<std::string, uint64_t> job_bytes_by_queue;
  std::map<std::string, ended_view> ended;
  // Keys of `ended` by the time of their end.
  std::set<std::pair<boot_time, std::string>> ended_by_time;
  // Active jobs in the order of placement.
  std::vector<job_state*> placement_order;
  bool placement_order_stale = true;
  bool placement_due = true;  // state changed since the last pass
  boot_time placed_at{};      // time of the last pass
  int64_t placed_unix_ms = 0;
  boot_time runs_checked_at{};     // last check for hung runs
  boot_time idle_checked_at{};     // last check for idle jobs
  std::set<std::string> dirty;     // ids of jobs with progress to write
  std::vector<std::string> batch;  // ids of the jobs in the current batch
  // Rows of progress to delete, and those that the current batch deletes.
  std::set<progress_key> leftover_progress;
  std::vector<progress_key> batch_deletes;
  // Jobs that can be moved to the ended ones, in the order of their end.
  std::deque<std::string> archivable;
  // Placements that are not durable: by job those to write, and those in the
  // current batch.
  std::map<std::string, std::vector<placed_key>> unwritten_runs;
  std::vector<placed_key> batch_runs;
  // VMs with applied ends that are not durable.
  std::set<std::string> vms_with_new_ends;
  int64_t unix_ms = 0;     // as of the last Tick
  bool restoring = false;  // stored progress is loaded; log no job ends
  std::map<std::string, vm_state> vms;
  boot_time first_report_at{};                   // zero: none yet
  std::map<std::string, resources> largest_vms;  // by service
  std::set<std::string> vms_with_orders;         // VMs with orders to send
  // VMs whose starts wait until what is known is recent again.
  std::set<std::string> vms_with_held_starts;
  interference_model interference;
  // Of the serving steps with tasks on VMs.
  std::map<step_key, replica_load> replica_loads;
  latency_margin margin;  // used if options.adaptive_latency_margin
  placement_forecast forecast;
  coordinator_counters counters;

  void Log(const char* event, const log_fields& fields) const;

  // Jobs.
  job_state* FindJob(const std::string& id);
  task_record* FindTask(job_state& job, const task_key& task);
  const step_spec& StepOf(const job_state& job, const task_key& task) const;
  void ApplyPolicy(job_state& job) const;
  // A task of the job is known to have begun; logged the first time.
  void NoteBegun(job_state& job, const char* why, const std::string& vm) const;
  // Marks a row of the job's progress as one to write.
  void MarkDirty(job_state& job, uint32_t row);
  // Adds the rows of a job to the batch unless they would make it too large.
  bool AddToBatch(job_state& job, std::vector<batch_row>& batch, size_t& bytes);
  void FinishJob(job_state& job, job_phase phase, boot_time now);
  void StopJob(job_state& job, boot_time now);
  void FinishIfComplete(job_state& job, boot_time now);
  // Returns true if a run of the job is not known to have ended.
  static bool HasLiveRuns(const job_state& job);
  // Lets the job be moved to the ended ones if nothing of it can change.
  void ArchiveIfOver(job_state& job);
  void AddEnded(const std::string& id, const ended_view& view);
  void AddJobBytes(const job_state& job);
  void RemoveJobBytes(const job_state& job);

  // Runs.
  void AddRun(vm_state& vm, const run_key& run, hosted_run hosted);
  void RemoveRun(vm_state& vm, std::map<run_key, hosted_run>::iterator at);
  void EndRun(vm_state& vm,
              const run_key& run,
              run_result how,
              const std::string& checkpoint,
              boot_time now);
  // A run that was taken for ended is listed as done. Its end is acknowledged,
  // so its task must not start again.
  void OnLateDone(const vm_state& vm, const run_key& run, boot_time now);
  // Stores the checkpoint of a run that has ended, unless its task needs none
  // or it is too long.
  void KeepCheckpoint(const std::string& checkpoint,
                      const run_key& run,
                      task_record& task) const;
  // Gives all members of a gang that have no run one checkpoint, as they must
  // restart with the same one: that of `member` if it is the newest, else one
  // of the others. Members with a run keep what it was started with, in case
  // its order is sent again.
  void ShareGangCheckpoint(job_state& job,
                           const task_key& member,
                           bool is_newest);
  void OnTaskDone(job_state& job,
                  task_record& task,
                  const run_key& run,
                  boot_time now);
  void OnTaskFailed(job_state& job,
                    task_record& task,
                    const run_key& run,
                    boot_time now);
  void StopTask(const task_record& task, const task_key& key, boot_time now);
  // Returns true if a run of the task is at work, as far as reports show. Not
  // if the runner has no recent lists of its worker, which may be lost.
  bool IsAtWork(const task_record& task,
                const task_key& key,
                boot_time now) const;
  // Returns true if the disruption budget of the task's step allows the task to
  // be stopped now. To be asked before each stop that is not needed for the
  // task itself or its job to end.
  bool MayDisrupt(job_state& job, const task_key& task, boot_time now) const;
  void StopRun(const std::string& vm, const run_key& run, boot_time now);
  void EndRunsBefore(vm_state& vm,
                     int64_t incarnation,
                     const char* why,
                     boot_time now);

  // VMs.
  void LearnSize(const report& in, boot_time now);
  bool IsStale(const vm_state& vm, const report& in, boot_time now) const;
  void ApplyEnds(vm_state& vm, const report& in, boot_time now);
  // Counts the runs that a report lists as runs of the worker's incarnation
  // that it names, whichever one they were started for.
  static void MoveRuns(vm_state& vm, const report& in);
  void ApplyRuns(vm_state& vm, const report& in, boot_time now);
  // Sends orders again that runs in no list may lack, and ends the runs that
  // cannot start any more.
  void SettleUnlistedRuns(vm_state& vm,
                          const report& in,
                          const std::set<run_key>& listed,
                          boot_time now);
  // Returns true if a run that a report does not list is not running and can
  // no longer start.
  bool CannotStart(const vm_state& vm,
                   const hosted_run& hosted,
                   const report& in,
                   boot_time now) const;
  void ExpireVms(boot_time now);
  void StopHungRuns(boot_time now);
  // Logs and counts the jobs with tasks that could run and nothing that a
  // worker lists.
  void ReportIdleJobs(boot_time now);
  // Returns a task of the job that could run; null if there is none.
  std::optional<task_key> FindReadyTask(const job_state& job,
                                        boot_time now) const;
  idle_reason WhyIdle(const task_record& task,
                      const task_key& key,
                      boot_time now) const;
  // Returns the headroom that the best-effort tasks of a VM take of serving
  // tasks of this image, by the model.
  double BestEffortImpact(const vm_state& vm,
                          const std::string& serving_image) const;
  void UpdateOwnLoads(vm_state& vm, boot_time now);
  own_load_condition OwnLoadCondition(const vm_state& vm, boot_time now) const;
  // Returns the own loads of the serving tasks on a VM, where they are known.
  std::map<run_key, double> OwnLoadsOn(const vm_state& vm) const;
  void UpdateInterference(vm_state& vm, boot_time now);
  // Returns the learned weights that matter on a VM.
  std::vector<pair_weight> WeightsOn(const vm_state& vm) const;
  bool AcceptsStarts(const vm_state& vm, boot_time now) const;
  // Returns true if a recent report shows that the runner receives the replies
  // to its reports, and so its grants.
  bool ReceivesReplies(const vm_state& vm, boot_time now) const;
  // Returns a message to a VM without orders.
  addressed_orders MakeOrders(const vm_state& vm) const;
  start_order MakeStart(const run_key& run, const step_spec& step);
  // Appends the messages with the orders that a VM is to get now; at least one,
  // which acknowledges ends, and at most `max_messages`.
  void AppendOrders(vm_state& vm,
                    boot_time now,
                    size_t max_messages,
                    std::vector<addressed_orders>& out);
  // Whether what is known is recent enough to start tasks by it.
  bool IsInformed(boot_time now) const {
    return now - informed_as_of <= options.max_information_age;
  }

  // Placing.
  void Place(boot_time now, int64_t now_unix_ms);
  // Sorts by RankJob.
  void SortJobs(boot_time now);
  void PlaceJob(job_state& job, placement_pass& pass);
  // Returns true if no task of the job runs although it has waited for a fast
  // VM for long enough.
  bool HasWaitedForSpeed(const job_state& job,
                         uint32_t occurrence,
                         uint32_t step,
                         boot_time now) const;
  bool StepIsReady(const job_state& job, size_t occurrence, size_t step) const;
  void PlaceStep(job_state& job,
                 uint32_t occurrence,
                 uint32_t step,
                 placement_pass& pass);
  // Logs what keeps the VMs from taking a best-effort step, at most once per
  // kWaitReportInterval and step.
  void ReportLimits(job_state& job,
                    uint32_t occurrence,
                    uint32_t step,
                    const placement_options& limits,
                    placement_pass& pass);
  // Refreshes the cached loads of VMs for the placement of a step.
  void UpdateLoads(const std::vector<vm_state*>& candidates,
                   const job_state& job,
                   uint32_t occurrence,
                   uint32_t step,
                   boot_time now);
  // Stops at most one best-effort run that has been throttled for long, if its
  // task would run faster on another VM.
  void MoveThrottledRun(boot_time now);
  bool HasFasterVm(job_state& job,
                   const task_key& task,
                   const vm_state& than,
                   boot_time now);
  void PlaceGang(job_state& job,
                 uint32_t occurrence,
                 uint32_t step,
                 placement_pass& pass);
  // Returns AvailableVms(service), computed once per pass.
  const std::vector<vm_state*>& CachedAvailableVms(placement_pass& pass,
                                                   const std::string& service);
  // Returns the VMs of a service that accept starts.
  std::vector<vm_state*> AvailableVms(const std::string& service,
                                      boot_time now);
  // Returns the images of the serving tasks on a VM.
  std::vector<std::string> ServingImages(const vm_state& vm) const;
  // Computes the load of a VM, except `same_step`, which depends on the step to
  // be placed.
  vm_load ComputeLoad(const vm_state& vm, boot_time now) const;
  void Start(job_state& job,
             const task_key& key,
             uint32_t run,
             vm_state& vm,
             bool remote,
             boot_time now);

  // Waits for a better place.
  bool MayWaitForRack(const step_spec& step) const;
  bool MayWaitForGangRack(const step_spec& step) const;
  // Returns an earlier step of this pass with the same or a lower demand that
  // waits for the same rack, so that there is no room in it; null if none.
  static const placement_pass::waiting_step* FindWaiting(
      const placement_pass& pass,
      const std::string& service,
      const step_spec& step);
  // Returns how many tasks of a step the VMs of a pass have room for.
  uint64_t FreePlaces(placement_pass& pass,
                      const std::string& service,
                      const step_spec& step);
  // Returns true if the tasks of a step that could start outside their
  // preferred rack wait for it. There is room for `places` of them elsewhere.
  bool WaitsForRack(job_state& job,
                    uint32_t occurrence,
                    uint32_t step,
                    uint64_t places,
                    placement_pass& pass);
  // Counts the tasks of a step without room anywhere as waiting.
  void CountWaiting(const job_state& job,
                    uint32_t occurrence,
                    uint32_t step,
                    placement_pass& pass);
  // Returns true if a gang that could start on several racks waits for one.
  // `placed_by_rack` says how many members each rack has room for.
  bool WaitsForGangRack(job_state& job,
                        uint32_t occurrence,
                        uint32_t step,
                        const std::map<std::string, size_t>& placed_by_rack,
                        placement_pass& pass);
  // Called if no VM is fast enough for a step. Ends its wait for a fast one if
  // none is expected within the rest of it.
  void ConsiderAnySpeed(job_state& job,
                        uint32_t occurrence,
                        uint32_t step,
                        const placement_options& limits,
                        placement_pass& pass);
  // All tasks of the step have been started; the next wait starts anew.
  void ClearWait(job_state& job, uint32_t occurrence, uint32_t step);
  // Accounts for the start of a task, before its run is added. Sets the
  // expected time of the run and returns the log fields about the wait.
  log_fields EndWait(job_state& job,
                     const task_key& key,
                     bool remote,
                     boot_time now,
                     hosted_run& run);
  // Learns from the end of a run, before it is removed.
  void LearnFromEnd(const vm_state& vm,
                    const run_key& run,
                    const hosted_run& hosted,
                    run_result how,
                    boot_time now);
  // Returns the question about the pending tasks of a step, without the place
  // that they wait for.
  wait_question MakeWaitQuestion(job_state& job,
                                 uint32_t occurrence,
                                 uint32_t step,
                                 boot_time now);
  // Decides about a wait and keeps its state. Returns true for a wait.
  bool Waits(job_state& job,
             uint32_t occurrence,
             uint32_t step,
             const wait_question& question,
             const char* kind,
             const std::string& rack,
             boot_time now);
  // Returns the expected time until `need` and the demand of the tasks that
  // wait already have become free in a rack.
  std::optional<millis> ExpectedWait(placement_pass& pass,
                                     const placement_forecast::rack_key& rack,
                                     const resources& need);
  // Returns the expected ends in the racks of a service, computed once per
  // pass.
  std::map<std::string, expected_ends>& CachedEnds(placement_pass& pass,
                                                   const std::string& service);
  // Returns the racks of a service, computed once per pass, and passes their
  // VMs to the forecast.
  const std::map<std::string, rack_vms>& CachedRacks(
      placement_pass& pass,
      const std::string& service);
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_SRC_WORKFLOW_COORDINATOR_STATE_H_
