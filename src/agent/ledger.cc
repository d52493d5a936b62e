#include "ledger.h"

#include <algorithm>

namespace chiveglade::agent {

bool HoldsResources(const attempt_record& record) {
  switch (record.phase) {
    case attempt_phase::kStarting:
    case attempt_phase::kRunning:
    case attempt_phase::kStopping:
      return true;
    case attempt_phase::kOrdered:
    case attempt_phase::kEnded:
      return record.live_at_worker;
  }
  return true;
}

attempt_record* ledger::Find(const state::attempt_id& attempt) {
  const auto at = records_.find(attempt);
  return at == records_.end() ? nullptr : &at->second;
}

attempt_record& ledger::Add(const state::attempt_id& attempt) {
  auto& record = records_[attempt];
  record.attempt = attempt;
  return record;
}

resources ledger::Used() const {
  resources sum;
  for (const auto& [id, record] : records_) {
    if (HoldsResources(record)) {
      sum += record.size;
    }
  }
  return sum;
}

uint32_t ledger::NewestNumber(const state::task_id& task) const {
  const auto over = over_.find(task);
  uint32_t newest = over == over_.end() ? 0 : over->second.number;
  for (auto at = records_.lower_bound({task, 0});
       at != records_.end() && at->first.task == task; ++at) {
    newest = std::max(newest, at->first.number);
  }
  return newest;
}

bool ledger::HasOtherLive(const state::attempt_id& attempt) const {
  for (auto at = records_.lower_bound({attempt.task, 0});
       at != records_.end() && at->first.task == attempt.task; ++at) {
    if (at->first != attempt && HoldsResources(at->second)) {
      return true;
    }
  }
  return false;
}

ledger::record_map::iterator ledger::Retire(record_map::iterator at,
                                            boot_time now) {
  const auto& id = at->first;
  auto& over = over_[id.task];
  over.number = std::max(over.number, id.number);
  over.until = now + kMemory;
  over_order_.emplace_back(over.until, id.task);
  return records_.erase(at);
}

void ledger::Expire(boot_time now) {
  while (!over_order_.empty() && over_order_.front().first <= now) {
    const auto at = over_.find(over_order_.front().second);
    if (at != over_.end() && at->second.until <= now) {
      over_.erase(at);
    }
    over_order_.pop_front();
  }
}

}  // namespace chiveglade::agent
