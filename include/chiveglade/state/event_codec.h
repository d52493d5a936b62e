// The bytes of a journal record.
#ifndef CHIVEGLADE_STATE_EVENT_CODEC_H_
#define CHIVEGLADE_STATE_EVENT_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chiveglade/core/result.h"
#include "chiveglade/state/event.h"

namespace chiveglade::state {

// Version of the record format. A record of a newer format is refused.
constexpr uint32_t kRecordFormat = 1;

// CBOR: [format, [[kind, fields...], ...]]. The result holds arbitrary bytes.
std::string EncodeEvents(const std::vector<event>& events);

// Reasons: "newer_format" for a record that a later version of the program
// wrote, "corrupt" for anything else that is not a record.
result<std::vector<event>> DecodeEvents(std::string_view bytes);

}  // namespace chiveglade::state

#endif  // CHIVEGLADE_STATE_EVENT_CODEC_H_
