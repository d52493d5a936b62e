// JSON of the worker's control interface.
#ifndef CHIVEGLADE_AGENT_WORKER_CODEC_H_
#define CHIVEGLADE_AGENT_WORKER_CODEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chiveglade/agent/worker_call.h"
#include "chiveglade/agent/worker_task.h"
#include "chiveglade/core/result.h"

namespace chiveglade::agent {

// Answer of GET /tasks. Times are CLOCK_BOOTTIME in ms.
struct worker_listing {
  uint64_t boot = 0;
  std::vector<worker_task> tasks;

  friend bool operator==(const worker_listing&,
                         const worker_listing&) = default;
};

// Path of a call: "/tasks" for kList, otherwise "/tasks/start", "/tasks/renew",
// "/tasks/checkpoint", "/tasks/throttle", "/tasks/stop" or "/tasks/forget".
std::string PathOf(worker_call_kind kind);

// Body of a call; empty for kList.
std::string EncodeCall(const worker_call& call);
result<worker_call> DecodeCall(worker_call_kind kind, const std::string& body);

std::string EncodeListing(const worker_listing& listing);
result<worker_listing> DecodeListing(const std::string& body);

// Body of a refusal: {"reason","detail"}.
std::string EncodeReason(const reason& why);
// The reason in a refusal; code "unreadable" if there is none.
reason DecodeReason(const std::string& body);

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_WORKER_CODEC_H_
