#include "src/store/percent_encoding.h"

#include <cctype>
#include <charconv>

namespace chiveglade::store {

namespace {

bool IsPlain(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("-._~/").find(c) != std::string_view::npos;
}

}  // namespace

std::string EncodePercent(std::string_view in) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : in) {
    if (IsPlain(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
  return out;
}

std::optional<std::string> DecodePercent(std::string_view in) {
  std::string out;
  for (size_t at = 0; at < in.size(); ++at) {
    if (in[at] != '%') {
      out += in[at];
      continue;
    }
    unsigned byte = 0;
    const auto digits = in.substr(at + 1, 2);
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (error != std::errc() || digits.size() != 2 ||
        end != digits.data() + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    at += 2;
  }
  return out;
}

}  // namespace chiveglade::store
