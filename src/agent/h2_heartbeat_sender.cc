#include "chiveglade/agent/h2_heartbeat_sender.h"

#include <utility>

#include "chiveglade/config/settings.h"
#include "chiveglade/state/heartbeat_codec.h"

namespace chiveglade::agent {

namespace {

constexpr int kOk = 200;

}  // namespace

h2_heartbeat_sender::h2_heartbeat_sender(net::asio::io_context& loop,
                                         net::h2_options options,
                                         millis timeout)
    : loop_(loop), options_(options), timeout_(timeout) {}

std::shared_ptr<net::h2_client> h2_heartbeat_sender::Client(
    const std::string& address) {
  const std::lock_guard lock(mutex_);
  if (closed_) {
    return nullptr;
  }
  if (const auto at = clients_.find(address); at != clients_.end()) {
    return at->second;
  }
  const auto to = config::ParseEndpoint(address);
  if (!to) {
    return nullptr;
  }
  auto client =
      net::h2_client::Make(loop_, to->ip, to->port, timeout_, options_);
  clients_[address] = client;
  return client;
}

result<std::string> h2_heartbeat_sender::Send(const std::string& address,
                                              const std::string& body,
                                              const net::yield& yield) {
  const auto client = Client(address);
  if (!client) {
    return reason{"bad_address", address + " cannot be connected to"};
  }
  const net::header_list fields = {{":method", "POST"},
                                   {":scheme", "http"},
                                   {":authority", address},
                                   {":path", "/heartbeat"},
                                   {"content-type", "application/cbor"}};
  auto reply = net::Exchange(*client, fields, body, state::kMaxHeartbeatBytes,
                             timeout_, yield);
  if (!reply) {
    return reply.last_reason();
  }
  if (reply->status != kOk) {
    return reason{"status",
                  "the entry answered " + std::to_string(reply->status)};
  }
  return std::move(reply->body);
}

void h2_heartbeat_sender::Close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  for (const auto& [address, client] : clients_) {
    client->Close();
  }
  clients_.clear();
}

}  // namespace chiveglade::agent
