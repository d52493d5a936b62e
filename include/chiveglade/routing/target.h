// One replica of a service, with its load and health as this process sees them.
#ifndef CHIVEGLADE_ROUTING_TARGET_H_
#define CHIVEGLADE_ROUTING_TARGET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/state/heartbeat.h"

namespace chiveglade::routing {

// The state that all targets on one VM share.
struct vm_record {
  std::string name;
  std::string data_centre;
  std::string address;                      // "ip:port" of the agent
  std::atomic<int64_t> last_seen_ms{0};     // boot clock, last heartbeat
  std::atomic<bool> leaving{false};         // takes no new requests
  std::atomic<bool> out_of_service{false};  // set by operators
};

// The health of all targets of one service.
struct service_health {
  std::atomic<int32_t> unhealthy_targets{0};  // at the failure threshold
};

// When and for how long a failing target is ejected.
struct ejection_policy {
  uint32_t failure_threshold = 5;  // consecutive failures
  millis initial_duration{5'000};  // doubles with each ejection
  millis max_duration{60'000};
};

// One replica of a service. Thread-safe.
class target {
 public:
  target(std::string service,
         std::shared_ptr<vm_record> vm,
         std::shared_ptr<service_health> health,
         ejection_policy policy);
  ~target();
  target(const target&) = delete;
  target& operator=(const target&) = delete;

  const std::string& service() const { return service_; }
  const vm_record& vm() const { return *vm_; }
  const std::shared_ptr<service_health>& health() const { return health_; }

  // Replaces the load that the agent reported.
  void SetLoad(const state::target_load& load);
  // Requests reported by the agent plus open requests of this process.
  uint32_t load() const;
  uint32_t own_open_requests() const {
    return open_requests_.load(std::memory_order_relaxed);
  }
  // load() divided by the slots; above 1, requests queue at the agent.
  double utilisation() const;
  uint32_t latency_us() const { return latency_us_.load(); }

  bool IsEjected(boot_time now) const;
  // Records a successful request and marks the target healthy.
  void OnSuccess();
  // Records a failed request. Ejects the target once the number of consecutive
  // failures reaches the threshold.
  void OnFailure(boot_time now);

  void AddOpenRequest() {
    open_requests_.fetch_add(1, std::memory_order_relaxed);
  }
  void RemoveOpenRequest() {
    open_requests_.fetch_sub(1, std::memory_order_relaxed);
  }

 private:
  const std::string service_;
  const std::shared_ptr<vm_record> vm_;
  const std::shared_ptr<service_health> health_;
  const ejection_policy policy_;
  std::atomic<uint32_t> slots_{1};
  std::atomic<uint32_t> reported_load_{0};
  std::atomic<uint32_t> latency_us_{0};
  std::atomic<uint32_t> open_requests_{0};
  std::atomic<int64_t> ejected_until_ms_{0};
  std::mutex mutex_;  // guards changes of the two counts below
  std::atomic<uint32_t> consecutive_failures_{0};
  uint32_t consecutive_ejections_ = 0;
};

using target_ptr = std::shared_ptr<target>;

// Counts a request as open at a target for the lifetime of this object.
class open_request {
 public:
  explicit open_request(target_ptr opened) : target_(std::move(opened)) {
    target_->AddOpenRequest();
  }
  open_request(open_request&& other) noexcept = default;
  open_request& operator=(open_request&& other) noexcept;
  // A copy would decrement the target's count twice.
  open_request(const open_request&) = delete;
  open_request& operator=(const open_request&) = delete;
  ~open_request();

  target& get() const { return *target_; }
  const std::string& vm() const { return target_->vm().name; }
  const std::string& address() const { return target_->vm().address; }

 private:
  target_ptr target_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_TARGET_H_
