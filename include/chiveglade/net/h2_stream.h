// One HTTP/2 stream between two processes of this project.
#ifndef CHIVEGLADE_NET_H2_STREAM_H_
#define CHIVEGLADE_NET_H2_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chiveglade/core/result.h"
#include "chiveglade/core/verdict.h"
#include "chiveglade/net/executor.h"

namespace chiveglade::net {

// Header fields in order, names in lower case, with the pseudo-headers.
using header_list = std::vector<std::pair<std::string, std::string>>;

// The first value of a header, or empty.
std::string_view FindHeader(const header_list& in, std::string_view name);

// HTTP/2 error codes that this project sends (RFC 9113, section 7).
enum class h2_error : uint32_t {
  kNoError = 0x0,
  kInternal = 0x2,
  kRefusedStream = 0x7,
  kCancel = 0x8,
  kEnhanceYourCalm = 0xb,
};

// One stream, on either side. Calls may be made from any coroutine; they are
// carried out on the strand of the connection, and the coroutine goes on in its
// own executor. At most one Read and one Write at a time. Received bytes count
// against the flow-control window until Read has handed them out, so a slow
// reader stops the sender and memory stays bounded by the window.
class h2_stream {
 public:
  virtual ~h2_stream() = default;

  // Client: sends nothing until the first Write after Open. Server: the
  // request headers.
  virtual const header_list& request_headers() const = 0;

  // Client: waits for the response headers.
  virtual result<header_list> ReadHeaders(yield yield) = 0;

  // Server: sends response headers; `end` closes the sending direction.
  virtual result<done> WriteHeaders(const header_list& fields,
                                    bool end,
                                    yield yield) = 0;

  // Reads at most `size` bytes of the body; 0 is its regular end. A reset or a
  // lost connection is a reason, never an end.
  virtual result<size_t> Read(char* into, size_t size, yield yield) = 0;

  // Sends body bytes, waiting for the flow-control window as needed.
  virtual result<done> Write(std::string_view bytes, bool end, yield yield) = 0;

  // Ends the stream in both directions with an error code. Pending calls fail.
  virtual void Reset(h2_error code) = 0;

  // Client: sends a PING on the connection of the stream.
  virtual void Probe() = 0;

  // Client: like Reset(kCancel), because the answer is late. If the peer has
  // answered nothing on the connection since the request was sent, it takes no
  // new streams, and the next call connects anew.
  virtual void TimeOut() = 0;

  // Client: whether the peer may have acted on the request, judged by RFC 9113:
  // not_run if no byte of it was handed to the connection, if the peer reset
  // the stream with REFUSED_STREAM, or if a GOAWAY named a lower last stream.
  virtual verdict delivery() const = 0;
};

using h2_stream_ptr = std::shared_ptr<h2_stream>;

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_H2_STREAM_H_
