// Answers callers' requests about jobs.
#ifndef CHIVEGLADE_APP_JOB_FRONT_H_
#define CHIVEGLADE_APP_JOB_FRONT_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "admission_options.h"
#include "chiveglade/net/http_message.h"
#include "chiveglade/observe/metrics.h"
#include "chiveglade/workflow/early_cancellations.h"
#include "chiveglade/workflow/job_admission.h"
#include "chiveglade/workflow/job_record.h"
#include "coordinator_host.h"
#include "request_relay.h"

namespace chiveglade::app {

// One gateway's requests. A job is accepted by writing its row on the condition
// that there is none, so one that arrives twice, at any gateways, is one job,
// and an accepted one needs neither this process nor the coordinator to last.
// Everything runs on `on`.
class job_front {
 public:
  struct hooks {
    store::table_service table;
    clock_fn clock;
    std::function<int64_t()> unix_ms;
    std::function<operator_view()> operators;
    std::function<void(const char*, const observe::log_fields&)> log;
    // Whether these settings hold every change that must be in force.
    std::function<bool(const operator_view&)> settings_current;
    // Whether the store answers none of this process's calls.
    std::function<bool()> store_away;
    // How callers can be served, and a peer's reply to a request. Optional; the
    // store is then taken to be in reach.
    std::function<store_access()> access;
    std::function<result<net::http_reply>(const net::http_request&,
                                          millis timeout,
                                          const net::yield&)>
        forward;
    // Longest value of a row that the store takes.
    size_t max_row_bytes = size_t{64} * 1024;
    std::string gateway = {};  // name of this process
    // Memory for accepted jobs that is assumed until a coordinator is heard.
    uint64_t job_budget_bytes = 64UL * 1024 * 1024;
    request_limits limits = {};
  };

  job_front(strand on,
            peer_pool& peers,
            observe::metrics& metrics,
            coordinator_host& host,
            hooks hooks);

  net::http_reply Handle(const net::http_request& request,
                         const net::yield& yield);

  // A request that another gateway passes on.
  net::http_reply HandleForPeer(const net::http_request& request,
                                const net::yield& yield);
  // What this process answers to other gateways; nothing if it does not decide.
  std::optional<std::string> PhaseForPeer(const std::string& id) const;
  std::optional<std::string> PendingForPeer(const std::string& queue) const;

 private:
  struct call {
    const workflow::queue_policy& queue;
    std::string id;
    boot_time began;
    millis time_left;  // of the caller's deadline, from `began`
    // A row of the store up to this version was written before the request
    // came.
    uint64_t store_version;
  };
  // A phase, or none if the job does not exist.
  using phase_or_none = std::optional<workflow::job_phase>;

  store_access Access() const {
    return hooks_.access ? hooks_.access() : store_access::kDirect;
  }
  net::http_reply Forward(const net::http_request& request,
                          const net::yield& yield);
  net::http_reply HandleHere(const net::http_request& request,
                             std::string& kind,
                             const net::yield& yield);
  // `store_version`: see call.
  net::http_reply Route(const net::http_request& request,
                        uint64_t store_version,
                        std::string& kind,
                        const net::yield& yield);
  net::http_reply Submit(const call& in,
                         const std::string& body,
                         const net::yield& yield);
  // Logs and refuses a job that can never be accepted.
  net::http_reply RefuseJob(const call& in,
                            int status,
                            const reason& why,
                            const char* retry_after_seconds = "1");
  // The row of a job, what a coordinator holds for it, and what a VM needs.
  struct encoded_job {
    std::string row;
    uint64_t bytes = 0;
    resources largest_task;
  };
  result<encoded_job> EncodeJob(const call& in, const std::string& body) const;
  // Writes the row of a job; `may_be_stored` says whether it may be there.
  net::http_reply Store(const call& in,
                        const std::string& row,
                        bool& may_be_stored,
                        const net::yield& yield);
  // Asks the coordinator about a queue, unless it has answered lately.
  void AskForRoom(const std::string& queue, const net::yield& yield);
  // Answers a job that is not to be stored now. It may have been stored by an
  // earlier try of the caller, and is then not refused.
  net::http_reply RefuseUnlessStored(const call& in,
                                     const reason& why,
                                     const char* retry_after_seconds,
                                     const net::yield& yield);
  net::http_reply Show(const call& in, const net::yield& yield);
  net::http_reply Cancel(const call& in, const net::yield& yield);
  net::http_reply Pending(const workflow::queue_policy& queue,
                          const net::yield& yield);

  // Reasons mean that neither the coordinator nor the store could be asked.
  result<phase_or_none> FindPhase(const std::string& id,
                                  const net::yield& yield);
  // Nothing if the coordinator does not answer or does not know the job.
  phase_or_none AskCoordinator(const std::string& id, const net::yield& yield);
  result<phase_or_none> ReadPhase(const std::string& id,
                                  const net::yield& yield);
  // None if the job is not among the ended ones.
  result<phase_or_none> ReadEnded(const std::string& id,
                                  const net::yield& yield);
  result<std::optional<store::row>> Read(const std::string& key,
                                         const net::yield& yield);
  store::commit_outcome Commit(store::transaction change,
                               const net::yield& yield);
  void Wait(millis time, const net::yield& yield);
  void Remember(const std::string& id, workflow::job_phase phase);

  uint64_t CatalogueVersion() const;
  // Whether the request may be answered by these settings.
  bool MayAnswer(const net::http_request& request,
                 const operator_view& view,
                 bool queue_found) const;
  // Logs a refusal that the catalogue decided, and how old the catalogue is.
  net::http_reply RefuseByCatalogue(int status,
                                    const std::string& code,
                                    const std::string& detail,
                                    const net::http_request& request,
                                    const operator_view& view);

  strand on_;
  peer_pool& peers_;
  workflow::job_admission admission_;
  workflow::early_cancellation_limit early_cancellations_;
  uint64_t open_requests_ = 0;
  uint64_t waiting_bytes_ = 0;  // held by requests that wait
  observe::metrics& metrics_;
  coordinator_host& host_;
  hooks hooks_;
  // The newest version of the catalogue that a caller here was answered by,
  // perhaps a peer's. Callers never see an older one again.
  uint64_t seen_version_ = 0;
  // The newest version that the store has answered with.
  uint64_t store_version_ = 0;
  // Phases that never change again, so that they need not be asked for.
  std::map<std::string, workflow::job_phase> final_;
  std::deque<std::string> final_order_;
  struct pending_count {
    size_t jobs = 0;
    boot_time at{};
  };
  std::map<std::string, pending_count> pending_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_JOB_FRONT_H_
