// Makes calls of the worker's control interface over HTTP/1.1.
#ifndef CHIVEGLADE_AGENT_WORKER_CLIENT_H_
#define CHIVEGLADE_AGENT_WORKER_CLIENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "chiveglade/agent/worker_call.h"
#include "chiveglade/agent/worker_codec.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/net/http_client.h"

namespace chiveglade::agent {

// How a call ended; `listing` only for a list call that succeeded.
struct worker_reply {
  worker_call_outcome outcome;
  std::optional<worker_listing> listing;
};

// Thread-safe as net::http_client is. Calls of several coroutines run side by
// side on connections of their own.
class worker_client {
 public:
  worker_client(net::asio::io_context& loop,
                const std::string& ip,
                uint16_t port);

  // Makes one call and waits for its answer, at most kStartCallLimit for the
  // connection and twice that for the answer.
  worker_reply Call(const worker_call& call, const net::yield& yield);

  // Later calls are not sent.
  void Close();

 private:
  std::shared_ptr<net::http_client> client_;
};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_WORKER_CLIENT_H_
