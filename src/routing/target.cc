#include "chiveglade/routing/target.h"

#include <algorithm>
#include <utility>

namespace chiveglade::routing {

target::target(std::string service,
               std::shared_ptr<vm_record> vm,
               std::shared_ptr<service_health> health,
               ejection_policy policy)
    : service_(std::move(service)),
      vm_(std::move(vm)),
      health_(std::move(health)),
      policy_(policy) {}

target::~target() {
  if (consecutive_failures_ >= policy_.failure_threshold) {
    --health_->unhealthy_targets;
  }
}

void target::SetLoad(const state::target_load& load) {
  slots_ = std::max<uint32_t>(load.slots, 1);
  reported_load_ = load.in_use + load.queued;
  latency_us_ = load.latency_us;
}

uint32_t target::load() const {
  return reported_load_.load(std::memory_order_relaxed) + own_open_requests();
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
  // Fast path without the lock: most requests succeed at a healthy target.
  if (consecutive_failures_.load(std::memory_order_relaxed) == 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (consecutive_failures_ >= policy_.failure_threshold) {
    --health_->unhealthy_targets;
  }
  consecutive_failures_ = 0;
  consecutive_ejections_ = 0;
  ejected_until_ms_ = 0;
}

void target::OnFailure(boot_time now) {
  const std::lock_guard lock(mutex_);
  ++consecutive_failures_;
  if (consecutive_failures_ == policy_.failure_threshold) {
    ++health_->unhealthy_targets;
  }
  // Failures of requests that were open when the target was ejected must not
  // extend the ejection.
  if (consecutive_failures_ < policy_.failure_threshold || IsEjected(now)) {
    return;
  }
  const uint32_t doublings = std::min<uint32_t>(consecutive_ejections_, 20);
  const millis duration = std::min(policy_.initial_duration * (1 << doublings),
                                   policy_.max_duration);
  ++consecutive_ejections_;
  ejected_until_ms_ = (now + duration).time_since_epoch().count();
}

open_request& open_request::operator=(open_request&& other) noexcept {
  std::swap(target_, other.target_);
  return *this;
}

open_request::~open_request() {
  if (target_) {
    target_->RemoveOpenRequest();
  }
}

}  // namespace chiveglade::routing
