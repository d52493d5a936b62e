#include "src/net/admission_ledger.h"

#include <algorithm>
#include <cassert>

namespace chiveglade::net {

namespace {

// A connection that has just made progress counts as stalled for this long, so
// that among connections that all make progress the largest is chosen.
constexpr millis kLeastStall{50};

// Closing makes room for this share of the budget, and for this share of the
// connections of a port, so that the connections are not compared again for
// each byte and each connection that follows.
constexpr uint64_t kFreedShare = 8;
constexpr uint32_t kClosedShare = 64;

// What connections that are being closed hold in excess of the budget is
// bounded by this share of it: they may have handlers that are still running.
constexpr uint64_t kClosingShare = 4;

// A connection that was idle for less may be a kept one whose next request is
// on its way.
constexpr millis kLeastIdle{1'000};

double Score(uint64_t bytes, boot_time progress, boot_time now) {
  return static_cast<double>(bytes) *
         static_cast<double>((now - progress + kLeastStall).count());
}

}  // namespace

admission_ledger::opening admission_ledger::Open(uint32_t port,
                                                 const port_limits& limits,
                                                 const std::string& address,
                                                 boot_time now) {
  opening out;
  const bool counts_addresses = limits.max_per_address > 0;
  if (counts_addresses) {
    const auto found = by_address_.find(address);
    if (found != by_address_.end() && found->second >= limits.max_per_address) {
      out.outcome = decision::kTooManyOfAddress;
      return out;
    }
  }
  uint32_t& of_port = by_port_[port];
  if (of_port >= limits.max_connections) {
    out.victims = TakeIdlest(port, now);
    if (out.victims.empty()) {
      out.outcome = decision::kTooManyConnections;
      return out;
    }
  }
  if (free_.empty()) {
    out.account = static_cast<ticket>(entries_.size());
    entries_.emplace_back();
  } else {
    out.account = free_.back();
    free_.pop_back();
  }
  entries_[out.account] = {
      true, false, false, port, 0, now, counts_addresses ? address : ""};
  ++of_port;
  ++open_;
  if (counts_addresses) {
    ++by_address_[address];
  }
  return out;
}

void admission_ledger::Close(ticket account) {
  entry& at = entries_[account];
  assert(at.open && "closed once");
  held_bytes_ -= at.bytes;
  if (at.closing) {
    closing_bytes_ -= at.bytes;
  } else {
    --by_port_[at.port];
  }
  --open_;
  if (!at.address.empty()) {
    const auto found = by_address_.find(at.address);
    if (--found->second == 0) {
      by_address_.erase(found);
    }
  }
  at = {};
  free_.push_back(account);
}

admission_ledger::charge admission_ledger::Set(ticket account,
                                               uint64_t bytes,
                                               bool is_protected,
                                               boot_time now) {
  entry& at = entries_[account];
  assert(at.open && "an account is used while it is open");
  const bool grows = bytes > at.bytes;
  held_bytes_ += bytes - at.bytes;
  if (at.closing) {
    closing_bytes_ += bytes - at.bytes;
  }
  at.bytes = bytes;
  at.is_protected = is_protected;
  at.progress = now;
  charge out;
  if (grows && !at.closing && held_bytes_ - closing_bytes_ > budget_bytes_) {
    out.victims = TakeLargestStalled(now);
    std::erase(out.victims, account);
    out.admitted = held_bytes_ - closing_bytes_ <= budget_bytes_;
  }
  if (grows && held_bytes_ > budget_bytes_ + budget_bytes_ / kClosingShare) {
    out.admitted = false;
  }
  out.admitted &= !at.closing;
  return out;
}

std::vector<admission_ledger::ticket> admission_ledger::TakeLargestStalled(
    boot_time now) {
  std::vector<std::pair<double, ticket>> candidates;
  for (ticket i = 0; i < entries_.size(); ++i) {
    const entry& at = entries_[i];
    if (at.open && !at.closing && !at.is_protected && at.bytes > 0) {
      candidates.emplace_back(Score(at.bytes, at.progress, now), i);
    }
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  std::vector<ticket> out;
  const uint64_t target = budget_bytes_ - budget_bytes_ / kFreedShare;
  for (const auto& [score, account] : candidates) {
    if (held_bytes_ - closing_bytes_ <= target) {
      break;
    }
    entry& at = entries_[account];
    at.closing = true;
    --by_port_[at.port];
    closing_bytes_ += at.bytes;
    out.push_back(account);
  }
  return out;
}

std::vector<admission_ledger::ticket> admission_ledger::TakeIdlest(
    uint32_t port,
    boot_time now) {
  std::vector<std::pair<boot_time, ticket>> candidates;
  for (ticket i = 0; i < entries_.size(); ++i) {
    const entry& at = entries_[i];
    if (at.open && !at.closing && !at.is_protected && at.port == port &&
        now - at.progress >= kLeastIdle) {
      candidates.emplace_back(at.progress, i);
    }
  }
  const size_t count =
      std::min<size_t>(candidates.size(), 1 + by_port_[port] / kClosedShare);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<ptrdiff_t>(count),
                    candidates.end());
  std::vector<ticket> out;
  for (size_t i = 0; i < count; ++i) {
    entry& at = entries_[candidates[i].second];
    at.closing = true;
    --by_port_[port];
    closing_bytes_ += at.bytes;
    out.push_back(candidates[i].second);
  }
  return out;
}

}  // namespace chiveglade::net
