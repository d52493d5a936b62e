// How recent the operators' settings are that a process acts on.
#ifndef CHIVEGLADE_APP_SETTINGS_FRESHNESS_H_
#define CHIVEGLADE_APP_SETTINGS_FRESHNESS_H_

#include <functional>

#include "chiveglade/core/clock.h"
#include "chiveglade/observe/log.h"
#include "chiveglade/observe/metrics.h"
#include "operator_feed.h"

namespace chiveglade::app {

// Compares the age of the settings with the time within which a change must be
// in force. The settings are current if they hold every change that was
// acknowledged that long ago, whatever kept newer ones from being read. Single
// thread.
class settings_freshness {
 public:
  struct hooks {
    std::function<operator_view()> operators;
    clock_fn clock;
    std::function<void(const char*, const observe::log_fields&)> log;
  };

  settings_freshness(millis max_age, observe::metrics& metrics, hooks hooks);

  bool IsCurrent(const operator_view& view) const;
  // Of what is known now.
  bool IsCurrent() const { return IsCurrent(hooks_.operators()); }
  // Reports the age, and logs when the settings have become outdated or
  // current. Call it several times a second once the feed was started.
  void Report();

 private:
  const millis max_age_;
  observe::metrics& metrics_;
  hooks hooks_;
  bool logged_current_ = false;
  millis worst_{0};  // age while outdated; zero: current
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_SETTINGS_FRESHNESS_H_
