// Handles one request of a caller, from its header to its response.
#ifndef CHIVEGLADE_SRC_ROUTING_FORWARDER_H_
#define CHIVEGLADE_SRC_ROUTING_FORWARDER_H_

#include <optional>
#include <string>
#include <vector>

#include "agent_try.h"
#include "caller_exchange.h"
#include "front_state.h"

namespace chiveglade::routing {

// Validates the request, claims its Idempotency-Key, chooses targets, retries
// and writes the response. An object handles one request.
class forwarder {
 public:
  forwarder(front_state& front, caller_exchange& caller);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  // When this returns, the response was written or the connection was aborted.
  void Run(const net::yield& yield);

  // Refuses a request that could not be parsed.
  void RefuseMalformed(bool header_too_large, const net::yield& yield);

 private:
  // A response that the entry itself writes: a refusal, or an error that tells
  // the caller whether the request may have run.
  struct refusal {
    int status = 503;
    verdict execution = verdict::kNotRun;
    std::string code;
    std::string detail;
    uint32_t retry_after_s = 0;  // 0: no Retry-After header
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
  // Returns the report of the last try; nullopt if no target could be tried.
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
  std::string idempotency_key_;  // empty if the request needs no claim
  std::optional<claim> claim_;
  size_t reserved_body_bytes_ = 0;
  bool counted_open_ = false;
  uint32_t tries_ = 0;
  // The least safe verdict of all tries: if one try may have run, the refusal
  // of a later one does not make the request not_run.
  verdict execution_ = verdict::kNotRun;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_FORWARDER_H_
