// The bytes of a heartbeat and of its answer.
#ifndef CHIVEGLADE_STATE_HEARTBEAT_CODEC_H_
#define CHIVEGLADE_STATE_HEARTBEAT_CODEC_H_

#include <string>
#include <string_view>

#include "chiveglade/core/result.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::state {

// Largest message accepted, in bytes.
constexpr size_t kMaxHeartbeatBytes = size_t{4} * 1024 * 1024;

// CBOR arrays; the results hold arbitrary bytes.
std::string EncodeHeartbeat(const heartbeat& message);
std::string EncodeAnswer(const heartbeat_answer& message);

// Reasons: "protocol_version" for a message of another version, "corrupt" for
// anything else that is not a message.
result<heartbeat> DecodeHeartbeat(std::string_view bytes);
result<heartbeat_answer> DecodeAnswer(std::string_view bytes);

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_HEARTBEAT_CODEC_H_
