// Recovers the durable state from the newest snapshot and the records after it.
#ifndef CHIVEGLADE_AUTHORITY_RECOVERY_H_
#define CHIVEGLADE_AUTHORITY_RECOVERY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chiveglade/authority/journal.h"
#include "chiveglade/core/result.h"
#include "chiveglade/state/snapshot_codec.h"
#include "chiveglade/store/object_store.h"
#include "chiveglade/store/table.h"

namespace chiveglade::authority {

// Reads the state as of `base`. Calls `then` exactly once, unless the object is
// destroyed first. Fails with the reasons of the store and of the codecs,
// "snapshot_missing", "corrupt" and "record_missing". The last also occurs when
// another entry takes over and deletes records meanwhile; the caller starts
// again from a new head.
class recovery {
 public:
  using callback = std::function<void(result<state::snapshot>)>;

  recovery(const store::table_service& table,
           const store::object_store& objects,
           const head_row& base,
           callback then);
  void Start();

 private:
  void OnSnapshotRead(const result<std::optional<std::string>>& found);
  void ScanRecords();
  void OnRecordBlock(const result<std::vector<store::row>>& found);
  void Replay();
  void Finish(result<state::snapshot> outcome);

  store::table_service table_;
  store::object_store objects_;
  head_row base_;
  callback then_;
  state::snapshot snapshot_;
  std::map<std::string, std::string> records_;  // by key
  uint64_t blocks_left_ = 0;
  bool ended_ = false;
  std::shared_ptr<recovery*> self_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_RECOVERY_H_
