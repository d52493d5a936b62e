#include "chiveglade/net/h2_stream.h"

namespace chiveglade::net {

std::string_view FindHeader(const header_list& in, std::string_view name) {
  for (const auto& [key, value] : in) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

}  // namespace chiveglade::net
