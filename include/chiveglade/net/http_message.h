// HTTP/1.1 requests and answers with buffered bodies.
#ifndef CHIVEGLADE_NET_HTTP_MESSAGE_H_
#define CHIVEGLADE_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>

#include "chiveglade/core/verdict.h"
#include "chiveglade/net/h2_stream.h"

namespace chiveglade::net {

// A request as received or to be sent. Names in `headers` are in lower case.
// Content-Length, Transfer-Encoding and Connection are set by the sender of the
// message and ignored in `headers`.
struct http_request {
  std::string method = "GET";
  std::string target = "/";  // path and query
  header_list headers;
  std::string body;
  friend bool operator==(const http_request&, const http_request&) = default;
};

// An answer, with the same rules for `headers`.
struct http_reply {
  int status = 200;
  header_list headers;
  std::string body;
  friend bool operator==(const http_reply&, const http_reply&) = default;
};

// The path of a request target without its query.
std::string_view PathOf(std::string_view target);

// The JSON refusal that this project's servers send:
// {"verdict","reason","detail"}.
http_reply MakeRefusal(int status,
                       verdict effect,
                       const std::string& reason_code,
                       const std::string& detail);

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_HTTP_MESSAGE_H_
