// Scheduling state machine of the workflow module: decides which task runs on
// which VM. Does no I/O; the caller passes in the time and sends the messages.
#ifndef CHIVEGLADE_WORKFLOW_COORDINATOR_H_
#define CHIVEGLADE_WORKFLOW_COORDINATOR_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/workflow/catalogue.h"
#include "chiveglade/workflow/job_order.h"
#include "chiveglade/workflow/job_record.h"
#include "chiveglade/workflow/job_rows.h"
#include "chiveglade/workflow/message.h"
#include "chiveglade/workflow/placement.h"
#include "chiveglade/workflow/placement_wait.h"

namespace chiveglade::workflow {

struct coordinator_options {
  // Epoch of this leader; also the fencing token of its orders.
  uint64_t epoch = 0;
  std::string address;  // where runners send their reports
  // Lease on the runs of a VM: how long a runner may keep its worker's tasks
  // running after a report that was answered. Longer than the usual outage of
  // the store, because work is lost when the lease expires. Tasks of a VM that
  // stops reporting wait this long before they run again.
  millis lease_duration{7'000};
  // A VM that has not reported for this long gets no new tasks. Slightly more
  // than two missed reports.
  millis report_timeout{1'300};
  // An order is sent again if reports do not show its effect this long after it
  // was sent. Several round trips between data centres.
  millis order_resend_timeout{350};
  // A task without progress for this long counts as hung; it is stopped and run
  // again. More than two report intervals, so that a percentage that changes in
  // coarse steps is not mistaken for a hang.
  millis progress_timeout{2'500};
  job_order_policy job_order = job_order_policy::kObjective;
  // Interference of a pair of images of which nothing is known.
  double initial_interference = interference_model::kInitialWeight;
  // Learns up to which latency ratio best-effort tasks may be placed beside
  // serving tasks, instead of placement.max_latency_ratio.
  bool adaptive_latency_margin = false;
  // How long a job that has missed its objective yields to jobs of the same
  // priority that can still meet theirs. Longer than a burst of a few seconds
  // takes to drain.
  millis late_job_yield_duration{15'000};
  // How long a job of which nothing runs waits for a VM on which its
  // best-effort tasks would run fast. Then one of them starts where it can.
  millis best_effort_patience{1'000};
  // Nothing starts while a cancellation or a change of the operators' settings
  // this old may be unknown. A start follows its decision by kStartValidity at
  // most, so an evacuation holds within 4.5 s.
  millis max_information_age{2'500};
  // Time after the first report within which all VMs are heard that can be
  // reached: several report intervals and reconnects.
  millis vms_heard_after{10'000};
  // How long the state of an ended job is kept for queries.
  millis ended_job_retention{150'000};
  placement_options placement;
  // Runners also get learned weights without a start: when their process is new
  // and after ImportInterference().
  bool keep_interference = false;
  // How many times as long a task takes outside its preferred rack, or a gang
  // with `same_rack` on several. 1: no task waits for a rack.
  double remote_slowdown = 1;
  // Decides about waits; only called if `remote_slowdown` is above 1.
  std::function<wait_decision(const wait_question&)> decide_wait = &DecideWait;
  // Told when a task starts after a wait: what it waited for ("rack", "gang" or
  // "speed") and how that ended ("near", "elsewhere", or "lost" if the place
  // can no longer become available). Optional.
  std::function<void(const char* waited_for, const char* outcome, millis)>
      wait_ended;
  // Receives one structured log line, event and fields, for each decision.
  std::function<void(const char* event,
                     const std::vector<std::pair<std::string, std::string>>&)>
      log;
};

// The state of a job as shown to callers. Never ahead of the durable state.
struct job_view {
  job_phase phase = job_phase::kQueued;
  friend bool operator==(const job_view&, const job_view&) = default;
};

// Why no worker lists a run of a task that could run.
enum class idle_reason : uint8_t {
  kUninformed,   // what is known of jobs and operators is too old
  kNotPlaced,    // it waits for a VM
  kNotStored,    // its placement is not durable
  kUndelivered,  // the runner does not answer the calls with its order
  kUnconfirmed,  // reports do not show the effect of its order
  kNotStarted,   // the runner has its order
};
constexpr size_t kIdleReasons = 6;
const char* ToString(idle_reason in);

// Totals since this leader took over, for metrics.
struct coordinator_counters {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t interrupted = 0;  // ended otherwise, such as by lease expiry
  uint64_t refused = 0;      // starts that a runner or worker refused
  uint64_t hung = 0;
  uint64_t resent = 0;
  uint64_t vms_scored = 0;  // cost of placement: scores of a VM for a step
  // VMs without a place for a best-effort step that waits, by placement_limit;
  // counted once per kWaitReportInterval and step.
  std::array<uint64_t, 5> vms_refused{};
  // Jobs with a task that could run, of which no worker lists a run, by
  // idle_reason; as of the last check.
  std::array<uint64_t, kIdleReasons> jobs_idle{};
  // What is booked as the own load of serving tasks, by own_load_condition:
  // samples, and the sum of their latency ratios.
  std::array<uint64_t, 3> own_load_samples{};
  std::array<double, 3> own_load_sums{};
};

// Whether best-effort tasks can be behind a measurement of a serving task.
enum class own_load_condition : uint8_t {
  kAlone,     // none on the VM within kMeasuredPeriod
  kBeside,    // some run, none has ended within kMeasuredPeriod
  kAfterEnd,  // some ended within kMeasuredPeriod
};

// The scheduling state of one leader. Learns jobs from the store and VMs from
// the reports of their runners. Decisions are made durable in batches:
// TakeBatch returns the rows to write, and the orders and acknowledgements that
// depend on them are released only after OnCommitted. Not thread-safe.
class coordinator {
 public:
  explicit coordinator(coordinator_options options);
  ~coordinator();

  void SetCatalogue(const catalogue& in);
  // Sets the data centres that are out of service; nothing starts there.
  void SetOutOfService(std::set<std::string> data_centres);
  // Everything that callers and operators had changed before `as_of` has been
  // passed in. Without a call all is taken as known.
  void SetInformedAsOf(boot_time as_of);

  // Adds a stored job, with its stored progress if there is any, which has the
  // tasks of the job. Does nothing if the job is known.
  void AddJob(const std::string& id,
              const submission& in,
              const std::optional<job_record>& progress,
              boot_time now,
              int64_t now_unix_ms);
  void CancelJob(const std::string& id, boot_time now);
  // Adds a job that ended under an earlier leader, so that its row is deleted
  // after `ended_job_retention`.
  void AddEndedJob(const std::string& id,
                   const ended_job& in,
                   boot_time now,
                   int64_t now_unix_ms);

  // Applies a report and returns the answer to it. `last_commit_sent_at` is
  // when the latest write known to be committed was sent. The lease in the
  // answer counts from then, because this leader may have lost the role since.
  report_reply OnReport(const report& in,
                        boot_time now,
                        boot_time last_commit_sent_at);

  // Ends runs on VMs whose leases have expired, stops hung runs, and places
  // tasks that can start. Call it when a batch can be written, so that
  // placement uses the newest reports.
  void Tick(boot_time now, int64_t now_unix_ms);

  // A row of progress to write.
  struct batch_row {
    progress_key key;
    std::optional<std::string> record;  // encoded progress_row; null: delete
  };
  // Returns the progress of jobs that is not durable yet, all rows of a job
  // together; empty if there is nothing to write. End the batch with
  // OnCommitted or OnNotCommitted before taking the next one.
  std::vector<batch_row> TakeBatch(boot_time now);
  void OnCommitted(boot_time now);
  void OnNotCommitted();

  // Jobs whose end is durable and whose runs have all ended, to be moved to the
  // ended ones, and ended jobs that callers may no longer ask for, to be
  // deleted.
  struct ended_batch {
    std::map<std::string, ended_job> ends;
    std::vector<std::string> forgets;
    bool empty() const { return ends.empty() && forgets.empty(); }
  };
  // Returns the oldest and others whose rows are in the same part of the store,
  // at most `max_jobs`, either ends or forgets. They are returned again unless
  // OnEndedWritten follows.
  ended_batch TakeEnded(boot_time now, size_t max_jobs) const;
  void OnEndedWritten(const ended_batch& written);
  // Adds a row of progress whose job has ended under an earlier leader, so that
  // it is deleted.
  void AddLeftoverProgress(const progress_key& row);

  // A message to the runner of one VM.
  struct addressed_orders {
    std::string vm;
    std::string address;  // of the runner
    orders message;
  };
  // Returns the orders to send now.
  std::vector<addressed_orders> TakeOrders(boot_time now);
  // Reports that orders did not reach the runner. They are sent again after its
  // next report.
  void OnOrdersNotDelivered(const std::string& vm, boot_time now);
  // Reports that the runner has answered a call with orders.
  void OnOrdersDelivered(const std::string& vm);

  // What was learned of interference, for later coordinators.
  std::vector<learned_pair> ExportInterference(int64_t now_unix_ms) const;
  // Takes over what earlier coordinators have learned, where this one has not
  // learned more, and sends it to runners. Returns the number of pairs taken.
  size_t ImportInterference(const std::vector<learned_pair>& in,
                            int64_t now_unix_ms);
  // Number of pairs of images whose interference was learned.
  size_t known_pairs() const;

  // Returns null if the job is not known.
  std::optional<job_view> FindJobView(const std::string& id) const;
  // Returns how many jobs of the queue are not known to have begun: no run of
  // theirs was listed by a worker or has ended there. After a takeover some may
  // be counted that have.
  size_t PendingJobCount(const std::string& queue) const;
  bool HasUncommitted() const;
  size_t job_count() const;  // without ended jobs
  // Memory held for all jobs, with their runs and those that have ended, and
  // for the jobs of one queue, in bytes. See JobBytes.
  uint64_t held_bytes() const;
  uint64_t held_bytes(const std::string& queue) const;
  // Number of active jobs that yield to others, as of the last pass.
  size_t yielding_job_count() const;
  // Mean, over the images of serving tasks, of the latency ratio up to which
  // best-effort tasks are placed beside them.
  double mean_latency_limit() const;
  size_t vm_count() const;
  // Returns in each resource the most that a VM of the service has reported to
  // this leader; null before a VM has, and until `vms_heard_after` has passed
  // since the first report.
  std::optional<resources> LargestVm(const std::string& service,
                                     boot_time now) const;
  const coordinator_counters& counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_COORDINATOR_H_
