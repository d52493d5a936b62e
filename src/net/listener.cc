#include "src/net/listener.h"

#include <boost/asio/strand.hpp>

namespace chiveglade::net {

result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& ip,
                                              uint16_t port) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(ip, error);
  if (error) {
    return reason{"bad_address", "not an IP address: " + ip};
  }
  return asio::ip::tcp::endpoint(address, port);
}

result<asio::ip::tcp::acceptor> Listen(asio::io_context& loop,
                                       const std::string& ip,
                                       uint16_t port) {
  const auto endpoint = ParseEndpoint(ip, port);
  if (!endpoint) {
    return endpoint.last_reason();
  }
  asio::ip::tcp::acceptor out(asio::make_strand(loop));
  boost::system::error_code error;
  out.open(endpoint->protocol(), error);
  if (!error) {
    out.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    out.bind(*endpoint, error);
  }
  if (!error) {
    out.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return reason{"listen_failed",
                  ip + ":" + std::to_string(port) + ": " + error.message()};
  }
  return out;
}

}  // namespace chiveglade::net
