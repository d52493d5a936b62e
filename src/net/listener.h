// Opens a listening TCP socket.
#ifndef CHIVEGLADE_SRC_NET_LISTENER_H_
#define CHIVEGLADE_SRC_NET_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "chiveglade/core/result.h"
#include "chiveglade/net/executor.h"

namespace chiveglade::net {

// Parses an IP address; reason "bad_address".
result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& ip,
                                              uint16_t port);

// Opens, binds and listens with SO_REUSEADDR; reason "listen_failed".
result<asio::ip::tcp::acceptor> Listen(asio::io_context& loop,
                                       const std::string& ip,
                                       uint16_t port);

// Waits after an error of accept that concerns the process and not one
// connection (no file descriptors left), so that the loop does not spin.
constexpr int kAcceptRetryMs = 20;

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_LISTENER_H_
