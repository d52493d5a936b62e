// Base64 with padding (RFC 4648, section 4).
#ifndef CHIVEGLADE_SRC_STORE_BASE64_H_
#define CHIVEGLADE_SRC_STORE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace chiveglade::store {

std::string EncodeBase64(std::string_view bytes);

// No value if the text is not exactly what EncodeBase64 returns for some bytes.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_SRC_STORE_BASE64_H_
