#include "chiveglade/authority/journal.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "chiveglade/state/event_codec.h"

namespace chiveglade::authority {

void ReadHeadRow(const store::table_service& table,
                 const std::function<void(result<head_row>)>& then) {
  table.read(kHeadKey, [then](result<std::optional<store::row>> found) {
    if (!found) {
      then(found.last_reason());
      return;
    }
    if (!*found) {
      then(head_row{});
      return;
    }
    auto head = ReadHead((*found)->value);
    if (!head) {
      then(head.last_reason());
      return;
    }
    then(head_row{*head, (*found)->version});
  });
}

journal::journal(journal_options options,
                 store::table_service table,
                 clock_fn clock,
                 random_fn random)
    : options_(std::move(options)),
      table_(std::move(table)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      self_(std::make_shared<journal*>(this)) {}

void journal::TakeOver(const head_row& base, append_callback then) {
  assert(!busy());
  committed_head_ = base;
  Start({}, base.head.epoch + 1, std::move(then));
}

void journal::Append(const append_batch& batch, append_callback then) {
  assert(!busy());
  Start(batch, committed_head_.head.epoch, std::move(then));
}

std::string journal::MakeNonce() {
  return std::to_string(random_()) + "-" + std::to_string(random_());
}

void journal::Start(const append_batch& batch,
                    uint64_t epoch,
                    append_callback then) {
  in_flight_append next;
  next.head = committed_head_.head;
  next.head.epoch = epoch;
  ++next.head.sequence;
  next.head.snapshot =
      std::max(committed_head_.head.snapshot, batch.snapshot.value_or(0));
  next.head.manifest = std::max(committed_head_.head.manifest, batch.manifest);
  next.head.nonce = MakeNonce();
  next.head.writer = options_.writer;
  next.head.address = options_.address;
  next.head.released = batch.release;
  // Deletes only records covered by the snapshot that the committed head names.
  const uint64_t oldest = committed_head_.head.oldest;
  next.head.oldest =
      std::max(oldest, std::min(oldest + kMaxDeletedRecordsPerAppend,
                                committed_head_.head.snapshot + 1));
  const std::string record = RecordKey(next.head.sequence);
  next.change.conditions = {{kHeadKey, committed_head_.version}, {record, 0}};
  next.change.conditions.insert(next.change.conditions.end(),
                                batch.conditions.begin(),
                                batch.conditions.end());
  next.change.mutations = {{kHeadKey, WriteHead(next.head)},
                           {record, state::EncodeEvents(batch.events)}};
  for (const auto& key : batch.executed_commands) {
    next.change.mutations.push_back({key, std::nullopt});
  }
  for (uint64_t old = oldest; old < next.head.oldest; ++old) {
    next.change.mutations.push_back({RecordKey(old), std::nullopt});
  }
  next.then = std::move(then);
  next.sent_at = clock_();
  in_flight_ = std::move(next);
  Send();
}

void journal::Send() {
  in_flight_->awaiting_table = true;
  in_flight_->outcome_unknown = false;
  table_.commit(in_flight_->change, [self = std::weak_ptr(self_)](
                                        const store::commit_outcome& outcome) {
    if (const auto at = self.lock()) {
      (*at)->OnCommit(outcome);
    }
  });
}

void journal::OnCommit(const store::commit_outcome& outcome) {
  in_flight_->awaiting_table = false;
  switch (outcome.status) {
    case store::commit_status::kCommitted:
      Finish(append_status::kCommitted, outcome.version);
      return;
    case store::commit_status::kUnknown:
      ++unknown_outcomes_;
      in_flight_->had_unknown_outcome = true;
      in_flight_->outcome_unknown = true;
      RetryLater();
      return;
    case store::commit_status::kConflict:
      in_flight_->condition_failed =
          outcome.conflicting_key != kHeadKey &&
          outcome.conflicting_key != in_flight_->change.conditions[1].key;
      if (in_flight_->had_unknown_outcome) {
        // The conflict may be with an earlier copy that was applied late.
        in_flight_->outcome_unknown = true;
        ReadBackHead();
        return;
      }
      Finish(in_flight_->condition_failed ? append_status::kStale
                                          : append_status::kFenced,
             0);
      return;
    case store::commit_status::kNotApplied:
      if (in_flight_->had_unknown_outcome) {
        RetryLater();
        return;
      }
      Finish(append_status::kNotApplied, 0);
      return;
  }
}

void journal::ReadBackHead() {
  in_flight_->awaiting_table = true;
  ReadHeadRow(table_,
              [self = std::weak_ptr(self_)](const result<head_row>& found) {
                if (const auto at = self.lock()) {
                  (*at)->OnHeadRead(found);
                }
              });
}

void journal::OnHeadRead(const result<head_row>& found) {
  in_flight_->awaiting_table = false;
  if (!found) {
    RetryLater();
    return;
  }
  if (found->head.nonce == in_flight_->head.nonce) {
    Finish(append_status::kCommitted, found->version);
    return;
  }
  if (found->version != committed_head_.version) {
    Finish(append_status::kFenced, 0);
    return;
  }
  if (in_flight_->condition_failed) {
    // Row versions only grow, so a condition that failed once also fails for
    // every copy that is still in flight.
    Finish(append_status::kStale, 0);
    return;
  }
  Send();
}

void journal::RetryLater() {
  in_flight_->retry_at = clock_() + options_.retry_interval;
}

void journal::Tick() {
  if (!in_flight_ || in_flight_->awaiting_table ||
      clock_() < in_flight_->retry_at) {
    return;
  }
  in_flight_->outcome_unknown ? ReadBackHead() : Send();
}

void journal::Finish(append_status status, uint64_t version) {
  in_flight_append ended = std::move(*in_flight_);
  in_flight_.reset();
  if (status == append_status::kCommitted) {
    committed_head_ = {std::move(ended.head), version};
    last_append_sent_at_ = ended.sent_at;
  }
  ended.then(status);
}

}  // namespace chiveglade::authority
