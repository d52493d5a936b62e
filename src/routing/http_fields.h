// Which header fields pass from one side of a proxy to the other.
#ifndef CHIVEGLADE_SRC_ROUTING_HTTP_FIELDS_H_
#define CHIVEGLADE_SRC_ROUTING_HTTP_FIELDS_H_

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chiveglade/net/h2_stream.h"

namespace chiveglade::routing {

// Header names of this project, see the design, section 5.
inline constexpr std::string_view kClassHeader = "chiveglade-class";
inline constexpr std::string_view kServiceHeader = "chiveglade-service";
inline constexpr std::string_view kDeadlineHeader = "chiveglade-deadline-ms";
inline constexpr std::string_view kRequestIdHeader = "chiveglade-request-id";
inline constexpr std::string_view kVerdictHeader = "chiveglade-verdict";
inline constexpr std::string_view kLoadHeader = "chiveglade-load";
// On refusals of an agent: the reason's code.
inline constexpr std::string_view kReasonHeader = "chiveglade-reason";

// The end-to-end fields of an HTTP/1.1 message with names in lower case:
// without those that concern only one connection (RFC 9110, section 7.6.1),
// and without those of this project, which neither side may forge.
net::header_list EndToEndFields(const boost::beast::http::fields& in);

// Appends fields as lines of an HTTP/1.1 message. Pseudo-headers, fields of one
// connection, and values that would break the message are left out.
void AppendFields(const net::header_list& in, std::string& out);

// Removes the fields of this project.
void RemoveInternal(net::header_list& in);

// The value of a header that holds a decimal number; none if it is absent or
// not a number.
std::optional<uint64_t> ParseDecimalHeader(std::string_view value);

// Whether an answer can have a body at all.
bool HasResponseBody(std::string_view method, int status);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_HTTP_FIELDS_H_
