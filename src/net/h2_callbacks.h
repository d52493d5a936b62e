// Connects nghttp2's callbacks to h2_session.
#ifndef CHIVEGLADE_SRC_NET_H2_CALLBACKS_H_
#define CHIVEGLADE_SRC_NET_H2_CALLBACKS_H_

#include <nghttp2/nghttp2.h>

#include <vector>

#include "src/net/h2_session.h"

namespace chiveglade::net {

// Creates an nghttp2 session with manual flow control that reports to `owner`.
nghttp2_session* NewNghttp2Session(h2_session& owner,
                                   h2_session::side which,
                                   const h2_options& options);

// The provider that takes body bytes from h2_stream_state::outbox.
nghttp2_data_provider OutboxProvider();

// The fields in nghttp2's form, without those that concern only an HTTP/1.1
// connection. They refer to `in`. Reason "bad_header" if a name or value is
// not allowed, "headers_too_large" above `max_bytes`.
result<std::vector<nghttp2_nv>> ToFields(const header_list& in,
                                         size_t max_bytes);

// What one field adds to the size of a header list (RFC 9113, section 6.5.2).
constexpr size_t kFieldOverheadBytes = 32;

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_H2_CALLBACKS_H_
