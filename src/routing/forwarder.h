// Carries one request of a caller to its end.
#ifndef CHIVEGLADE_SRC_ROUTING_FORWARDER_H_
#define CHIVEGLADE_SRC_ROUTING_FORWARDER_H_

#include <optional>
#include <string>
#include <vector>

#include "agent_try.h"
#include "caller_exchange.h"
#include "front_state.h"

namespace chiveglade::routing {

// Checks, claims, chooses targets, retries and answers. Used once.
class forwarder {
 public:
  forwarder(front_state& front, caller_exchange& caller);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  // The caller has been answered or aborted when this returns.
  void Run(const net::yield& yield);

  // Answers a request that could not be read.
  void RefuseMalformed(bool header_too_large, const net::yield& yield);

 private:
  // A refusal, or where the caller is told what became of the request.
  struct refusal {
    int status = 503;
    verdict execution = verdict::kNotRun;
    std::string code;
    std::string detail;
    uint32_t retry_after_s = 0;  // 0: not told to retry
  };
  using maybe_refusal = std::optional<refusal>;

  maybe_refusal CheckRequest();
  maybe_refusal CheckIdempotencyKey();
  maybe_refusal ReadBodyPrefix(const net::yield& yield);
  maybe_refusal ReadBodyUpTo(size_t limit, const net::yield& yield);
  maybe_refusal ClaimRequest(const net::yield& yield);
  maybe_refusal HandleClaimResult(claim_result result, const net::yield& yield);
  void BuildForwardedFields();
  void Forward(const net::yield& yield);
  // The report of the last try; none if no target could be tried.
  std::optional<try_report> TryTargets(const net::yield& yield);
  bool MayRetry(const outcome& try_outcome);
  void Finish(const try_report& last, const net::yield& yield);
  void ResolveClaim(const try_report& last, verdict execution);
  refusal RefusalFor(const try_report& last) const;
  void Refuse(const refusal& why, const net::yield& yield);
  void RecordResult(verdict execution, int status, const std::string& code);
  refusal BodyRefusal(const reason& why) const;

  front_state& front_;
  caller_exchange& caller_;
  const boot_time started_;
  std::shared_ptr<const route_table> routes_;  // keeps `route_` alive
  const route* route_ = nullptr;
  forwarded_request request_;
  std::string
      idempotency_key_;  // Idempotency-Key, if the request needs a claim
  std::optional<claim> claim_;
  size_t reserved_body_bytes_ = 0;
  bool counted_open_ = false;
  uint32_t tries_ = 0;
  // The least safe verdict of all tries: after one that may have run, a refusal
  // of the next one does not make the request not_run.
  verdict execution_ = verdict::kNotRun;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_FORWARDER_H_
