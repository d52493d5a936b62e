// What one end of an HTTP/2 connection knows about one stream.
#ifndef CHIVEGLADE_SRC_NET_H2_STREAM_STATE_H_
#define CHIVEGLADE_SRC_NET_H2_STREAM_STATE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "chiveglade/core/result.h"
#include "chiveglade/core/verdict.h"
#include "chiveglade/net/h2_stream.h"

namespace chiveglade::net {

// Resumes the caller of a suspended call; empty if none is suspended.
template <typename T>
using resume_fn = std::function<void(T)>;

// Calls `slot` once, if it is set, and clears it.
template <typename T>
void Resume(resume_fn<T>& slot, T value) {
  if (slot) {
    std::exchange(slot, nullptr)(std::move(value));
  }
}

// Used on the strand of the connection only, except for `request_headers`,
// which do not change once the stream has been handed out, and the atomics.
struct h2_stream_state {
  int32_t id = 0;
  header_list request_headers;
  header_list response_headers;
  size_t header_bytes = 0;  // as SETTINGS_MAX_HEADER_LIST_SIZE counts them
  bool header_limit_exceeded = false;
  bool has_response = false;  // final response headers received or submitted

  uint64_t answers_before = 0;  // of the connection, when it was submitted

  std::string inbox;      // received, not yet read
  size_t inbox_read = 0;  // bytes of it already read
  size_t received = 0;    // header and body bytes, read or not
  bool discards = false;  // received bytes are dropped

  std::string_view outbox;   // of the suspended Write
  bool outbox_ends = false;  // END_STREAM follows the outbox
  bool local_end_queued = false;
  bool local_end_sent = false;
  bool reset_when_ended = false;  // RST_STREAM once END_STREAM has been sent

  // Unknown to the protocol layer from now on.
  std::atomic<bool> closed = false;
  std::optional<reason> failure;  // why calls fail from now on

  resume_fn<result<header_list>> on_headers;
  resume_fn<result<size_t>> on_read;
  char* read_into = nullptr;
  size_t read_size = 0;
  resume_fn<result<done>> on_written;

  // Inputs of the client's verdict.
  std::atomic<bool> handed_over = false;  // request headers given to the socket
  std::atomic<bool> refused = false;      // the peer said it did not process it
  std::atomic<bool> remote_end = false;   // END_STREAM received

  size_t unread() const { return inbox.size() - inbox_read; }
};

using h2_stream_state_ptr = std::shared_ptr<h2_stream_state>;

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_H2_STREAM_STATE_H_
