// Whether this process reaches the store.
#ifndef CHIVEGLADE_APP_STORE_LINK_H_
#define CHIVEGLADE_APP_STORE_LINK_H_

#include <functional>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/observe/event_log.h"
#include "chiveglade/store/table.h"

namespace chiveglade::app {

// Judges by the calls that the process makes anyway: polls, watches and writes
// bring an answer several times a second. Single thread.
class store_link {
 public:
  using log_fn =
      std::function<void(const char* event, const observe::log_fields&)>;

  store_link(clock_fn clock, log_fn log);

  // The same hooks, with each call's outcome noted. This object must outlive
  // the calls.
  store::table_service Observe(const store::table_service& inner);

  // True once several calls in a row have failed for a while. A refusal, such
  // as by a rate limit, counts as a failure; an answer of any kind ends it.
  bool is_away() const { return away_; }

 private:
  void Note(bool answered, const std::string& why);

  clock_fn clock_;
  log_fn log_;
  bool away_ = false;
  uint32_t failures_ = 0;    // since the last answer
  boot_time answered_at_{};  // the last answer
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_STORE_LINK_H_
