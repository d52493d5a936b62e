// Two schedulers, three VMs with agents and workers, a store and a network on
// one manual clock, with faults injected at a protocol step or at given times.
#ifndef CHIVEGLADE_TESTS_MATRIX_MATRIX_WORLD_H_
#define CHIVEGLADE_TESTS_MATRIX_MATRIX_WORLD_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/agent/agent_core.h"
#include "chiveglade/authority/scheduler.h"
#include "chiveglade/core/random.h"
#include "tests/agent/fake_worker.h"
#include "tests/support/memory_store.h"

namespace chiveglade::testing {

// Protocol steps at which a fault can be injected.
enum class matrix_step {
  kStart,
  kFirstHeartbeat,
  kSubmitted,
  kGrantAppend,
  kStartOrder,
  kStartCall,
  kRunningReported,
  kDataCentreOut,
  kStopOrder,
  kEndReported,
  kEndAcknowledged,
  kDataCentreReturn,
  kSnapshot,
  kNever,  // no fault
};
inline constexpr std::array kMatrixSteps = {
    "start",       "first_heartbeat", "submitted",        "grant_append",
    "start_order", "start_call",      "running_reported", "data_centre_out",
    "stop_order",  "end_reported",    "end_acknowledged", "data_centre_return",
    "snapshot"};

class matrix_world {
 public:
  explicit matrix_world(bool scored_planner, uint64_t seed = 20261204);

  // Injects a fault when the step is first reached. Each fault ends by itself.
  // Names are those of MatrixFaults().
  void Inject(const std::string& fault, matrix_step at);

  // Injects a fault at a time after the start of the run. May be called
  // repeatedly.
  void InjectAfter(const std::string& fault, millis time);

  // Submits the work, takes dc2 out of service, returns it, and runs until all
  // work is done.
  void Run();

  // The first violated invariant; empty if none.
  const std::string& problem() const { return problem_; }
  bool injected() const { return injected_; }
  // Number of attempts that ran, to check that the run was not idle.
  size_t starts() const { return started_.size(); }

 private:
  struct vm_process {
    std::string name;
    std::string data_centre;
    double clock_rate = 1.0;
    std::unique_ptr<agent::agent_core> core;
    std::unique_ptr<fake_worker> worker;
    uint64_t process = 1;
    boot_time next_heartbeat{};
    boot_time dead_until{};    // the whole VM is down
    boot_time frozen_until{};  // the agent process is suspended
    boot_time cut_off_until{};
    // Starts that CheckStart has seen.
    std::set<state::attempt_id> checked_starts;
  };
  struct message {
    boot_time at;
    uint64_t order = 0;
    std::function<void()> deliver;
  };
  friend struct matrix_faults_table;

  void AddEntry(const std::string& name);
  void StartAgent(vm_process& vm);
  void RestartVm(vm_process& vm);
  boot_time LocalTime(const vm_process& vm) const;
  void OnStepReached(matrix_step step);
  void TriggerFault(const std::string& fault);
  void Step();
  void RunScript();
  void TickEntries();
  void TickVm(vm_process& vm);
  void SendHeartbeats(vm_process& vm);
  void Deliver();
  void SendMessage(vm_process& vm, const std::function<void()>& deliver);
  void OnHeartbeatArrived(vm_process& vm,
                          const std::string& entry,
                          const state::heartbeat& heartbeat);
  void OnAnswer(vm_process& vm,
                uint64_t process,
                const state::heartbeat& heartbeat,
                const state::heartbeat_answer& answer);
  void Execute(vm_process& vm, const agent::worker_call& call);
  void FinishWork(vm_process& vm);
  void Check();
  void CheckStart(vm_process& vm, const state::attempt_id& attempt);
  void CheckFinalState();
  bool AllWorkDone();
  void ChangeDataCentre(bool out);
  void Fail(const std::string& what);
  authority::scheduler* holder();
  // Applies the fault to every store call, or to appends only, for `length`.
  void SetStoreFault(store_fault fault, bool commits_only, millis length);
  void At(boot_time when, std::function<void()> then);

  boot_time now_{millis(10'000'000)};
  boot_time run_start_ = now_;
  random_engine random_;
  bool use_scored_planner_;
  memory_store store_;
  config::manifest manifest_;
  std::map<std::string, std::unique_ptr<authority::scheduler>> entries_;
  std::map<std::string, boot_time> paused_until_;
  std::vector<std::unique_ptr<vm_process>> vms_;
  std::vector<message> network_;
  uint64_t message_order_ = 0;
  std::multimap<boot_time, std::function<void()>> timers_;

  std::string fault_;
  matrix_step fault_step_ = matrix_step::kNever;
  bool injected_ = false;
  bool commit_reached_ = false;
  // Ends of the network and worker faults.
  boot_time drop_messages_until_{}, drop_answers_until_{},
      delay_messages_until_{}, duplicate_until_{};
  boot_time drop_worker_answers_until_{}, worker_unreachable_until_{};

  int script_ = 0;
  std::optional<boot_time> out_since_;
  boot_time out_retry_{};
  uint64_t entry_number_ = 2;
  std::map<state::attempt_id, std::string> started_;  // attempt -> VM
  std::set<state::task_id> finished_;                 // finished at a worker
  bool vm_reports_lost_ = false;  // a fault may have lost a VM's reports
  std::string problem_;
};

// Returns the names of all faults.
std::vector<std::string> MatrixFaults();

}  // namespace chiveglade::testing

#endif  // CHIVEGLADE_TESTS_MATRIX_MATRIX_WORLD_H_
