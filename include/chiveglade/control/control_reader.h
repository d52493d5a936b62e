// Follows the control rows of the table and says what is in effect.
#ifndef CHIVEGLADE_CONTROL_CONTROL_READER_H_
#define CHIVEGLADE_CONTROL_CONTROL_READER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/config/manifest.h"
#include "chiveglade/control/manifest_pointer.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/state/heartbeat.h"
#include "chiveglade/store/object_store.h"
#include "chiveglade/store/table.h"

namespace chiveglade::control {

// What an entry knows. Immutable once published by the reader.
struct control_view {
  publication published;                             // version 0: none yet
  std::shared_ptr<const config::manifest> manifest;  // null: none yet
  std::shared_ptr<const std::string> manifest_text;  // canonical, for agents
  std::map<std::string, store::row> data_centres;    // rows by data centre name
  std::vector<state::entry_address> entries;
};

struct control_reader_options {
  state::entry_address self;  // written to the table; name empty: not written
  millis register_interval{10'000};
  // An entry whose row has not changed for this long is not listed.
  millis entry_expiry{35'000};

  friend bool operator==(const control_reader_options&,
                         const control_reader_options&) = default;
};

// Poll() must be called regularly from one thread, on which the store's
// callbacks must also run. view() and the other accessors are thread-safe.
// Lock order: the reader's mutex is a leaf; no hook is called under it.
class control_reader : public std::enable_shared_from_this<control_reader> {
 public:
  // `changed` is called on the polling thread after the view has changed.
  static result<std::shared_ptr<control_reader>> Make(
      control_reader_options options,
      store::table_service table,
      store::object_store objects,
      clock_fn clock,
      std::function<void()> changed);

  // Starts a round of reading unless one is running.
  void Poll();

  // Adopts a manifest held by a peer if its version is above the one known.
  // For the time when the store cannot be reached. Says why it was refused.
  result<done> AdoptFromPeer(uint64_t version, const std::string& text);

  std::shared_ptr<const control_view> view() const;

  // Start of the newest round that read every control row.
  std::optional<boot_time> confirmed_at() const;

  // Whether the manifest in effect is known: confirmed by the store at least
  // once, or adopted from a peer.
  bool ready() const;

 private:
  control_reader(control_reader_options options,
                 store::table_service table,
                 store::object_store objects,
                 clock_fn clock,
                 std::function<void()> changed);

  void Register(boot_time now);
  void ScanDataCentres(boot_time started);
  void ScanEntries(boot_time started);
  void ReadPointer(boot_time started);
  void OnPointer(const std::optional<store::row>& row, boot_time started);
  void FetchManifest(const publication& wanted, boot_time started);
  void FinishRound(boot_time started);
  result<done> Adopt(const publication& published, const std::string& text);
  std::vector<state::entry_address> LiveEntries(
      const std::vector<store::row>& rows,
      boot_time now);
  void Update(const std::function<void(control_view&)>& change);

  const control_reader_options options_;
  const store::table_service table_;
  const store::object_store objects_;
  const clock_fn clock_;
  const std::function<void()> changed_;

  bool polling_ = false;
  bool failed_ = false;  // in the running round
  uint64_t registrations_ = 0;
  std::optional<boot_time> registered_at_;
  struct seen_row {
    uint64_t version = 0;
    boot_time changed_at;
  };
  std::map<std::string, seen_row> seen_entries_;

  mutable std::mutex mutex_;
  std::shared_ptr<const control_view> view_;
  std::optional<boot_time> confirmed_at_;
};

}  // namespace chiveglade::control

#endif  // CHIVEGLADE_CONTROL_CONTROL_READER_H_
