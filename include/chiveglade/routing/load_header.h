// The `chiveglade-load` header of agents' answers.
#ifndef CHIVEGLADE_ROUTING_LOAD_HEADER_H_
#define CHIVEGLADE_ROUTING_LOAD_HEADER_H_

#include <optional>
#include <string>
#include <string_view>

#include "chiveglade/state/heartbeat.h"

namespace chiveglade::routing {

// "in_use=1, queued=2, slots=8, latency_us=900"; the service is not named.
std::string WriteLoadHeader(const state::target_load& load);

// Reads what WriteLoadHeader wrote; none if it is anything else.
std::optional<state::target_load> ReadLoadHeader(std::string_view text);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_LOAD_HEADER_H_
