#include "chiveglade/net/admission.h"

#include <array>
#include <mutex>
#include <utility>
#include <vector>

#include "src/net/admission_ledger.h"

namespace chiveglade::net {

namespace {

// Clients without control could otherwise fill the log.
constexpr millis kLogInterval{10'000};

class admission_impl : public admission {
 public:
  admission_impl(uint64_t budget_bytes, hooks to)
      : budget_bytes_(budget_bytes),
        hooks_(std::move(to)),
        ledger_(budget_bytes) {}

  uint32_t AddPort() override {
    const std::lock_guard lock(mutex_);
    return ports_++;
  }

  std::unique_ptr<account> Open(uint32_t port,
                                const port_limits& limits,
                                const std::string& address,
                                std::function<void()> close,
                                limit_kind& why) override;

  void Report(limit_kind kind, const std::string& address) override {
    hooks_.count(kind);
    uint64_t times = 0;
    {
      const std::lock_guard lock(mutex_);
      auto& at = reported_[static_cast<size_t>(kind)];
      ++at.times;
      const auto now = hooks_.clock();
      if (at.logged && now - at.logged_at < kLogInterval) {
        return;
      }
      at.logged = true;
      at.logged_at = now;
      times = std::exchange(at.times, 0);
    }
    hooks_.log(kind, times, address);
  }

  uint64_t budget_bytes() const override { return budget_bytes_; }

  uint64_t held_bytes() const override {
    const std::lock_guard lock(mutex_);
    return ledger_.held_bytes();
  }

  size_t connections() const override {
    const std::lock_guard lock(mutex_);
    return ledger_.connections();
  }

  bool Set(admission_ledger::ticket of, uint64_t bytes, bool is_protected) {
    std::unique_lock lock(mutex_);
    const auto out = ledger_.Set(of, bytes, is_protected, hooks_.clock());
    // A refused connection is told by the result and reported once. It may be
    // chosen later if its holder goes on, so its hook stays.
    const bool tell = !out.admitted && !std::exchange(open_[of].told, true);
    const auto address = tell ? open_[of].address : "";
    CloseAll(out.victims, limit_kind::kMemory, std::move(lock));
    if (tell) {
      Report(limit_kind::kMemory, address);
    }
    return out.admitted;
  }

  void Close(admission_ledger::ticket of) {
    const std::lock_guard lock(mutex_);
    ledger_.Close(of);
    open_[of] = {};
  }

 private:
  struct holder {
    std::function<void()> close;
    std::string address;
    bool told = false;  // that there is no memory for its request
  };
  struct report {
    bool logged = false;
    boot_time logged_at{};
    uint64_t times = 0;
  };

  // Calls the hooks without the lock: they may lead back here.
  void CloseAll(const std::vector<admission_ledger::ticket>& victims,
                limit_kind why,
                std::unique_lock<std::mutex> lock) {
    std::vector<holder> closing;
    closing.reserve(victims.size());
    for (const auto victim : victims) {
      closing.push_back(std::exchange(open_[victim], {}));
    }
    lock.unlock();
    for (const auto& each : closing) {
      each.close();
      Report(why, each.address);
    }
  }

  const uint64_t budget_bytes_;
  const hooks hooks_;
  mutable std::mutex mutex_;
  admission_ledger ledger_;
  uint32_t ports_ = 0;
  std::vector<holder> open_;
  std::array<report, kLimitKinds> reported_;
};

class account_impl : public admission::account {
 public:
  account_impl(std::shared_ptr<admission_impl> in, admission_ledger::ticket id)
      : in_(std::move(in)), id_(id) {}
  ~account_impl() override { in_->Close(id_); }
  account_impl(const account_impl&) = delete;
  account_impl& operator=(const account_impl&) = delete;

  bool Set(uint64_t bytes, bool is_protected) override {
    return in_->Set(id_, bytes, is_protected);
  }

 private:
  const std::shared_ptr<admission_impl> in_;
  const admission_ledger::ticket id_;
};

std::unique_ptr<admission::account> admission_impl::Open(
    uint32_t port,
    const port_limits& limits,
    const std::string& address,
    std::function<void()> close,
    limit_kind& why) {
  std::unique_lock lock(mutex_);
  const auto out = ledger_.Open(port, limits, address, hooks_.clock());
  if (out.outcome != admission_ledger::decision::kAccepted) {
    why = out.outcome == admission_ledger::decision::kTooManyOfAddress
              ? limit_kind::kAddress
              : limit_kind::kConnections;
    return nullptr;
  }
  if (out.account >= open_.size()) {
    open_.resize(out.account + 1);
  }
  open_[out.account] = {std::move(close), address, false};
  CloseAll(out.victims, limit_kind::kIdleConnections, std::move(lock));
  return std::make_unique<account_impl>(
      std::static_pointer_cast<admission_impl>(shared_from_this()),
      out.account);
}

}  // namespace

const char* ToString(limit_kind kind) {
  static constexpr std::array<const char*, kLimitKinds> kNames = {
      "body_size",    "header_size",     "field_count", "chunk_header",
      "receive_time", "send_time",       "connections", "address",
      "memory",       "idle_connections"};
  return kNames[static_cast<size_t>(kind)];
}

std::shared_ptr<admission> admission::Make(uint64_t budget_bytes, hooks to) {
  return std::make_shared<admission_impl>(budget_bytes, std::move(to));
}

}  // namespace chiveglade::net
