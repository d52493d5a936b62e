// Decisions of the agent: admission, grants, leases, stops and end reports.
#ifndef CHIVEGLADE_AGENT_AGENT_CORE_H_
#define CHIVEGLADE_AGENT_AGENT_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/agent/worker_call.h"
#include "chiveglade/agent/worker_task.h"
#include "chiveglade/config/manifest.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::agent {

class ledger;
struct attempt_record;

struct agent_options {
  std::string vm;
  std::string data_centre;
  std::string rack;
  std::string address;  // where entries send request streams
  resources capacity;
  millis worker_poll{500};
  millis worker_lease{10'000};
  // Load of the replicas that run here, for heartbeats; may be empty.
  std::function<std::vector<state::target_load>()> targets;
  // Requests in flight at the local replica of a service; may be empty. A
  // replica is asked to stop only once there are none.
  std::function<size_t(const std::string& service)> in_flight;
};

// Pure: inputs in, worker calls out. Not thread-safe. Every call that Tick
// returns must be followed by exactly one OnWorkerCall, or for a list that was
// answered by OnWorkerBoot and OnWorkerTasks.
class agent_core {
 public:
  // Refuses options without a name, an address or capacity.
  static result<std::unique_ptr<agent_core>> Make(agent_options options,
                                                  clock_fn clock);
  ~agent_core();

  // The next heartbeat. Must only be called once announces() is true. It is
  // partial until ready() is true.
  state::heartbeat MakeHeartbeat();

  // The answer to `asked`. Grants extend only attempts that `asked` reported:
  // the scheduler's answer says nothing about others. Answers may arrive late,
  // twice or out of order.
  void OnAnswer(const state::heartbeat& asked,
                const state::heartbeat_answer& answer);

  // The answer to the newest heartbeat made, for callers that never have more
  // than one under way.
  void OnAnswer(const state::heartbeat_answer& answer);

  // Boot id in the answer of GET /tasks; comes before OnWorkerTasks. A changed
  // id is a new incarnation of the VM: what ran before has ended as lost.
  void OnWorkerBoot(uint64_t boot);

  // The answer of GET /tasks to the newest list call.
  void OnWorkerTasks(const std::vector<worker_task>& tasks);

  // How a call ended. A list call comes here only if it brought no list.
  void OnWorkerCall(const worker_call& call,
                    const worker_call_outcome& outcome);

  // Calls to make now. To be called at least every 100 ms.
  std::vector<worker_call> Tick();

  // True if something is to be reported at once.
  bool wants_heartbeat() const { return wants_heartbeat_; }

  // True once the worker's boot id is known, which the VM is announced with.
  bool announces() const { return boot_ != 0; }

  // True once starts may be admitted: the task list has been read after every
  // start call of an earlier agent process had expired.
  bool ready() const { return ready_; }

  // Takes the stop grace of each class from a manifest. An older version than
  // the present one is ignored.
  void SetManifest(uint64_t version, const config::manifest& manifest);
  uint64_t manifest_version() const { return manifest_version_; }

  // From now on heartbeats say that the agent is leaving, and no task starts.
  void Leave();
  bool leaving() const { return leaving_; }

  // Whether operators have taken the data centre or the VM out of service.
  bool out_of_service() const { return out_of_service_; }

  // Services with a replica here that may take requests.
  std::set<std::string> running_services() const;

  // What the tasks that may be executing here hold.
  resources used() const;

  // Ends that the scheduler has not acknowledged.
  size_t unacknowledged() const;

 private:
  agent_core(agent_options options, clock_fn clock);

  void AddReports(state::heartbeat& out) const;
  void TakeOutOfService(const state::heartbeat_answer& answer);
  void TakeOrders(const state::heartbeat& asked,
                  const state::heartbeat_answer& answer);
  void TakeStart(const state::start_order& order);
  void TakeStop(const state::stop_order& order);
  void TakeUnknown(const state::attempt_id& attempt);
  void ExtendGrants(const state::heartbeat& asked,
                    const state::heartbeat_answer& answer);
  void TakeListed(const worker_task& task);
  void TakeMissing(attempt_record& record, boot_time requested);
  void End(attempt_record& record,
           state::attempt_end how,
           const std::string& detail);
  void EndAs(attempt_record& record, const worker_task& task);

  void ListTasks(boot_time now, std::vector<worker_call>& calls);
  void JudgeOrders(boot_time now, std::vector<worker_call>& calls);
  bool MayStart(attempt_record& record, boot_time now);
  worker_call StartCall(attempt_record& record, boot_time now);
  void WatchGrant(attempt_record& record, boot_time now);
  void StopAttempt(attempt_record& record,
                   boot_time now,
                   std::vector<worker_call>& calls);
  void Throttle(attempt_record& record,
                boot_time now,
                std::vector<worker_call>& calls);
  void RenewLeases(boot_time now, std::vector<worker_call>& calls);
  void ForgetEnded(boot_time now, std::vector<worker_call>& calls);
  bool Drained(const attempt_record& record) const;
  millis StopGrace(const state::job_spec& spec) const;

  void OnStartCall(const worker_call& call, const worker_call_outcome& outcome);
  void OnRenewCall(const worker_call& call, const worker_call_outcome& outcome);

  agent_options options_;
  clock_fn clock_;
  boot_time started_at_;
  std::unique_ptr<ledger> ledger_;
  state::heartbeat newest_heartbeat_;
  uint64_t boot_ = 0;
  uint64_t sequence_ = 0;
  uint64_t epoch_ = 0;         // highest seen; answers of lower ones are stale
  int64_t answered_tick_ = 0;  // highest that `epoch_` answered
  uint64_t throttle_sequence_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
  bool wants_heartbeat_ = false;
  bool out_of_service_ = false;
  uint64_t out_version_ = 0;
  uint64_t out_epoch_ = 0;
  bool list_open_ = false;
  bool list_wanted_ = true;
  boot_time list_requested_{};
  bool renew_open_ = false;
  boot_time renew_after_{};
  bool forget_open_ = false;
  boot_time forget_after_{};
  uint64_t manifest_version_ = 0;
  std::map<std::string, millis> stop_grace_;  // by class
};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_AGENT_CORE_H_
