// An HTTP/2 connection to another process of this project.
#ifndef CHIVEGLADE_NET_H2_CLIENT_H_
#define CHIVEGLADE_NET_H2_CLIENT_H_

#include <memory>
#include <string>

#include "chiveglade/net/h2_server.h"
#include "chiveglade/net/h2_stream.h"

namespace chiveglade::net {

// One peer, with one connection that is made when it is first needed and made
// again after it was lost or got a GOAWAY. Thread-safe.
class h2_client {
 public:
  virtual ~h2_client() = default;

  static std::shared_ptr<h2_client> Make(asio::io_context& loop,
                                         const std::string& ip,
                                         uint16_t port,
                                         millis connect_timeout,
                                         h2_options options);

  // Opens a stream and sends the request headers; `end` if there is no body.
  // A reason means that nothing reached the peer: the verdict is not_run.
  virtual result<h2_stream_ptr> Open(const header_list& fields,
                                     bool end,
                                     yield yield) = 0;

  // Lets open streams finish and then closes; later calls of Open fail.
  virtual void Close() = 0;
};

// Sends one small request and reads the whole answer body, at most `max_bytes`,
// within `timeout`. For heartbeats and other short messages.
struct h2_reply {
  int status = 0;
  header_list headers;
  std::string body;
};
result<h2_reply> Exchange(h2_client& client,
                          const header_list& fields,
                          const std::string& body,
                          size_t max_bytes,
                          millis timeout,
                          yield yield);

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_H2_CLIENT_H_
