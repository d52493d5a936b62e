// The `chiveglade-load` header of agents' responses.
#ifndef CHIVEGLADE_ROUTING_LOAD_HEADER_H_
#define CHIVEGLADE_ROUTING_LOAD_HEADER_H_

#include <optional>
#include <string>
#include <string_view>

#include "chiveglade/state/heartbeat.h"

namespace chiveglade::routing {

// Returns a value such as "in_use=1, queued=2, slots=8, latency_us=900". The
// service is left out.
std::string WriteLoadHeader(const state::target_load& load);

// Parses what WriteLoadHeader wrote; nullopt for any other text.
std::optional<state::target_load> ReadLoadHeader(std::string_view text);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_LOAD_HEADER_H_
