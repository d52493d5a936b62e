// HTTP/2 frames written by hand, for peers that misbehave.
#ifndef CHIVEGLADE_TESTS_NET_H2_FRAMES_H_
#define CHIVEGLADE_TESTS_NET_H2_FRAMES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace chiveglade::net {

constexpr std::string_view kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Frame types and flags (RFC 9113, section 6).
constexpr uint8_t kDataFrame = 0;
constexpr uint8_t kHeadersFrame = 1;
constexpr uint8_t kResetFrame = 3;
constexpr uint8_t kSettingsFrame = 4;
constexpr uint8_t kGoawayFrame = 7;
constexpr uint8_t kEndStream = 1;
constexpr uint8_t kAck = 1;
constexpr uint8_t kEndHeaders = 4;

inline std::string Number32(uint32_t in) {
  return {static_cast<char>(in >> 24), static_cast<char>(in >> 16),
          static_cast<char>(in >> 8), static_cast<char>(in)};
}

inline std::string Frame(uint8_t type,
                         uint8_t flags,
                         uint32_t stream,
                         const std::string& payload) {
  std::string out = Number32(static_cast<uint32_t>(payload.size())).substr(1);
  out += static_cast<char>(type);
  out += static_cast<char>(flags);
  return out + Number32(stream) + payload;
}

// One field as an HPACK literal without indexing; both parts under 127 bytes.
inline std::string Literal(const std::string& name, const std::string& value) {
  return std::string(1, '\0') + static_cast<char>(name.size()) + name +
         static_cast<char>(value.size()) + value;
}

// HEADERS of a request without a body.
inline std::string RequestFrame(uint32_t stream, const std::string& method) {
  return Frame(kHeadersFrame, kEndHeaders | kEndStream, stream,
               Literal(":method", method) + Literal(":scheme", "http") +
                   Literal(":path", "/") + Literal(":authority", "a"));
}

// What a well-behaved client sends first.
inline std::string ClientStart() {
  return std::string(kPreface) + Frame(kSettingsFrame, 0, 0, "");
}

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_TESTS_NET_H2_FRAMES_H_
