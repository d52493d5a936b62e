// One try of a request: its forwarding to one agent.
#ifndef CHIVEGLADE_SRC_ROUTING_AGENT_TRY_H_
#define CHIVEGLADE_SRC_ROUTING_AGENT_TRY_H_

#include <optional>
#include <string>

#include "caller_exchange.h"
#include "chiveglade/net/h2_client.h"
#include "chiveglade/routing/claim.h"
#include "chiveglade/routing/outcome.h"
#include "chiveglade/routing/target.h"

namespace chiveglade::routing {

// The request as forwarded, the same for every try.
struct forwarded_request {
  // With pseudo-headers, without the deadline, which each try adds.
  net::header_list fields;
  std::string id;
  std::string body;        // the buffered prefix, or the whole body
  bool body_whole = true;  // `body` is all of it
  // More than `body` was read from the caller, so that no other try can send
  // the whole body.
  bool body_consumed = false;
  bool keep_response = false;  // for the claim of an Idempotency-Key
  boot_time deadline;
};

// How one try ended.
struct try_report {
  try_end end = try_end::kOutcomeUnknown;
  std::string code;    // reason of a refusal or failure
  std::string detail;  // free text that explains `code`
  int status = 0;      // of the response; 0 if there is none
  bool deadline_passed = false;
  bool target_failed = false;  // counts towards the target's ejection
  bool caller_gone = false;    // closed its connection or stopped reading
  stored_response response;    // filled if `keep_response` was set
};

// Forwards the request and streams the response, if there is one, to the
// caller. A refusal by the agent is not passed on: the caller of Run may try
// another target.
class agent_try {
 public:
  agent_try(const front_options& options,
            const clock_fn& clock,
            forwarded_request& request,
            caller_exchange& caller)
      : options_(options), clock_(clock), request_(request), caller_(caller) {}

  try_report Run(net::h2_client& agent,
                 target& destination,
                 const net::yield& yield);

 private:
  class body_upload;

  try_report Exchange(net::h2_stream& stream,
                      class stream_deadline& deadline,
                      target& destination,
                      const net::yield& yield);
  try_report ReportLoss(net::h2_stream& stream,
                        const class stream_deadline& deadline,
                        const std::string& detail) const;
  try_report ReportRefusal(const net::header_list& head) const;
  try_report ForwardResponse(net::h2_stream& stream,
                             class stream_deadline& deadline,
                             net::header_list head,
                             const net::yield& yield);
  // Returns whether the whole body was received. Stops early if the caller is
  // gone and the response need not be kept.
  bool ForwardBody(net::h2_stream& stream,
                   class stream_deadline& deadline,
                   std::optional<uint64_t> length,
                   try_report& report,
                   const net::yield& yield);
  millis TimeLeft() const;

  const front_options& options_;
  const clock_fn& clock_;
  forwarded_request& request_;
  caller_exchange& caller_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_AGENT_TRY_H_
