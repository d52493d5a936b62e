#include "recovery.h"

#include <utility>

#include "chiveglade/authority/rows.h"
#include "chiveglade/state/event_codec.h"

namespace chiveglade::authority {

recovery::recovery(const store::table_service& table,
                   const store::object_store& objects,
                   const head_row& base,
                   callback then)
    : table_(table),
      objects_(objects),
      base_(base),
      then_(std::move(then)),
      self_(std::make_shared<recovery*>(this)) {}

void recovery::Start() {
  if (base_.head.snapshot == 0) {
    ScanRecords();
    return;
  }
  objects_.get(SnapshotKey(base_.head.snapshot),
               [self = std::weak_ptr(self_)](
                   const result<std::optional<std::string>>& found) {
                 if (const auto at = self.lock()) {
                   (*at)->OnSnapshotRead(found);
                 }
               });
}

void recovery::OnSnapshotRead(const result<std::optional<std::string>>& found) {
  if (!found) {
    Finish(found.last_reason());
    return;
  }
  if (!*found) {
    Finish(reason{"snapshot_missing", "the object store has no object " +
                                          SnapshotKey(base_.head.snapshot)});
    return;
  }
  auto decoded = state::snapshot_codec::Decode(**found);
  if (!decoded) {
    Finish(decoded.last_reason());
    return;
  }
  snapshot_ = *std::move(decoded);
  ScanRecords();
}

void recovery::ScanRecords() {
  const uint64_t first = base_.head.snapshot + 1;
  const uint64_t last = base_.head.sequence;
  if (first > last) {
    Finish(std::move(snapshot_));
    return;
  }
  // Reads all blocks concurrently: sequential reads from a slow store could
  // exceed the 2 s that recovery may take.
  const uint64_t first_block = first / kRecordsPerBlock;
  const uint64_t last_block = last / kRecordsPerBlock;
  blocks_left_ = last_block - first_block + 1;
  const auto self = std::weak_ptr(self_);
  for (uint64_t block = first_block; block <= last_block; ++block) {
    table_.scan(RecordBlockPrefix(block * kRecordsPerBlock), kRecordsPerBlock,
                [self](const result<std::vector<store::row>>& found) {
                  if (const auto at = self.lock()) {
                    (*at)->OnRecordBlock(found);
                  }
                });
    if (self.expired()) {
      return;
    }
  }
}

void recovery::OnRecordBlock(const result<std::vector<store::row>>& found) {
  if (ended_) {
    return;
  }
  if (!found) {
    Finish(found.last_reason());
    return;
  }
  for (const auto& row : *found) {
    records_[row.key] = row.value;
  }
  if (--blocks_left_ == 0) {
    Replay();
  }
}

void recovery::Replay() {
  for (uint64_t sequence = base_.head.snapshot + 1;
       sequence <= base_.head.sequence; ++sequence) {
    const auto at = records_.find(RecordKey(sequence));
    if (at == records_.end()) {
      Finish(reason{"record_missing",
                    "the table has no row " + RecordKey(sequence)});
      return;
    }
    const auto events = state::DecodeEvents(at->second);
    if (!events) {
      Finish(events.last_reason());
      return;
    }
    for (const auto& change : *events) {
      if (const auto applied = snapshot_.state.Apply(change); !applied) {
        Finish(reason{"corrupt",
                      "record " + std::to_string(sequence) +
                          " does not apply: " + applied.last_reason().detail});
        return;
      }
    }
  }
  snapshot_.sequence = base_.head.sequence;
  Finish(std::move(snapshot_));
}

void recovery::Finish(result<state::snapshot> outcome) {
  if (!std::exchange(ended_, true)) {
    // The callback may destroy this object.
    const callback then = std::move(then_);
    then(std::move(outcome));
  }
}

}  // namespace chiveglade::authority
