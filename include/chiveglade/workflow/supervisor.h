// What a runner knows and does about the worker on its VM. Pure: calls and
// reports are values, time is passed in.
#ifndef CHIVEGLADE_WORKFLOW_SUPERVISOR_H_
#define CHIVEGLADE_WORKFLOW_SUPERVISOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/workflow/message.h"
#include "chiveglade/workflow/pacer.h"
#include "chiveglade/workflow/worker_port.h"

namespace chiveglade::workflow {

struct supervisor_options {
  std::string vm;
  std::string address;             // where this runner takes orders
  std::string runner_incarnation;  // unique for this process
  // Longest lease that the worker gives; a setting of the platform.
  millis worker_lease{6'000};
  // The answer to a lease call waits so long for an end.
  millis lease_wait{1'000};
  // The same while fillers run beside serving tasks: their figures are for the
  // last half second.
  millis paced_wait{450};
  // Wait before an unanswered or refused call is repeated.
  millis retry_after{120};
  // A worker that is declared gone must have missed its heartbeats and calls
  // for this long, besides its lease being over: two heartbeats and some.
  millis beat_silence{3'500};
  // The same for one that refuses connections: it is not up. Covers a restart
  // of its listener.
  millis refusal_silence{250};
  std::function<void(const char* event,
                     const std::vector<std::pair<std::string, std::string>>&)>
      log;
};

// The state of one runner. It starts only what the coordinator of the newest
// epoch ordered lately, keeps leases no longer than granted, and reports each
// end until it is acknowledged. Single thread.
class supervisor {
 public:
  explicit supervisor(supervisor_options options);

  // A heartbeat of the worker; false if it is of an older life or stale.
  bool OnHeartbeat(const worker_heartbeat& in, boot_time now);
  // The worker says that it ends now.
  void OnWorkerExit(const std::string& instance, boot_time now);

  // The newest coordinator heard of; lower epochs are ignored.
  bool OnCoordinator(uint64_t epoch, const std::string& address);
  void OnOrders(const orders& in, boot_time now);

  // Calls to be made now. Each must be answered by the matching On...Answer.
  std::vector<start_call> TakeStarts(boot_time now);
  std::vector<stop_call> TakeStops(boot_time now);
  std::vector<pace_call> TakePaces();
  void OnStartReply(const start_call& call,
                    call_status status,
                    boot_time sent,
                    boot_time now);
  void OnStopReply(const run_key& run, call_status status, boot_time now);
  void OnPaceReply(const pace_call& call, call_status status);

  // The next lease call; nothing if it should wait, for an acknowledgement.
  std::optional<lease_call> NextLease(boot_time now);
  void OnLeaseReply(const lease_call& call,
                    const lease_reply& in,
                    boot_time sent,
                    boot_time now);

  // True if something should be reported at once.
  bool IsReportDue() const { return news_; }
  report MakeReport(boot_time now);
  void OnReportReply(const report& sent_report,
                     const report_reply& in,
                     boot_time sent);

  uint64_t epoch() const { return epoch_; }
  const std::string& coordinator() const { return coordinator_; }
  bool knows_worker() const { return born_ > 0; }
  bool worker_gone() const { return gone_; }
  millis GrantLeft(boot_time now) const;
  // Lowest share at which a filler works.
  uint32_t filler_percent() const { return pacer_.lowest(); }
  size_t run_count() const { return runs_.size(); }

 private:
  enum class phase : uint8_t { kStarting, kRunning, kStopping };
  struct tracked {
    phase at = phase::kStarting;
    start_order order;
    run_status status;
    bool in_flight = false;  // a call about it is not answered yet
    bool unsure = false;     // a start was not answered: it may still come
    bool stop_answered = false;
    bool listed = false;       // by the newest lists
    std::string refusal;       // reason, once no start is possible any more
    boot_time start_before{};  // no start after this
    boot_time next_try{};
    boot_time settled_at{};  // a lease call sent after this tells
    uint32_t tries = 0;
    uint32_t paced = 100;
    latency_filter filter;  // of a serving task
    double latency_ms = 0;  // its estimate; 0: none yet
  };

  void Log(
      const char* event,
      const std::vector<std::pair<std::string, std::string>>& fields) const;
  void BeginLife(int64_t born, const std::string& instance, boot_time now);
  void Refuse(const run_key& run, const std::string& why, boot_time now);
  void StopTracking(tracked& run, const std::string& why, boot_time now);
  void DropExpiredStarts(boot_time now);
  void UpdateLists(const lease_reply& in, boot_time sent, boot_time now);
  void OnLeaseSent(int64_t lease_until_ms, boot_time sent);
  void OnLeaseFailed(call_status status, boot_time now);
  void UpdatePace(boot_time now);
  int64_t WorkerTimeAfter(millis length, boot_time now) const;
  bool IsPacing() const;

  supervisor_options options_;
  uint64_t epoch_ = 0;
  std::string coordinator_;
  uint64_t sequence_ = 0;

  // The worker's life.
  int64_t born_ = 0;
  worker_heartbeat beat_;
  bool has_beat_ = false;
  bool gone_ = false;  // runs nothing: it left, or was silent for too long
  bool left_ = false;  // it said so itself
  boot_time beat_at_{};
  // The worker's clock as of its newest answer; a lower bound.
  int64_t clock_ms_ = 0;
  boot_time clock_at_{};
  bool has_clock_ = false;
  // Until when leases asked for may last, by this VM's clock.
  boot_time lease_over_{};
  boot_time lease_answered_{};
  boot_time refused_since_{};  // connections; zero: the last was taken
  uint32_t starts_in_flight_ = 0;
  boot_time hold_off_until_{};

  std::map<run_key, tracked> runs_;
  std::vector<run_end> ends_;
  std::vector<run_refusal> refusals_;
  // When runs of this life were refused. An order for one may still be on its
  // way, sent before the coordinator heard of the refusal.
  std::map<run_key, boot_time> refused_at_;
  uint64_t acknowledged_ = 0;
  boot_time grant_until_{};
  // The newest report with the list of runs that was answered.
  struct {
    uint64_t epoch = 0;
    int64_t worker_incarnation = 0;
    boot_time at{};
  } listed_report_;
  uint64_t listed_epoch_ = 0;  // the lists were read under this epoch
  bool news_ = false;
  pacer pacer_;
  boot_time paced_at_{};
};

}  // namespace chiveglade::workflow

#endif  // CHIVEGLADE_WORKFLOW_SUPERVISOR_H_
