// One try of a request at one agent.
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

// What is forwarded, the same for every try.
struct forwarded_request {
  net::header_list fields;  // all but the deadline, with pseudo-headers
  std::string id;
  std::string body;            // its start, or all of it
  bool body_whole = true;      // nothing is left to read from the caller
  bool body_consumed = false;  // more than `body` was read: no further try
  bool keep_answer = false;    // for a claim
  boot_time deadline;
};

// How one try ended.
struct try_report {
  try_end end = try_end::kOutcomeUnknown;
  std::string code;    // of a refusal or a loss
  std::string detail;  // for a person
  int status = 0;      // of an answer
  bool deadline_passed = false;
  bool target_failed = false;  // counts towards its ejection
  bool caller_gone = false;
  stored_response answer;  // if it was to be kept
};

// Forwards the request and, if there is an answer, passes it on to the caller.
// A refusal by the agent is not passed on.
class agent_try {
 public:
  agent_try(const front_options& options,
            const clock_fn& clock,
            forwarded_request& request,
            caller_exchange& caller)
      : options_(options), clock_(clock), request_(request), caller_(caller) {}

  try_report Run(net::h2_client& agent, target& at, const net::yield& yield);

 private:
  class body_upload;

  try_report Exchange(net::h2_stream& stream,
                      class stream_deadline& deadline,
                      target& at,
                      const net::yield& yield);
  try_report Lost(net::h2_stream& stream,
                  const class stream_deadline& deadline,
                  const std::string& detail) const;
  try_report Refused(const net::header_list& head) const;
  try_report PassOn(net::h2_stream& stream,
                    class stream_deadline& deadline,
                    net::header_list head,
                    const net::yield& yield);
  bool PassOnBody(net::h2_stream& stream,
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
