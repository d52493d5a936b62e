#include "url.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace chiveglade::app {

namespace {

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return std::nullopt;
}

std::optional<std::string> Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) {
      return std::nullopt;
    }
    const auto high = HexDigit(text[i + 1]);
    const auto low = HexDigit(text[i + 2]);
    if (!high || !low) {
      return std::nullopt;
    }
    out += static_cast<char>(*high * 16 + *low);
    i += 2;
  }
  return out;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  size_t from = 0;
  while (from <= text.size()) {
    const size_t to = std::min(text.find(separator, from), text.size());
    if (to > from) {
      parts.push_back(text.substr(from, to - from));
    }
    from = to + 1;
  }
  return parts;
}

}  // namespace

std::string parsed_target::Query(const std::string& name) const {
  const auto at = query.find(name);
  return at == query.end() ? std::string() : at->second;
}

result<parsed_target> ParseTarget(const std::string& target) {
  const reason malformed{"bad_target", "the request target is malformed"};
  const size_t mark = std::min(target.find('?'), target.size());
  parsed_target out;
  for (const auto& part : Split(target.substr(0, mark), '/')) {
    auto segment = Unescape(part);
    if (!segment) {
      return malformed;
    }
    out.segments.push_back(*std::move(segment));
  }
  if (mark == target.size()) {
    return out;
  }
  for (const auto& pair : Split(target.substr(mark + 1), '&')) {
    const size_t equals = std::min(pair.find('='), pair.size());
    const auto name = Unescape(pair.substr(0, equals));
    const auto value = Unescape(
        equals == pair.size() ? std::string() : pair.substr(equals + 1));
    if (!name || !value || !out.query.emplace(*name, *value).second) {
      return malformed;
    }
  }
  return out;
}

std::string EscapeUrl(const std::string& text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += kDigits[c >> 4];
      out += kDigits[c & 0xf];
    }
  }
  return out;
}

}  // namespace chiveglade::app
