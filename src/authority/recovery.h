// Reads the durable state back: the newest snapshot and the records after it.
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

// Reads the state as of `base`. Ends with exactly one call of `then`, unless
// the object is destroyed before. Reasons: those of the store, of the codecs,
// and "record_missing", which is what a concurrent takeover and deletion look
// like; the caller starts again from a new head.
class recovery {
 public:
  using callback = std::function<void(result<state::snapshot>)>;

  recovery(const store::table_service& table,
           const store::object_store& objects,
           const head_row& base,
           callback then);
  void Start();

 private:
  void OnSnapshot(const result<std::optional<std::string>>& found);
  void ScanRecords();
  void OnBlock(const result<std::vector<store::row>>& found);
  void Replay();
  void End(result<state::snapshot> outcome);

  store::table_service table_;
  store::object_store objects_;
  head_row base_;
  callback then_;
  state::snapshot state_;
  std::map<std::string, std::string> records_;  // by key
  uint64_t blocks_left_ = 0;
  bool ended_ = false;
  std::shared_ptr<recovery*> self_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_RECOVERY_H_
