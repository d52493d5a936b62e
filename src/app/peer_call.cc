#include "peer_call.h"

#include "chiveglade/workflow/message.h"

namespace chiveglade::app {

net::h2_options PeerOptions() {
  net::h2_options out;
  out.idle_timeout = kPeerIdleTimeout;
  return out;
}

result<net::h2_reply> CallPeer(peer_pool& peers,
                               const std::string& address,
                               const char* path,
                               const std::string& body,
                               millis timeout,
                               const net::yield& yield) {
  const auto client = peers.Find(address);
  if (!client) {
    return reason{"bad_address", address + " cannot be connected to"};
  }
  return net::Exchange(*client,
                       {{":method", "POST"},
                        {":scheme", "http"},
                        {":authority", address},
                        {":path", path}},
                       body, workflow::kMaxMessageBytes, timeout, yield);
}

}  // namespace chiveglade::app
