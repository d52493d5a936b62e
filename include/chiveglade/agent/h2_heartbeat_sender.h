// Sends heartbeats as POST /heartbeat on HTTP/2 streams.
#ifndef CHIVEGLADE_AGENT_H2_HEARTBEAT_SENDER_H_
#define CHIVEGLADE_AGENT_H2_HEARTBEAT_SENDER_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/net/h2_client.h"

namespace chiveglade::agent {

// Keeps one connection to each entry. Thread-safe.
class h2_heartbeat_sender {
 public:
  h2_heartbeat_sender(net::asio::io_context& loop,
                      net::h2_options options,
                      millis timeout);

  // Sends one encoded heartbeat and returns the encoded answer. Reasons:
  // "bad_address", "status" for an answer other than 200, and those of
  // net::Exchange.
  result<std::string> Send(const std::string& address,
                           const std::string& body,
                           const net::yield& yield);

  // Closes every connection; later calls fail.
  void Close();

 private:
  std::shared_ptr<net::h2_client> Client(const std::string& address);

  net::asio::io_context& loop_;
  net::h2_options options_;
  millis timeout_;
  std::mutex mutex_;
  bool closed_ = false;
  std::map<std::string, std::shared_ptr<net::h2_client>> clients_;
};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_H2_HEARTBEAT_SENDER_H_
