#include "loop_monitor.h"

#include <algorithm>
#include <utility>

#include "lifecycle.h"

namespace chiveglade::app {

namespace {

constexpr millis kSampleInterval{100};
// At most one line in this time, with the worst lag.
constexpr millis kLogWindow{1'000};
// Callers notice a lag from about here: a request passes the loop three times.
constexpr millis kLoggedLag{100};

}  // namespace

loop_monitor::loop_monitor(strand on,
                           observe::metrics& metrics,
                           clock_fn clock,
                           log_fn log)
    : on_(std::move(on)),
      metrics_(metrics),
      clock_(std::move(clock)),
      log_(std::move(log)) {}

void loop_monitor::Start() {
  RunEvery(on_, kSampleInterval, [this] { Sample(); });
}

void loop_monitor::Sample() {
  const auto now = clock_();
  if (due_ == boot_time{}) {
    due_ = now + kSampleInterval;
    window_began_ = now;
    return;
  }
  const auto lag =
      std::max(millis(0), std::chrono::duration_cast<millis>(now - due_));
  due_ = now + kSampleInterval;
  metrics_.Observe("chiveglade_event_loop_lag_seconds", {},
                   std::chrono::duration<double>(lag).count());
  worst_ = std::max(worst_, lag);
  if (now - window_began_ < kLogWindow) {
    return;
  }
  if (worst_ >= kLoggedLag) {
    log_("event_loop_late", {{"worst_ms", std::to_string(worst_.count())}});
  }
  window_began_ = now;
  worst_ = millis(0);
}

}  // namespace chiveglade::app
