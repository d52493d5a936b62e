// Runs agent_core against the worker and the entries.
#ifndef CHIVEGLADE_AGENT_ANNOUNCER_H_
#define CHIVEGLADE_AGENT_ANNOUNCER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "chiveglade/agent/agent_core.h"
#include "chiveglade/agent/heartbeat_schedule.h"
#include "chiveglade/agent/worker_client.h"
#include "chiveglade/net/executor.h"

namespace chiveglade::agent {

// Hooks to the outside. Each may suspend the coroutine and must return within a
// bounded time.
struct announcer_hooks {
  std::function<worker_reply(const worker_call&, net::yield)> call_worker;
  // Sends an encoded heartbeat to "ip:port" and returns the encoded answer.
  std::function<result<std::string>(const std::string& address,
                                    const std::string& body,
                                    net::yield)>
      send_heartbeat;
  // An entry has a newer manifest than the agent; called at most once a second,
  // until SetManifest brings that version. May be empty.
  std::function<void(const std::string& address, uint64_t version)>
      newer_manifest;
};

// What other parts of the agent may know at any time. Immutable.
struct agent_view {
  bool announced = false;  // an entry has answered
  bool ready = false;
  bool leaving = false;
  bool out_of_service = false;
  uint64_t manifest_version = 0;
  std::set<std::string> services;  // with a replica that takes requests
  std::string scheduler;
  resources used;
  size_t unacknowledged_ends = 0;

  friend bool operator==(const agent_view&, const agent_view&) = default;
};

// Counters since the start, for metrics. Thread-safe.
struct announcer_counters {
  std::atomic<uint64_t> heartbeats{0};
  std::atomic<uint64_t> heartbeat_failures{0};
  std::atomic<uint64_t> bytes_sent{0};      // heartbeat bodies
  std::atomic<uint64_t> bytes_received{0};  // answer bodies
  std::atomic<uint64_t> worker_calls{0};
  std::atomic<uint64_t> worker_call_failures{0};
};

// Owns the core and the schedule, which it uses on one strand of `loop`.
// Thread-safe. Must be kept in a shared_ptr until Stop and the end of its
// coroutines, which hold one themselves.
class announcer : public std::enable_shared_from_this<announcer> {
 public:
  static std::shared_ptr<announcer> Make(
      net::asio::io_context& loop,
      std::unique_ptr<agent_core> core,
      std::unique_ptr<heartbeat_schedule> schedule,
      announcer_hooks hooks,
      clock_fn clock);

  // Starts the coroutine.
  void Start();

  // Announces that the agent leaves: no task starts any more, and every entry
  // gets a heartbeat that says so. `announced` is called once each has
  // answered or failed. Heartbeats and leases go on until Stop.
  void Leave(std::function<void()> announced);

  // Ends the coroutine; calls under way end by themselves. Tasks go on under
  // the worker's leases for the next agent process.
  void Stop();

  // Hands a manifest to the core.
  void SetManifest(uint64_t version,
                   std::shared_ptr<const config::manifest> manifest);

  std::shared_ptr<const agent_view> view() const;
  const announcer_counters& counters() const { return counters_; }

 private:
  announcer(net::asio::io_context& loop,
            std::unique_ptr<agent_core> core,
            std::unique_ptr<heartbeat_schedule> schedule,
            announcer_hooks hooks,
            clock_fn clock);

  void Run(const net::yield& yield);
  void MakeCalls();
  void CallWorker(const worker_call& call, const net::yield& yield);
  void SendHeartbeats();
  void Send(const std::string& address,
            const state::heartbeat& beat,
            const net::yield& yield);
  void TakeAnswer(const std::string& address,
                  const state::heartbeat& beat,
                  const std::string& body);
  void AskForManifest(const std::string& address, uint64_t version);
  void CheckLeft();
  void Wake();
  void Publish();

  net::asio::strand<net::asio::io_context::executor_type> strand_;
  net::asio::steady_timer timer_;
  std::unique_ptr<agent_core> core_;
  std::unique_ptr<heartbeat_schedule> schedule_;
  announcer_hooks hooks_;
  clock_fn clock_;
  announcer_counters counters_;
  bool stopped_ = false;
  bool announced_ = false;
  std::function<void()> left_;
  boot_time manifest_asked_{};
  mutable std::mutex view_mutex_;
  std::shared_ptr<const agent_view> view_;
};

}  // namespace chiveglade::agent

#endif  // CHIVEGLADE_AGENT_ANNOUNCER_H_
