// Percent-encoding of object keys in paths (RFC 3986, section 2.1).
#ifndef CHIVEGLADE_SRC_STORE_PERCENT_ENCODING_H_
#define CHIVEGLADE_SRC_STORE_PERCENT_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace chiveglade::store {

// Encodes every byte that is neither unreserved nor a slash.
std::string EncodePercent(std::string_view in);

// No value if an escape is incomplete or not hexadecimal.
std::optional<std::string> DecodePercent(std::string_view in);

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_SRC_STORE_PERCENT_ENCODING_H_
