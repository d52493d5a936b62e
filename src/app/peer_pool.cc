#include "peer_pool.h"

namespace chiveglade::app {

namespace {

constexpr millis kConnectTimeout{1'000};

}  // namespace

std::shared_ptr<net::h2_client> peer_pool::Find(const std::string& address) {
  const auto at = config::ParseEndpoint(address);
  return at ? Find(*at) : nullptr;
}

std::shared_ptr<net::h2_client> peer_pool::Find(const config::endpoint& at) {
  const std::lock_guard lock(mutex_);
  if (clients_.size() >= kMaxClients) {
    DropUnused();
  }
  auto& client = clients_[ToString(at)];
  if (!client) {
    client =
        net::h2_client::Make(loop_, at.ip, at.port, kConnectTimeout, options_);
  }
  return client;
}

void peer_pool::DropUnused() {
  std::erase_if(clients_,
                [](const auto& item) { return item.second.use_count() == 1; });
}

void peer_pool::CloseAll() {
  const std::lock_guard lock(mutex_);
  for (const auto& [address, client] : clients_) {
    client->Close();
  }
  clients_.clear();
}

}  // namespace chiveglade::app
