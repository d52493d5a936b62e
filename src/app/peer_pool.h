// Connections to other processes of the system, by address.
#ifndef CHIVEGLADE_APP_PEER_POOL_H_
#define CHIVEGLADE_APP_PEER_POOL_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chiveglade/config/settings.h"
#include "chiveglade/net/h2_client.h"

namespace chiveglade::app {

// Thread-safe. Lock order: the mutex is a leaf.
class peer_pool {
 public:
  explicit peer_pool(net::asio::io_context& loop, net::h2_options options = {})
      : loop_(loop), options_(options) {}

  // The client for "ip:port"; null if that is not an address.
  std::shared_ptr<net::h2_client> Find(const std::string& address);
  std::shared_ptr<net::h2_client> Find(const config::endpoint& at);

  void CloseAll();

 private:
  // VMs come and go; beyond this number all unused clients are dropped.
  static constexpr size_t kMaxClients = 4'096;

  void DropUnused();

  net::asio::io_context& loop_;
  const net::h2_options options_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<net::h2_client>> clients_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_PEER_POOL_H_
