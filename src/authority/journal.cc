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
  base_ = base;
  Start({}, base.head.epoch + 1, std::move(then));
}

void journal::Append(const append_batch& batch, append_callback then) {
  assert(!busy());
  Start(batch, base_.head.epoch, std::move(then));
}

std::string journal::Nonce() {
  return std::to_string(random_()) + "-" + std::to_string(random_());
}

void journal::Start(const append_batch& batch,
                    uint64_t epoch,
                    append_callback then) {
  flight next;
  next.head = base_.head;
  next.head.epoch = epoch;
  ++next.head.sequence;
  next.head.snapshot =
      std::max(base_.head.snapshot, batch.snapshot.value_or(0));
  next.head.manifest = std::max(base_.head.manifest, batch.manifest);
  next.head.nonce = Nonce();
  next.head.writer = options_.writer;
  next.head.address = options_.address;
  next.head.released = batch.release;
  // Only records that the snapshot recorded before this append covers.
  const uint64_t oldest = base_.head.oldest;
  next.head.oldest = std::max(
      oldest, std::min(oldest + kDeletedPerAppend, base_.head.snapshot + 1));
  const std::string record = RecordKey(next.head.sequence);
  next.change.conditions = {{kHeadKey, base_.version}, {record, 0}};
  next.change.conditions.insert(next.change.conditions.end(),
                                batch.conditions.begin(),
                                batch.conditions.end());
  next.change.mutations = {{kHeadKey, WriteHead(next.head)},
                           {record, state::EncodeEvents(batch.events)}};
  for (const auto& key : batch.absorbed) {
    next.change.mutations.push_back({key, std::nullopt});
  }
  for (uint64_t old = oldest; old < next.head.oldest; ++old) {
    next.change.mutations.push_back({RecordKey(old), std::nullopt});
  }
  next.then = std::move(then);
  next.sent = clock_();
  flight_ = std::move(next);
  Send();
}

void journal::Send() {
  flight_->waiting = true;
  flight_->unknown = false;
  table_.commit(flight_->change, [self = std::weak_ptr(self_)](
                                     const store::commit_outcome& outcome) {
    if (const auto at = self.lock()) {
      (*at)->OnCommit(outcome);
    }
  });
}

void journal::OnCommit(const store::commit_outcome& outcome) {
  flight_->waiting = false;
  switch (outcome.status) {
    case store::commit_status::kCommitted:
      End(append_status::kCommitted, outcome.version);
      return;
    case store::commit_status::kUnknown:
      ++unknown_outcomes_;
      flight_->was_unknown = true;
      flight_->unknown = true;
      RetryLater();
      return;
    case store::commit_status::kConflict:
      flight_->stale =
          outcome.conflicting_key != kHeadKey &&
          outcome.conflicting_key != flight_->change.conditions[1].key;
      if (flight_->was_unknown) {
        // The conflict may come from an earlier copy that was applied late.
        flight_->unknown = true;
        Settle();
        return;
      }
      End(flight_->stale ? append_status::kStale : append_status::kLost, 0);
      return;
    case store::commit_status::kNotApplied:
      if (flight_->was_unknown) {
        RetryLater();
        return;
      }
      End(append_status::kNotApplied, 0);
      return;
  }
}

void journal::Settle() {
  flight_->waiting = true;
  ReadHeadRow(table_,
              [self = std::weak_ptr(self_)](const result<head_row>& found) {
                if (const auto at = self.lock()) {
                  (*at)->OnHead(found);
                }
              });
}

void journal::OnHead(const result<head_row>& found) {
  flight_->waiting = false;
  if (!found) {
    RetryLater();
    return;
  }
  if (found->head.nonce == flight_->head.nonce) {
    End(append_status::kCommitted, found->version);
    return;
  }
  if (found->version != base_.version) {
    End(append_status::kLost, 0);
    return;
  }
  if (flight_->stale) {
    // Versions only grow, so a condition that failed once makes every copy that
    // is still on its way fail too.
    End(append_status::kStale, 0);
    return;
  }
  Send();
}

void journal::RetryLater() {
  flight_->retry_at = clock_() + options_.retry_after;
}

void journal::Tick() {
  if (!flight_ || flight_->waiting || clock_() < flight_->retry_at) {
    return;
  }
  flight_->unknown ? Settle() : Send();
}

void journal::End(append_status status, uint64_t version) {
  flight ended = std::move(*flight_);
  flight_.reset();
  if (status == append_status::kCommitted) {
    base_ = {std::move(ended.head), version};
    confirmed_send_ = ended.sent;
  }
  ended.then(status);
}

}  // namespace chiveglade::authority
