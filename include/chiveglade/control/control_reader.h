// Polls the control rows of the table: data centres, entries and the manifest
// pointer.
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

// Snapshot of the control rows and the manifest. Immutable once returned by
// view().
struct control_view {
  publication published;                             // version 0: none yet
  std::shared_ptr<const config::manifest> manifest;  // null: none yet
  std::shared_ptr<const std::string> manifest_text;  // canonical, for agents
  std::map<std::string, store::row> data_centres;    // rows by data centre name
  std::vector<state::entry_address> entries;
};

struct control_reader_options {
  // Row of this entry; not written if the name is empty.
  state::entry_address self;
  millis register_interval{10'000};
  // Entries whose row has not changed for this long are not listed.
  millis entry_expiry{35'000};

  friend bool operator==(const control_reader_options&,
                         const control_reader_options&) = default;
};

// Poll() must be called regularly from one thread, on which the store's
// callbacks must also run. view() and the other accessors are thread-safe. Lock
// order: the mutex is a leaf; no hook is called while it is held.
class control_reader : public std::enable_shared_from_this<control_reader> {
 public:
  // Calls `on_change` on the polling thread after each change of the view.
  static result<std::shared_ptr<control_reader>> Make(
      control_reader_options options,
      store::table_service table,
      store::object_store objects,
      clock_fn clock,
      std::function<void()> on_change);

  // Starts a round of reads unless one is running.
  void Poll();

  // Adopts a peer's manifest, for use while the store is unreachable. Fails
  // with "bad_manifest" if it does not parse and "older_manifest" if its
  // version is not above the known one.
  result<done> AdoptFromPeer(uint64_t version, const std::string& text);

  std::shared_ptr<const control_view> view() const;

  // Start of the last round that read every control row; null if none has.
  std::optional<boot_time> confirmed_at() const;

  // Whether the control rows have been read completely at least once or a
  // manifest has been adopted.
  bool ready() const;

 private:
  control_reader(control_reader_options options,
                 store::table_service table,
                 store::object_store objects,
                 clock_fn clock,
                 std::function<void()> on_change);

  void WriteOwnEntry(boot_time now);
  void ScanDataCentres(boot_time round_start);
  void ScanEntries(boot_time round_start);
  void ReadPointer(boot_time round_start);
  void OnPointerRead(const std::optional<store::row>& row,
                     boot_time round_start);
  void FetchManifest(const publication& wanted, boot_time round_start);
  void FinishRound(boot_time round_start);
  result<done> Adopt(const publication& published, const std::string& text);
  std::vector<state::entry_address> LiveEntries(
      const std::vector<store::row>& rows,
      boot_time now);
  void Update(const std::function<void(control_view&)>& change);

  const control_reader_options options_;
  const store::table_service table_;
  const store::object_store objects_;
  const clock_fn clock_;
  const std::function<void()> on_change_;

  bool round_running_ = false;
  bool round_failed_ = false;  // a read of the running round failed
  uint64_t entry_writes_ = 0;
  std::optional<boot_time> entry_written_at_;
  struct observed_version {
    uint64_t version = 0;
    boot_time changed_at;
  };
  std::map<std::string, observed_version> observed_entries_;

  mutable std::mutex mutex_;
  std::shared_ptr<const control_view> view_;
  std::optional<boot_time> confirmed_at_;
};

}  // namespace chiveglade::control

#endif  // CHIVEGLADE_CONTROL_CONTROL_READER_H_
