#include "vm_views.h"

#include <utility>

namespace chiveglade::authority {

bool vm_views::RecordHeartbeat(const state::heartbeat& message,
                               uint64_t epoch,
                               boot_time now) {
  auto at = views_.find(message.vm);
  if (at == views_.end()) {
    if (views_.size() >= kMaxViews) {
      return false;
    }
    at = views_.emplace(message.vm, vm_view{}).first;
    at->second.first_tick = message.tick;
  } else if (message.tick < at->second.latest.tick) {
    return false;
  }
  vm_view& view = at->second;
  view.latest = message;
  view.last_heartbeat_at = now;
  if (message.answered_epoch == epoch && !view.first_tick_of_epoch) {
    view.first_tick_of_epoch = message.tick;
  }
  updated_.insert(message.vm);
  return true;
}

vm_view* vm_views::Find(const state::vm_id& id) {
  const auto at = views_.find(id);
  return at == views_.end() ? nullptr : &at->second;
}

const vm_view* vm_views::Find(const state::vm_id& id) const {
  const auto at = views_.find(id);
  return at == views_.end() ? nullptr : &at->second;
}

void vm_views::RemoveOtherIncarnations(const state::vm_id& kept) {
  auto at = views_.lower_bound({kept.name, 0});
  while (at != views_.end() && at->first.name == kept.name) {
    if (at->first == kept) {
      ++at;
    } else {
      updated_.erase(at->first);
      at = views_.erase(at);
    }
  }
}

void vm_views::Remove(const state::vm_id& id) {
  views_.erase(id);
  updated_.erase(id);
}

void vm_views::Clear() {
  views_.clear();
  updated_.clear();
}

std::set<state::vm_id> vm_views::TakeUpdated() {
  return std::exchange(updated_, {});
}

void vm_views::RemoveOlder(
    boot_time limit,
    const std::function<bool(const state::vm_id&)>& keep) {
  for (auto at = views_.begin(); at != views_.end();) {
    if (at->second.last_heartbeat_at < limit && !keep(at->first)) {
      updated_.erase(at->first);
      at = views_.erase(at);
    } else {
      ++at;
    }
  }
}

}  // namespace chiveglade::authority
