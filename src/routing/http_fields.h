// Selects the header fields that a proxy forwards.
#ifndef CHIVEGLADE_SRC_ROUTING_HTTP_FIELDS_H_
#define CHIVEGLADE_SRC_ROUTING_HTTP_FIELDS_H_

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chiveglade/net/h2_stream.h"

namespace chiveglade::routing {

// Header names of this project; see the design, section 5.
inline constexpr std::string_view kClassHeader = "chiveglade-class";
inline constexpr std::string_view kServiceHeader = "chiveglade-service";
inline constexpr std::string_view kDeadlineHeader = "chiveglade-deadline-ms";
inline constexpr std::string_view kRequestIdHeader = "chiveglade-request-id";
inline constexpr std::string_view kVerdictHeader = "chiveglade-verdict";
inline constexpr std::string_view kLoadHeader = "chiveglade-load";
// Reason code on an agent's refusal.
inline constexpr std::string_view kReasonHeader = "chiveglade-reason";

// Returns the end-to-end fields of an HTTP/1.1 message with lower-case names.
// Omits the fields that apply to a single connection (RFC 9110, section 7.6.1)
// and the fields of this project, which neither side may forge.
net::header_list EndToEndFields(const boost::beast::http::fields& in);

// Appends fields as lines of an HTTP/1.1 message. Omits pseudo-headers, fields
// that apply to a single connection, and values with CR, LF or NUL, which would
// corrupt the message.
void AppendFields(const net::header_list& in, std::string& out);

// Removes the fields of this project.
void RemoveInternal(net::header_list& in);

// Parses a header value as a decimal number; nullopt if it is empty or not a
// number.
std::optional<uint64_t> ParseDecimalHeader(std::string_view value);

// Returns whether a response to `method` with this status can have a body.
bool HasResponseBody(std::string_view method, int status);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_HTTP_FIELDS_H_
