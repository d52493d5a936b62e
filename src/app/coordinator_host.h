// Runs a coordinator in this process while it holds the role.
#ifndef CHIVEGLADE_APP_COORDINATOR_HOST_H_
#define CHIVEGLADE_APP_COORDINATOR_HOST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "await.h"
#include "chiveglade/core/random.h"
#include "chiveglade/observe/event_log.h"
#include "chiveglade/observe/metrics.h"
#include "chiveglade/store/table_follower.h"
#include "chiveglade/workflow/coordinator.h"
#include "chiveglade/workflow/fenced_writer.h"
#include "commit_pacer.h"
#include "operator_feed.h"
#include "peer_pool.h"

namespace chiveglade::app {

// Tables of the product's own rows.
inline constexpr char kJobPrefix[] = "job/";  // accepted jobs, cancellations
inline constexpr char kProgressPrefix[] = "progress/";
inline constexpr char kMemberPrefix[] = "member/";  // addresses of processes
// Ends the key of the row that cancels a job.
inline constexpr char kCancelSuffix[] = ".cancel";

struct coordinator_host_options {
  std::string name;
  std::string address;  // of this process, for peers
  millis lease{1'400};
  millis commit_interval{15};
  workflow::coordinator_options coordinator;
};

// Waits for the role; once it has it, reads all jobs, then takes reports and
// sends orders until the role is lost. Everything runs on `on`.
class coordinator_host {
 public:
  struct hooks {
    store::table_service table;
    clock_fn clock;
    std::function<int64_t()> unix_ms;
    random_fn random;
    std::function<void(const char*, const observe::log_fields&)> log;
    // The operators' newest settings; never null. Asked before each decision.
    std::function<std::shared_ptr<const operator_state>()> operators;
  };

  coordinator_host(strand on,
                   peer_pool& peers,
                   observe::metrics& metrics,
                   coordinator_host_options options,
                   hooks hooks);

  void Start();
  // The operators' settings have changed; decides by them at once.
  void OnOperatorChange() { Pump(); }
  // Gives the role up.
  void Release(const std::function<void()>& then);

  // True if this process decides and knows all jobs.
  bool ready() const { return coordinator_ && recovered_; }
  // The newest holder known, perhaps this process; epoch 0: none.
  const workflow::leader_row& leader() const { return leader_; }
  // Another holder announced itself.
  void OnLeader(const workflow::leader_row& row);

  // Only while ready.
  workflow::report_reply OnReport(const workflow::report& in);
  std::optional<workflow::job_view> FindJobView(const std::string& id) const;
  size_t PendingJobCount(const std::string& queue) const;
  // When the last report came, in any life of the role.
  boot_time reported_at() const { return reported_at_; }

  void UpdateGauges();

 private:
  void AdoptOperatorState();
  void OnGained(uint64_t epoch);
  void OnLost(const char* why);
  void ReadProgress(const std::string& after);
  void FollowJobs();
  void AddRows(const std::vector<store::row>& rows);
  void AddRow(const store::row& in);
  void GreetMembers();
  void Greet(const std::string& address);
  void Pump();
  void SchedulePump(millis delay);
  void Commit();
  void SendOrders();
  void Send(const workflow::coordinator::addressed_orders& next);

  strand on_;
  peer_pool& peers_;
  observe::metrics& metrics_;
  coordinator_host_options options_;
  hooks hooks_;
  std::unique_ptr<workflow::fenced_writer> writer_;
  std::unique_ptr<workflow::coordinator> coordinator_;
  std::unique_ptr<store::table_follower> jobs_;
  std::map<std::string, workflow::job_record> progress_;  // while recovering
  bool recovered_ = false;
  // What `coordinator_` was given last; null: nothing yet.
  std::shared_ptr<const operator_state> adopted_;
  workflow::leader_row leader_;
  commit_pacer pacer_;
  boot_time reported_at_{};
  net::asio::steady_timer pump_timer_;
  bool pump_scheduled_ = false;
  boot_time pump_at_{};
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_COORDINATOR_HOST_H_
