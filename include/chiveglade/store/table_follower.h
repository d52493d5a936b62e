// Keeps up with the rows of one table.
#ifndef CHIVEGLADE_STORE_TABLE_FOLLOWER_H_
#define CHIVEGLADE_STORE_TABLE_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/store/table.h"
#include "chiveglade/store/table_scan.h"

namespace chiveglade::store {

struct follower_options {
  std::string prefix;  // the table's name and '/'
  // Prefixes that cover the table and are scanned side by side; empty:
  // `prefix`.
  std::vector<std::string> scan_prefixes;
  millis wait{1'500};  // longest wait of one watch
  // Wait before a failed call is repeated, so that a store that comes back is
  // noticed at once without being flooded.
  millis retry_after{150};
  // Reads all rows again after an answer with several versions of a row. For
  // tables whose history is larger than their rows.
  bool rescan_if_behind = false;
};

// Reads all rows once, then watches for changes, and reads all again where the
// service has dropped the history needed. Of the versions of a row in one
// answer only the newest is handed over. Single thread; the table must have the
// optional hooks. After a failed watch the next one does not wait, so that it
// confirms at once what is known.
//
// `rescan_if_behind` answers this load: rows that change faster than a slow
// process takes the answers in. An answer holds each version in full, so it
// grows with the time that the one before it took, and the process falls
// further behind with each answer. The rows themselves do not grow.
class table_follower {
 public:
  struct hooks {
    table_service table;
    // Calls back once after a time.
    std::function<void(millis, std::function<void()>)> after;
    // All rows as of one moment or later; replaces what was known.
    std::function<void(const std::vector<row>&)> scanned;
    std::function<void(const std::vector<row_change>&)> changed;
    // Optional, together with `clock`: what was handed over so far holds every
    // change that was acknowledged before `as_of`.
    std::function<void(boot_time as_of)> confirmed;
    clock_fn clock;
    // Optional: a call failed, or the first one succeeded since.
    std::function<void(const reason&)> lost;
    std::function<void()> regained;
  };

  // Starts at once and goes on until destroyed.
  static std::unique_ptr<table_follower> Make(follower_options options,
                                              hooks hooks);

 private:
  table_follower(follower_options options, hooks hooks);

  void ScanAll();
  void Scan(const std::string& prefix);
  void Watch(millis wait);
  void OnChanges(result<row_changes> changes);
  void OnLost(const reason& why);
  void OnRegained();
  void NoteCallSent();
  void Confirm();
  // Wraps a callback so that it does nothing once this object is gone.
  template <typename T>
  std::function<void(T)> Guard(void (table_follower::*call)(T)) {
    return [self = std::weak_ptr(self_), call](T value) {
      if (const auto at = self.lock()) {
        ((*at)->*call)(std::move(value));
      }
    };
  }

  follower_options options_;
  hooks hooks_;
  std::vector<std::unique_ptr<table_scan>> scans_;
  size_t scans_left_ = 0;
  std::vector<row> scanned_;
  uint64_t version_ = 0;
  boot_time sent_at_{};  // the scan or watch in progress
  bool failing_ = false;
  std::shared_ptr<table_follower*> self_;
};

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_TABLE_FOLLOWER_H_
