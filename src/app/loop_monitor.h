// Measures how late an event loop runs what is due.
#ifndef CHIVEGLADE_APP_LOOP_MONITOR_H_
#define CHIVEGLADE_APP_LOOP_MONITOR_H_

#include <functional>

#include "await.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/observe/log.h"
#include "chiveglade/observe/metrics.h"

namespace chiveglade::app {

// Runs a timer and records by how much each firing is late. A loop without work
// is late by less than a millisecond; an overloaded one by the length of its
// queue. Everything runs on `on`.
class loop_monitor {
 public:
  using log_fn = std::function<void(const char*, const observe::log_fields&)>;

  loop_monitor(strand on,
               observe::metrics& metrics,
               clock_fn clock,
               log_fn log);

  void Start();
  // Records a firing of the timer. Exposed for tests.
  void Sample();

 private:
  strand on_;
  observe::metrics& metrics_;
  clock_fn clock_;
  log_fn log_;
  boot_time due_{};           // of the next sample; 0 before the first one
  boot_time window_began_{};  // of the log line that is due next
  millis worst_{0};           // lag in this window
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_LOOP_MONITOR_H_
