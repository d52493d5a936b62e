// Decides whether tasks that could start now wait for a place where they run
// faster: in the rack of their data, on one rack with the rest of their gang,
// or on a VM where a best-effort task is not throttled. Does no I/O; the caller
// passes in the time. See docs/design/placement-wait.md.
#ifndef CHIVEGLADE_WORKFLOW_PLACEMENT_WAIT_H_
#define CHIVEGLADE_WORKFLOW_PLACEMENT_WAIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/resources.h"
#include "chiveglade/workflow/job.h"

namespace chiveglade::workflow {

// Longest wait of a task for one run; a takeover in between can double it.
// Tasks that run for 0.8 to 1.9 s and take 1.5 to 3 times as long elsewhere
// rarely gain more.
constexpr millis kMaxPlacementWait{2'000};
// Longest wait while nothing of the job runs. No job may have nothing running
// for 3 s while there is room for it; twice this leaves a second for a
// takeover.
constexpr millis kMaxIdleWait{1'000};
// A smaller expected gain is no reason to wait, because decisions are made
// this far apart.
constexpr millis kMinWaitGain{50};

// Expected run time of a task where it runs fastest.
struct run_time_forecast {
  millis expected{0};
  double error = 0;  // mean deviation as a share of `expected`, at most 1

  friend bool operator==(const run_time_forecast&,
                         const run_time_forecast&) = default;
};

// The situation of the tasks of a step that have not started.
struct wait_question {
  // How much longer a task takes if it starts now; 1 or less: no reason to
  // wait.
  double slowdown = 1;
  // Whether the place that the tasks wait for can become available.
  bool possible = true;
  // Time since the tasks could first have started.
  millis waited{0};
  // The part of it in which nothing of the job ran; null if something runs.
  std::optional<millis> idle_waited;
  // Until the last of the tasks has a place; null if unknown.
  std::optional<millis> expected_wait;
  // Until the last of the tasks has a place elsewhere; zero if all have one
  // now.
  millis elsewhere_wait{0};
  run_time_forecast run;
  // Until the tasks of the step that run already have ended.
  millis running_end{0};
  // Until the job's objective, less the work that follows this step.
  millis time_left{0};

  friend bool operator==(const wait_question&, const wait_question&) = default;
};

enum class wait_choice : uint8_t {
  kStart,  // start now; a later decision may differ
  kWait,   // wait, for `limit` at most
  kNever,  // start now and do not wait again
};

struct wait_decision {
  wait_choice choice = wait_choice::kStart;
  millis limit{0};  // longest further wait; 0 unless kWait
  millis gain{0};   // expected, in the end of the step

  friend bool operator==(const wait_decision&, const wait_decision&) = default;
};

// Compares the expected end of the step with all tasks started now to the one
// with waits. Waits only while the second is earlier and the expected wait is
// within the bounds: kMaxPlacementWait, kMaxIdleWait, and the time left to the
// objective. If the tasks could have met the objective when the wait began,
// starting them at the end of the wait still meets it.
wait_decision DecideWait(const wait_question& in);

// Returns, by step, the estimated time from the end of the step to the end of
// the longest chain of steps that depend on it.
std::vector<millis> PathsAfter(const job_spec& job);

// Returns the estimated run time of a task, or a default without an estimate.
millis EstimateOf(const step_spec& step);

// Expected ends of the runs in a rack.
class expected_ends {
 public:
  // A run with this demand is expected to end in `until`.
  void Add(millis until, const resources& demand);
  // Returns when `need` has been freed by ends; null if all ends free less.
  // Sorts the ends that were added since the last call.
  std::optional<millis> TimeUntil(const resources& need);

 private:
  struct end {
    millis until{0};
    resources freed;  // once sorted, by this end and all before it
  };

  std::vector<end> ends_;
  bool sorted_ = true;
};

// What is learned from the ends of runs. Soft state, bounded in size.
class placement_forecast {
 public:
  // Identifies the VMs of a service in a rack; the rack "" stands for all.
  using rack_key = std::pair<std::string, std::string>;

  // A run ended on a VM that accepts starts.
  void OnFreed(const rack_key& rack, const resources& demand, boot_time now);
  // Passes in how many VMs of a service accept starts, by rack. Forgets the
  // racks that have none, and the share of those that have fewer than before.
  void OnVms(const std::string& service,
             const std::map<std::string, uint32_t>& vms_by_rack,
             boot_time now);
  // Returns the expected time until `need` has become free, extended by the
  // error that follows from the number of ends seen. Null if too few were.
  std::optional<millis> ExpectedWait(const rack_key& rack,
                                     const resources& need,
                                     boot_time now) const;

  // A run of a task took `actual`, less what was lost by a slow place.
  void OnRunTime(const std::string& queue,
                 const std::string& image,
                 millis estimate,
                 millis actual);
  run_time_forecast RunTime(const std::string& queue,
                            const std::string& image,
                            millis estimate) const;

  size_t rack_count() const { return racks_.size(); }
  size_t run_time_count() const { return run_times_.size(); }

 private:
  // Sums that decay with time.
  struct rack_rate {
    double millicores = 0;
    double memory_mib = 0;
    double accelerators = 0;
    double ends = 0;
    boot_time updated_at{};
    boot_time since{};
    uint32_t vms = 0;

    void Scale(double by);
  };
  // Run time as a share of the estimate.
  struct run_time {
    double mean = 1;
    double deviation = 0;
    uint32_t count = 0;
    uint64_t used = 0;  // value of `uses_` at the last update
  };

  std::map<rack_key, rack_rate> racks_;
  std::map<std::pair<std::string, std::string>, run_time> run_times_;
  uint64_t uses_ = 0;
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_PLACEMENT_WAIT_H_
