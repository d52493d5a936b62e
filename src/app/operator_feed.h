// The operators' settings as last read from the store: the catalogue of queues
// and the data centres out of service.
#ifndef CHIVEGLADE_APP_OPERATOR_FEED_H_
#define CHIVEGLADE_APP_OPERATOR_FEED_H_

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "await.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/observe/log.h"
#include "chiveglade/store/table.h"
#include "chiveglade/store/table_follower.h"
#include "chiveglade/workflow/catalogue.h"

namespace chiveglade::app {

// Immutable once published.
struct operator_state {
  std::shared_ptr<const workflow::catalogue> catalogue;  // null: none read yet
  std::set<std::string> out_of_service;                  // data centres
};

// What a process knows of the operators' settings, and how old that is.
struct operator_view {
  // Never null.
  std::shared_ptr<const operator_state> state =
      std::make_shared<const operator_state>();
  // The state holds every change that was acknowledged before. Zero: nothing
  // was read yet.
  boot_time as_of{};

  millis AgeAt(boot_time now) const {
    return std::chrono::duration_cast<millis>(now - as_of);
  }
};

struct operator_feed_options {
  // Wait of one watch. An answer confirms what is known as of when its watch
  // was sent, so without changes the settings are up to twice as old.
  millis watch_wait{500};
};

// Follows the operators' rows on an event loop and thread of its own, so that a
// change is in force in time however much work waits on the loop that serves
// callers. Users take the newest state when they need it. The catalogue never
// goes back to an older version.
class operator_feed {
 public:
  struct hooks {
    // Makes the table whose callbacks run on the strand given.
    std::function<result<store::table_service>(net::asio::io_context&,
                                               const strand&)>
        make_table;
    // Both are called on the feed's thread and must not block.
    std::function<void(std::string event, observe::log_fields)> log;
    std::function<void()> changed;
    clock_fn clock;
  };

  static result<std::unique_ptr<operator_feed>> Make(
      operator_feed_options options,
      hooks hooks);
  // Stops the thread.
  ~operator_feed();
  operator_feed(const operator_feed&) = delete;
  operator_feed& operator=(const operator_feed&) = delete;

  void Start();

  // Thread-safe.
  operator_view newest() const;

 private:
  operator_feed(operator_feed_options options, hooks hooks);

  void Follow();
  void OnRows(const std::vector<store::row>& rows);
  void OnChanges(const std::vector<store::row_change>& changes);
  // Replaces the catalogue of `state` if the row has a newer one.
  void Adopt(const store::row& row, operator_state& state);
  void Publish(operator_state state);
  void Confirm(boot_time as_of);

  const operator_feed_options options_;
  hooks hooks_;
  net::asio::io_context loop_;
  strand on_ = net::asio::make_strand(loop_);
  store::table_service table_;
  std::unique_ptr<store::table_follower> follower_;
  mutable std::mutex mutex_;
  operator_view newest_;
  std::thread thread_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_OPERATOR_FEED_H_
