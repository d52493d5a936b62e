// Signals, repeated work and the graceful stop of a role.
#ifndef CHIVEGLADE_APP_LIFECYCLE_H_
#define CHIVEGLADE_APP_LIFECYCLE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "await.h"
#include "chiveglade/core/clock.h"

namespace chiveglade::app {

// Calls `work` on `on` every `interval` until the event loop stops.
void RunEvery(const strand& on, millis interval, std::function<void()> work);

// One step of a graceful stop: starts it and calls back when it is done.
using stop_step = std::function<void(std::function<void()> done)>;

// Runs an event loop until SIGTERM or SIGINT, then the stop steps one after the
// other, and stops the loop when all are done or `grace` has passed.
class lifecycle {
 public:
  lifecycle(net::asio::io_context& loop, millis grace);

  // Steps run in the order in which they were added.
  void AddStopStep(std::string name, stop_step step);
  // Adds a step that ends `time` after the stop began, at once if the steps
  // before it took longer.
  void AddStopDelay(std::string name, millis time);

  // Called on SIGHUP, which otherwise changes nothing.
  void OnReload(std::function<void()> reload) { reload_ = std::move(reload); }

  // Runs the loop on `threads` threads. True if the stop was graceful: every
  // step ended within the grace.
  bool Run(uint32_t threads);

 private:
  struct named_step {
    std::string name;
    stop_step run;
  };

  void AwaitSignal();
  void Begin();
  void RunStep(size_t index);

  net::asio::io_context& loop_;
  strand strand_;
  net::asio::signal_set signals_;
  net::asio::steady_timer deadline_;
  net::asio::steady_timer delay_;
  std::chrono::steady_clock::time_point stop_began_;
  millis grace_;
  std::vector<named_step> steps_;
  std::function<void()> reload_;
  bool graceful_ = false;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_LIFECYCLE_H_
