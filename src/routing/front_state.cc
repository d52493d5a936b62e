#include "front_state.h"

#include <utility>
#include <vector>

namespace chiveglade::routing {

front_state::front_state(front_options options, front_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      budget_(hooks_.clock) {}

std::shared_ptr<const route_table> front_state::routes() {
  const auto current = hooks_.manifest();
  const std::lock_guard lock(routes_mutex_);
  if (current && current != manifest_) {
    if (auto made = route_table::Make(*current)) {
      routes_ = *made;
    }
    manifest_ = current;
  }
  return routes_;
}

std::shared_ptr<net::h2_client> front_state::ConnectionTo(
    const std::string& address) {
  {
    agent_map::const_accessor at;
    if (agents_.find(at, address)) {
      return at->second;
    }
  }
  const auto parsed = config::ParseEndpoint(address);
  auto made = parsed ? hooks_.connect(*parsed) : nullptr;
  if (!made) {
    return nullptr;
  }
  {
    agent_map::accessor at;
    if (!agents_.insert(at, address)) {
      return at->second;  // another request connected first
    }
    at->second = made;
  }
  const std::lock_guard lock(agent_addresses_mutex_);
  agent_addresses_.insert(address);
  return made;
}

void front_state::CloseUnusedAgents() {
  const auto known = hooks_.directory->Addresses();
  std::vector<std::string> unused;
  {
    const std::lock_guard lock(agent_addresses_mutex_);
    for (const auto& each : agent_addresses_) {
      if (known.count(each) == 0) {
        unused.push_back(each);
      }
    }
    for (const auto& each : unused) {
      agent_addresses_.erase(each);
    }
  }
  for (const auto& each : unused) {
    std::shared_ptr<net::h2_client> closing;
    {
      agent_map::accessor at;
      if (agents_.find(at, each)) {
        closing = at->second;
        agents_.erase(at);
      }
    }
    if (closing) {
      closing->Close();
    }
  }
}

void front_state::CloseAgents() {
  std::set<std::string> all;
  {
    const std::lock_guard lock(agent_addresses_mutex_);
    all.swap(agent_addresses_);
  }
  for (const auto& each : all) {
    agent_map::accessor at;
    if (agents_.find(at, each)) {
      const auto closing = at->second;
      agents_.erase(at);
      closing->Close();
    }
  }
}

bool front_state::TryOpenRequest() {
  if (open_requests_.fetch_add(1) < options_.max_open_requests) {
    return true;
  }
  --open_requests_;
  return false;
}

bool front_state::TryReserveBody(size_t bytes) {
  if (held_body_bytes_.fetch_add(bytes) + bytes <=
      options_.max_held_body_bytes) {
    return true;
  }
  held_body_bytes_ -= bytes;
  return false;
}

}  // namespace chiveglade::routing
