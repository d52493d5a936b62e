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
#include "chiveglade/store/table_scan.h"
#include "chiveglade/workflow/coordinator.h"
#include "chiveglade/workflow/early_cancellations.h"
#include "chiveglade/workflow/fenced_writer.h"
#include "chiveglade/workflow/job_admission.h"
#include "commit_pacer.h"
#include "interference_keeper.h"
#include "operator_feed.h"
#include "peer_pool.h"

namespace chiveglade::app {

using workflow::kCancelSuffix;
using workflow::kEndedPrefix;
using workflow::kJobPrefix;
using workflow::kProgressPrefix;
inline constexpr char kMemberPrefix[] = "member/";  // addresses of processes

struct coordinator_host_options {
  workflow::candidate self;  // its address is that for peers
  workflow::succession_options succession;
  // Of the leader row, without the role; see writer_options.
  millis poll_interval{300};
  millis idle_poll_interval{300};
  millis commit_interval{15};
  // What is learned of interference is kept for the next coordinator.
  bool keep_interference = false;
  size_t max_row_bytes = size_t{64} * 1024;        // of a value in the store
  uint64_t job_budget_bytes = 64UL * 1024 * 1024;  // for accepted jobs
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
    // The operators' newest settings. Asked before each decision.
    std::function<operator_view()> operators;
    // The role was gained. Optional.
    std::function<void()> gained;
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
  // Another holder announced itself, or this process was named its successor.
  void OnLeader(const workflow::leader_row& row);
  // Another process asks for the role.
  void OnClaim(const workflow::candidate& rival);

  // Only while ready.
  workflow::report_reply OnReport(const workflow::report& in);
  std::optional<workflow::job_view> FindJobView(const std::string& id) const;
  // None if jobs that were accepted lately may be unknown.
  std::optional<size_t> PendingJobCount(const std::string& queue) const;
  // The memory for accepted jobs, as it concerns a gateway that accepts jobs of
  // a queue. Only while ready.
  workflow::job_room JobRoom(const workflow::room_question& asked);
  // When the last report came, in any life of the role.
  boot_time reported_at() const { return reported_at_; }

  void UpdateGauges();

 private:
  // Passes on what operators have changed, and how recent all knowledge is.
  void AdoptOperatorState();
  // Logs when news become overdue and when they have come.
  void LogNews(millis age);
  // Logs what the store refused, so that a transaction beyond its limits can
  // be told from an outage.
  void LogRefusedWrite(const reason& why, const store::transaction& change);
  void MakeInterferenceKeeper();
  // True if no other process can have taken the role. Unlike the writer's
  // holds(), false in a process that was suspended for longer than the lease.
  bool HoldsForSure() const;
  void OnGained(uint64_t epoch);
  void OnLost(const char* why);
  void ReadProgress();
  void AddProgress(const std::vector<store::row>& rows);
  // Leaves out a job whose progress cannot be used.
  void SetAside(const std::string& id, const reason& why);
  void FollowJobs();
  // Adds jobs and cancellations, or keeps them until all progress is read.
  void AddRows(const std::vector<store::row>& rows);
  void AddRow(const store::row& in);
  void FinishRecovery();
  void SweepEndedJobs();
  // Asks the holder for the role if this process is fitter.
  void Claim(const workflow::leader_row& row);
  bool HandOver();
  void GreetMembers();
  void Greet(const std::string& address);
  store::table_scan::hooks ScanHooks(const char* table);
  void CallAfter(millis wait, const std::function<void()>& then);
  void Pump();
  void SchedulePump(millis delay);
  void Commit();
  // Moves jobs to the ended ones. Not urgent, so one write at a time.
  void WriteEnded();
  void DeleteEarlyCancellations();
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
  std::unique_ptr<interference_keeper> interference_;  // null: not kept
  // All jobs and cancellations that were stored before are known; zero: none.
  boot_time jobs_as_of_{};
  // While recovering. Rows of jobs wait here until all progress is read.
  std::unique_ptr<store::table_scan> progress_scan_;
  bool progress_read_ = false;
  bool jobs_read_ = false;
  std::map<std::string, std::map<uint32_t, workflow::progress_row>> progress_;
  std::set<std::string> unreadable_;  // jobs whose progress cannot be used
  std::vector<store::row> waiting_rows_;
  boot_time gained_at_{};

  bool recovered_ = false;
  boot_time ready_at_{};
  std::unique_ptr<store::table_scan> members_;
  std::vector<std::unique_ptr<store::table_scan>> ended_scans_;
  std::optional<workflow::candidate> successor_;  // handed over to when idle
  std::optional<workflow::candidate> handed_to_;  // while that is written
  boot_time claimed_at_{};
  bool writing_ended_ = false;
  workflow::early_cancellations early_cancellations_;
  bool deleting_cancellations_ = false;
  boot_time refusal_logged_at_{};
  boot_time informed_as_of_{};  // of all that `coordinator_` was given
  millis overdue_age_{0};       // of the news; zero: they are not overdue
  // What `coordinator_` was given last; null: nothing yet.
  std::shared_ptr<const operator_state> adopted_;
  workflow::leader_row leader_;
  // Gateways that asked for room, with the time.
  std::map<std::string, boot_time> accepting_gateways_;
  commit_pacer pacer_;
  boot_time reported_at_{};
  net::asio::steady_timer pump_timer_;
  bool pump_scheduled_ = false;
  boot_time pump_at_{};
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_COORDINATOR_HOST_H_
