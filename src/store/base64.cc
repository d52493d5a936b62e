#include "src/store/base64.h"

#include <array>
#include <cstdint>

namespace chiveglade::store {

namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr uint8_t kInvalid = 0xff;

constexpr std::array<uint8_t, 256> MakeValues() {
  std::array<uint8_t, 256> out{};
  for (auto& value : out) {
    value = kInvalid;
  }
  for (size_t i = 0; i < kAlphabet.size(); ++i) {
    out[static_cast<uint8_t>(kAlphabet[i])] = static_cast<uint8_t>(i);
  }
  return out;
}
constexpr auto kValues = MakeValues();

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (size_t at = 0; at < bytes.size(); at += 3) {
    const size_t size = std::min<size_t>(3, bytes.size() - at);
    uint32_t group = 0;
    for (size_t i = 0; i < 3; ++i) {
      group =
          (group << 8) | (i < size ? static_cast<uint8_t>(bytes[at + i]) : 0);
    }
    for (size_t i = 0; i < 4; ++i) {
      out += i <= size ? kAlphabet[(group >> (18 - 6 * i)) & 63] : '=';
    }
  }
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  size_t padding = 0;
  while (padding < 2 && !text.empty() && text.back() == '=') {
    text.remove_suffix(1);
    ++padding;
  }
  std::string out;
  out.reserve(text.size() / 4 * 3 + 2);
  uint32_t bits = 0;
  unsigned held = 0;
  for (const char c : text) {
    const uint8_t value = kValues[static_cast<uint8_t>(c)];
    if (value == kInvalid) {
      return std::nullopt;
    }
    bits = (bits << 6) | value;
    held += 6;
    if (held >= 8) {
      held -= 8;
      out += static_cast<char>(bits >> held);
      bits &= (1U << held) - 1;
    }
  }
  // Bits left over must be zero, so that each value has one encoding.
  return bits == 0 && held == 2 * padding ? std::optional(out) : std::nullopt;
}

}  // namespace chiveglade::store
