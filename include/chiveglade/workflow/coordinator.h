// Decides which task runs where. Pure: time is passed in, nothing is sent.
#ifndef CHIVEGLADE_WORKFLOW_COORDINATOR_H_
#define CHIVEGLADE_WORKFLOW_COORDINATOR_H_

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
#include "chiveglade/workflow/job_record.h"
#include "chiveglade/workflow/message.h"
#include "chiveglade/workflow/placement.h"

namespace chiveglade::workflow {

struct coordinator_options {
  uint64_t epoch = 0;   // of this holder; also the fencing token of its orders
  std::string address;  // where it takes reports
  // How long a runner may keep its worker's tasks running after a report that
  // was answered. Longer than the usual outage of the store, since work is lost
  // beyond it; a silent VM's tasks wait as long before they run again.
  millis lease_duration{7'000};
  // A VM that has not reported for this long gets no new tasks: two reports
  // missed and some.
  millis report_timeout{1'300};
  // An order is sent again if a report does not show its effect this long after
  // it was sent; several round trips between data centres.
  millis order_resend_timeout{350};
  // A task without progress for this long is stopped and run elsewhere. Above
  // two reports, so that a coarse percentage is not taken for a hang.
  millis progress_timeout{2'500};
  // How long a job that has missed its objective lets others pass. Longer than
  // a burst of a few seconds takes to drain.
  millis late_job_yield_duration{15'000};
  // How long the state of an ended job can be asked for.
  millis ended_job_retention{150'000};
  placement_options placement;
  // One line for each decision: event and key-value pairs.
  std::function<void(const char* event,
                     const std::vector<std::pair<std::string, std::string>>&)>
      log;
};

// The state of a job as a caller may see it: never ahead of what is durable.
struct job_view {
  job_phase phase = job_phase::kQueued;
  friend bool operator==(const job_view&, const job_view&) = default;
};

// Counters for metrics.
struct coordinator_counters {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t interrupted = 0;  // ended otherwise, such as by a lease that ran out
  uint64_t refused = 0;      // starts that a worker refused
  uint64_t hung = 0;
  uint64_t resent = 0;
  uint64_t vms_scored = 0;  // the work of placing: scores of a VM for a step
};

// The state of one holder of the role. It learns jobs from what is stored, VMs
// from their runners' reports, and decides. What it decides becomes durable by
// batches: TakeBatch gives the rows to write, and orders and acknowledgements
// follow only once OnCommitted says that they were written. Single thread.
class coordinator {
 public:
  explicit coordinator(coordinator_options options);
  ~coordinator();

  void SetCatalogue(const catalogue& in);
  // Data centres out of service: nothing starts there.
  void SetOutOfService(std::set<std::string> data_centres);

  // A stored job, with its progress if there is any. Jobs already known are
  // left as they are.
  void AddJob(const std::string& id,
              const submission& in,
              const std::optional<job_record>& progress,
              boot_time now,
              int64_t now_unix_ms);
  void CancelJob(const std::string& id, boot_time now);

  // Applies a report and gives the answer to it. `confirmed` is when the last
  // write that is known to have been committed was sent: a grant never reaches
  // further than from there.
  report_answer OnReport(const report& in,
                         boot_time now,
                         boot_time last_commit_sent_at);

  // Ends runs on VMs whose grants have run out, finds hung runs, and places
  // what can start. To be called when a batch can be written, so that tasks are
  // placed by the newest reports.
  void Tick(boot_time now, int64_t now_unix_ms);

  // Progress of jobs that is not durable yet: job and encoded record, none for
  // a job to be forgotten. Empty if there is nothing to write. The batch must
  // be ended by OnCommitted or OnNotCommitted before the next.
  struct batch_row {
    std::string job;
    std::optional<std::string> record;
  };
  std::vector<batch_row> TakeBatch(boot_time now);
  void OnCommitted(boot_time now);
  void OnNotCommitted();

  // Orders to be sent now, by address of the runner.
  struct addressed_orders {
    std::string vm;
    std::string address;
    orders message;
  };
  std::vector<addressed_orders> TakeOrders(boot_time now);
  // The orders did not reach the runner; they are sent again after its next
  // report.
  void OnOrdersNotDelivered(const std::string& vm);

  // Nothing if the job is not known.
  std::optional<job_view> FindJobView(const std::string& id) const;
  // Jobs of a queue that no task has started of.
  size_t PendingJobCount(const std::string& queue) const;
  bool HasUncommitted() const;
  size_t job_count() const;
  size_t vm_count() const;
  const coordinator_counters& counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_COORDINATOR_H_
