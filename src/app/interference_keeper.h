// Keeps what a coordinator has learned of interference in the store, for the
// next one.
#ifndef CHIVEGLADE_APP_INTERFERENCE_KEEPER_H_
#define CHIVEGLADE_APP_INTERFERENCE_KEEPER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/observe/event_log.h"
#include "chiveglade/store/table.h"
#include "chiveglade/workflow/interference_row.h"

namespace chiveglade::app {

// Reads the row once for each time that the role is held, and writes it at
// intervals while the role is held. Nothing waits for either. Not thread-safe;
// must outlive the calls of the store.
class interference_keeper {
 public:
  // Shortest time between two calls to the store, also after a failure. What is
  // learned in it is lost with the process.
  static constexpr millis kInterval{3'000};
  // A call that was not answered for this long no longer keeps others back.
  static constexpr millis kCallTimeout{15'000};

  struct hooks {
    store::table_service table;
    clock_fn clock;
    std::function<int64_t()> unix_ms;
    std::function<void(const char*, const observe::log_fields&)> log;
    // Returns what the coordinator knows. Called only between Begin() and
    // End(), as is `restored`.
    std::function<std::vector<workflow::learned_pair>(int64_t unix_ms)> learned;
    // Passes on what was kept, with its age as of now, and returns the number
    // of pairs taken.
    std::function<size_t(const std::vector<workflow::learned_pair>&,
                         int64_t unix_ms)>
        restored;
  };

  // The row stays below a quarter of `max_row_bytes`, the store's limit.
  interference_keeper(size_t max_row_bytes, hooks hooks);

  // The role was gained; reads the row.
  void Begin();
  // The role was lost; nothing is read or written from now on.
  void End();
  // Writes the row if it is time and what is known has changed in effect. To be
  // called often, only between Begin() and End().
  void Tick();

 private:
  void Read();
  void OnRead(const result<std::optional<store::row>>& answer);
  void LogNotRead(const reason& why) const;
  void Write(workflow::interference_row row);

  size_t max_bytes_;
  hooks hooks_;
  // Counts the calls of Begin() and End() and the calls to the store, so that
  // late answers are recognised.
  uint64_t call_ = 0;
  bool calling_ = false;
  boot_time called_at_{};
  bool answered_ = false;  // the read of this term
  bool failure_logged_ = false;
  // As last read or written; empty: neither.
  workflow::interference_row stored_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_INTERFERENCE_KEEPER_H_
