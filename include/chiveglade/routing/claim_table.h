// Ensures that a request with an Idempotency-Key runs at most once.
#ifndef CHIVEGLADE_ROUTING_CLAIM_TABLE_H_
#define CHIVEGLADE_ROUTING_CLAIM_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/routing/claim.h"
#include "chiveglade/store/table.h"

namespace chiveglade::routing {

struct claim_options {
  std::string entry;                        // name of this entry
  size_t max_response_body_bytes = 32'768;  // of the body stored for repeats
  uint32_t max_writes = 4;     // attempts to write one row before giving up
  millis initial_backoff{50};  // between writes or polls; doubles each time
  millis max_backoff{500};
  millis lifetime{24 * 3'600'000};  // of a claim; Sweep deletes older ones
  friend bool operator==(const claim_options&, const claim_options&) = default;
};

// All hooks must be safe to call from any thread.
struct claim_hooks {
  store::table_service table;
  clock_fn clock;
  std::function<int64_t()> unix_ms;  // wall clock, used for expiry by any entry
  random_fn random;
  // Calls the function once after the delay, on any thread.
  std::function<void(millis, std::function<void()>)> after;
};

struct claim_request {
  std::string workspace;
  std::string idempotency_key;
  std::string fingerprint;
  boot_time deadline;  // how long a repeat waits for the first response
};

// The right to forward one request, held by the entry that wrote the claim row.
struct claim {
  std::string key;
  uint64_t version = 0;
  claim_value value;
  friend bool operator==(const claim&, const claim&) = default;
};

// `kClaimed`: the caller forwards the request, then calls StoreResponse or
// Release, or neither if the request may have run.
// `kHasResponse`: a response to the request is stored; the result holds it.
// `kMayHaveRun`: another claim of the key exists and no response was stored in
// time, or the row is unreadable.
// `kMismatch`: the key belongs to a different request.
// `kUnavailable`: the store did not confirm the claim; nothing was forwarded.
enum class claim_status {
  kClaimed,
  kHasResponse,
  kMayHaveRun,
  kMismatch,
  kUnavailable
};

struct claim_result {
  claim_status status = claim_status::kUnavailable;
  claim held;                // kClaimed
  stored_response response;  // kHasResponse
};

// Manages the rows `claim/<workspace>/<hash of key>`; see the design, section
// 4.6. Thread-safe; holds no lock while it calls a hook or a callback. Calls in
// progress keep the object alive.
class claim_table : public std::enable_shared_from_this<claim_table> {
 public:
  using claim_callback = std::function<void(claim_result)>;
  using done_callback = std::function<void(result<done>)>;

  static std::shared_ptr<claim_table> Make(claim_options options,
                                           claim_hooks hooks);

  // Claims the request, or finds the claim that already exists. Calls `then`
  // exactly once.
  void Claim(claim_request request, claim_callback then);

  // Stores the response for repeats. If the store does not confirm the write,
  // the claim is left as it is, and repeats are told may_have_run.
  void StoreResponse(const claim& held,
                     stored_response response,
                     const done_callback& then);

  // Deletes the claim of a request that is known not to have run.
  void Release(const claim& held, const done_callback& then);

  // Scans the next range of the claims of `workspaces` and deletes at most
  // `max_rows` expired ones in one transaction. Passes the number of deleted
  // rows to `then`. Deletes nothing while another sweep is in progress.
  void Sweep(const std::vector<std::string>& workspaces,
             size_t max_rows,
             std::function<void(size_t)> then);

 private:
  struct claim_operation;
  using operation_ptr = std::shared_ptr<claim_operation>;

  claim_table(claim_options options, claim_hooks hooks);

  void WriteClaim(const operation_ptr& op, uint64_t over_version);
  void ReadClaim(const operation_ptr& op);
  void HandleRow(const operation_ptr& op, const store::row& found);
  void RetryWrite(const operation_ptr& op);
  void GiveUp(const operation_ptr& op);
  void ReplaceRow(const claim& held,
                  std::optional<std::string> value,
                  uint32_t writes,
                  const done_callback& then);
  void ConfirmReplacement(const claim& held,
                          const std::optional<std::string>& value,
                          const done_callback& then);
  millis BackoffAfter(uint32_t writes) const;
  void MarkAbandoned(uint64_t nonce);
  bool IsAbandoned(uint64_t nonce) const;
  void DeleteExpired(const std::vector<store::row>& rows,
                     size_t max_rows,
                     const std::function<void(size_t)>& then);

  const claim_options options_;
  const claim_hooks hooks_;
  mutable std::mutex mutex_;
  // Nonces of claims of this process whose requests were not forwarded, but
  // whose rows may exist or may yet be written. Such a row may be overwritten.
  std::unordered_set<uint64_t> abandoned_;
  std::deque<uint64_t> abandoned_order_;     // oldest first, for eviction
  std::vector<std::string> sweep_prefixes_;  // not scanned yet
  bool sweeping_ = false;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_CLAIM_TABLE_H_
