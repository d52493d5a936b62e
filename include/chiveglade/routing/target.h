// One back end and the requests that this process has open there.
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

// What all targets on one VM have in common.
struct vm_record {
  std::string name;
  std::string data_centre;
  std::string address;  // "ip:port" of the agent
  std::atomic<int64_t> last_seen_ms{0};
  std::atomic<bool> leaving{false};
  std::atomic<bool> out{false};  // taken out of service by operators
};

// The health of a service's targets as a whole.
struct service_health {
  std::atomic<int32_t> unhealthy{0};
};

// When a failing target is ejected.
struct ejection_rule {
  uint32_t failures = 5;
  millis first{5'000};
  millis longest{60'000};
};

// One replica of a service. Thread-safe.
class target {
 public:
  target(std::string service,
         std::shared_ptr<vm_record> vm,
         std::shared_ptr<service_health> health,
         ejection_rule rule);
  ~target();
  target(const target&) = delete;
  target& operator=(const target&) = delete;

  const std::string& service() const { return service_; }
  const vm_record& vm() const { return *vm_; }
  const std::shared_ptr<service_health>& health() const { return health_; }

  // Load reported by the agent.
  void SetLoad(const state::target_load& load);
  // Reported and own open requests.
  uint32_t load() const;
  uint32_t own_open() const { return open_.load(std::memory_order_relaxed); }
  // load() as a share of the slots; above 1 requests wait.
  double utilisation() const;
  uint32_t latency_us() const { return latency_us_.load(); }

  bool IsEjected(boot_time now) const;
  // Counts an answered request; the target is healthy again.
  void OnSuccess();
  // Counts a failed one and ejects the target after enough in a row.
  void OnFailure(boot_time now);

  void Open() { open_.fetch_add(1, std::memory_order_relaxed); }
  void Close() { open_.fetch_sub(1, std::memory_order_relaxed); }

 private:
  const std::string service_;
  const std::shared_ptr<vm_record> vm_;
  const std::shared_ptr<service_health> health_;
  const ejection_rule rule_;
  std::atomic<uint32_t> slots_{1};
  std::atomic<uint32_t> reported_{0};
  std::atomic<uint32_t> latency_us_{0};
  std::atomic<uint32_t> open_{0};
  std::atomic<int64_t> ejected_until_ms_{0};
  std::mutex mutex_;  // guards the two counts below
  std::atomic<uint32_t> failures_{0};
  uint32_t ejections_ = 0;
};

using target_ptr = std::shared_ptr<target>;

// A request that counts as open at a target until this is destroyed.
class open_request {
 public:
  explicit open_request(target_ptr at) : at_(std::move(at)) { at_->Open(); }
  open_request(open_request&& other) noexcept = default;
  open_request& operator=(open_request&& other) noexcept;
  // Copying would count the request twice.
  open_request(const open_request&) = delete;
  open_request& operator=(const open_request&) = delete;
  ~open_request();

  target& at() const { return *at_; }
  const std::string& vm() const { return at_->vm().name; }
  const std::string& address() const { return at_->vm().address; }

 private:
  target_ptr at_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_TARGET_H_
