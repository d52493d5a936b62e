#include "chiveglade/routing/load_header.h"

#include <charconv>

namespace chiveglade::routing {

namespace {

// Removes `name` and the number after it from the start of `text`. Returns
// false if `text` starts otherwise.
bool ConsumeField(std::string_view& text,
                  std::string_view name,
                  uint32_t& out) {
  if (text.substr(0, name.size()) != name) {
    return false;
  }
  text.remove_prefix(name.size());
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc()) {
    return false;
  }
  text.remove_prefix(static_cast<size_t>(end - text.data()));
  return true;
}

}  // namespace

std::string WriteLoadHeader(const state::target_load& load) {
  return "in_use=" + std::to_string(load.in_use) +
         ", queued=" + std::to_string(load.queued) +
         ", slots=" + std::to_string(load.slots) +
         ", latency_us=" + std::to_string(load.latency_us);
}

std::optional<state::target_load> ReadLoadHeader(std::string_view text) {
  state::target_load out;
  if (ConsumeField(text, "in_use=", out.in_use) &&
      ConsumeField(text, ", queued=", out.queued) &&
      ConsumeField(text, ", slots=", out.slots) &&
      ConsumeField(text, ", latency_us=", out.latency_us) && text.empty()) {
    return out;
  }
  return std::nullopt;
}

}  // namespace chiveglade::routing
