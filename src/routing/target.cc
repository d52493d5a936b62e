#include "chiveglade/routing/target.h"

#include <algorithm>
#include <utility>

namespace chiveglade::routing {

target::target(std::string service,
               std::shared_ptr<vm_record> vm,
               std::shared_ptr<service_health> health,
               ejection_rule rule)
    : service_(std::move(service)),
      vm_(std::move(vm)),
      health_(std::move(health)),
      rule_(rule) {}

target::~target() {
  if (failures_ >= rule_.failures) {
    --health_->unhealthy;
  }
}

void target::SetLoad(const state::target_load& load) {
  slots_ = std::max<uint32_t>(load.slots, 1);
  reported_ = load.in_use + load.queued;
  latency_us_ = load.latency_us;
}

uint32_t target::load() const {
  return reported_.load(std::memory_order_relaxed) + own_open();
}

double target::utilisation() const {
  return static_cast<double>(load()) /
         static_cast<double>(slots_.load(std::memory_order_relaxed));
}

bool target::IsEjected(boot_time now) const {
  return now.time_since_epoch().count() <
         ejected_until_ms_.load(std::memory_order_relaxed);
}

void target::OnSuccess() {
  // Most requests succeed at a healthy target and need no lock.
  if (failures_.load(std::memory_order_relaxed) == 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (failures_ >= rule_.failures) {
    --health_->unhealthy;
  }
  failures_ = 0;
  ejections_ = 0;
  ejected_until_ms_ = 0;
}

void target::OnFailure(boot_time now) {
  const std::lock_guard lock(mutex_);
  ++failures_;
  if (failures_ == rule_.failures) {
    ++health_->unhealthy;
  }
  // Requests that were already open when the target was ejected must not
  // prolong the ejection.
  if (failures_ < rule_.failures || IsEjected(now)) {
    return;
  }
  const uint32_t doublings = std::min<uint32_t>(ejections_, 20);
  const millis length = std::min(rule_.first * (1 << doublings), rule_.longest);
  ++ejections_;
  ejected_until_ms_ = (now + length).time_since_epoch().count();
}

open_request& open_request::operator=(open_request&& other) noexcept {
  std::swap(at_, other.at_);
  return *this;
}

open_request::~open_request() {
  if (at_) {
    at_->Close();
  }
}

}  // namespace chiveglade::routing
