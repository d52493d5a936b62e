#include "chiveglade/workflow/fenced_writer.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chiveglade::workflow {

fenced_writer::fenced_writer(writer_options options, hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      self_(std::make_shared<fenced_writer*>(this)) {}

void fenced_writer::Tick() {
  const auto now = hooks_.clock();
  if (pending_) {
    if (!pending_->awaiting_answer && now >= pending_->retry_at) {
      pending_->outcome_unknown ? ResolveOutcome() : Send();
    }
    return;
  }
  if (holds_ && releasing_) {
    WriteRelease();
    return;
  }
  if (holds_) {
    if (now - last_commit_sent_at_ >= options_.renewal_interval) {
      Write({}, [](write_status) {});
    }
    return;
  }
  if (!releasing_ && now >= next_poll_ && !reading_) {
    next_poll_ = now + PollInterval();
    ReadLeaderRow();
  }
}

millis fenced_writer::PollInterval() const {
  const bool is_settled = observing_ && row_.ready && !row_.released &&
                          row_.fitness > options_.self.fitness;
  return is_settled ? options_.idle_poll_interval : options_.poll_interval;
}

void fenced_writer::ReadLeaderRow() {
  reading_ = true;
  hooks_.table.read(kLeaderKey,
                    [self = std::weak_ptr(self_)](
                        const result<std::optional<store::row>>& in) {
                      if (const auto at = self.lock()) {
                        (*at)->reading_ = false;
                        (*at)->OnLeaderRow(in);
                      }
                    });
}

void fenced_writer::OnLeaderRow(
    const result<std::optional<store::row>>& found) {
  if (holds_ || pending_ || releasing_) {
    return;
  }
  if (!found) {
    // The holder may not reach the store either, so the wait for its lease
    // starts again.
    observing_ = false;
    return;
  }
  Observe(found);
  const auto now = hooks_.clock();
  const auto age = [now](boot_time since) {
    return std::chrono::duration_cast<millis>(now - since);
  };
  leader_observation seen;
  if (*found) {
    seen = {row_, age(unchanged_since_), age(unready_since_)};
  }
  if (MayTakeOver(options_.self, seen, options_.succession)) {
    TakeOver(version_);
  } else if (hooks_.other_holder_seen) {
    hooks_.other_holder_seen(row_);
  }
}

void fenced_writer::Observe(const result<std::optional<store::row>>& found) {
  const auto now = hooks_.clock();
  const uint64_t version = *found ? (*found)->version : 0;
  const uint64_t epoch_before = row_.epoch;
  if (*found) {
    if (auto row = DecodeLeaderRow((*found)->value)) {
      row_ = *std::move(row);
    } else {
      // The version is above every epoch, since each takeover raises both.
      row_ = {};
      row_.epoch = std::max(epoch_before, version);
      row_.ready = true;
      if (hooks_.row_unreadable) {
        hooks_.row_unreadable(row.last_reason());
      }
    }
  }
  if (!observing_ || version != version_) {
    unchanged_since_ = now;
  }
  if (!observing_ || row_.epoch != epoch_before || row_.ready) {
    unready_since_ = now;
  }
  observing_ = true;
  version_ = version;
}

void fenced_writer::TakeOver(uint64_t version) {
  leader_row row;
  row.epoch = row_.epoch + 1;
  const bool was_cut_short = version != 0 && !row_.ready && !row_.released;
  row.failed_takeovers = was_cut_short ? row_.failed_takeovers + 1 : 0;
  ready_ = false;
  StartWrite(row, version, {}, [this](write_status status) {
    // After a conflict the observation goes on, or a holder that keeps renewing
    // would restart it with every lost race.
    observing_ = observing_ && status == write_status::kFenced;
    if (status == write_status::kCommitted) {
      holds_ = true;
      if (!releasing_) {
        hooks_.gained(row_.epoch);
      }
    }
  });
}

void fenced_writer::Write(std::vector<store::mutation> changes,
                          std::function<void(write_status)> then) {
  assert(holds_ && !busy());
  leader_row row;
  row.epoch = row_.epoch;
  row.failed_takeovers = ready_ ? 0 : row_.failed_takeovers;
  StartWrite(row, version_, std::move(changes), std::move(then));
}

void fenced_writer::Release(std::function<void()> then) {
  releasing_ = true;
  if (!holds_ && !busy()) {
    then();
    return;
  }
  released_ = std::move(then);
  if (!busy()) {
    WriteRelease();
  }
}

void fenced_writer::HandOver(const std::string& successor) {
  assert(holds_ && !busy());
  leader_row row;
  row.epoch = row_.epoch;
  row.released = true;
  row.successor = successor;
  StartWrite(row, version_, {}, [this](write_status status) {
    if (status == write_status::kCommitted) {
      LoseRole("handed over");
    }
  });
}

void fenced_writer::WriteRelease() {
  leader_row row;
  row.epoch = row_.epoch;
  row.released = true;
  StartWrite(row, version_, {}, [this](write_status) { holds_ = false; });
}

void fenced_writer::StartWrite(leader_row row,
                               uint64_t version,
                               std::vector<store::mutation> changes,
                               std::function<void(write_status)> then) {
  row.holder = options_.self.name;
  row.address = options_.self.address;
  row.fitness = options_.self.fitness;
  row.ready = ready_;
  row.nonce = options_.self.name + "-" + std::to_string(hooks_.random());
  pending_write next;
  next.change.conditions = {{kLeaderKey, version}};
  next.change.mutations = std::move(changes);
  next.change.mutations.push_back({kLeaderKey, EncodeLeaderRow(row)});
  next.row = std::move(row);
  next.then = std::move(then);
  version_ = version;
  pending_ = std::move(next);
  Send();
}

void fenced_writer::Send() {
  pending_->awaiting_answer = true;
  pending_->outcome_unknown = false;
  pending_->sent = hooks_.clock();
  hooks_.table.commit(
      pending_->change,
      [self = std::weak_ptr(self_)](const store::commit_outcome& outcome) {
        if (const auto at = self.lock()) {
          (*at)->OnOutcome(outcome);
        }
      });
}

void fenced_writer::OnOutcome(const store::commit_outcome& outcome) {
  pending_->awaiting_answer = false;
  switch (outcome.status) {
    case store::commit_status::kCommitted:
      FinishWrite(write_status::kCommitted, outcome.version);
      return;
    case store::commit_status::kUnknown:
      pending_->was_ever_unknown = true;
      pending_->outcome_unknown = true;
      pending_->retry_at = hooks_.clock() + options_.outcome_retry_interval;
      return;
    case store::commit_status::kConflict:
      if (pending_->was_ever_unknown) {
        // An earlier attempt of the same write may have been applied late.
        ResolveOutcome();
        return;
      }
      FinishWrite(write_status::kFenced, 0);
      return;
    case store::commit_status::kNotApplied:
      if (hooks_.write_refused) {
        hooks_.write_refused(outcome.why, pending_->change);
      }
      if (pending_->was_ever_unknown) {
        pending_->outcome_unknown = true;
        pending_->retry_at = hooks_.clock() + options_.outcome_retry_interval;
        return;
      }
      FinishWrite(write_status::kNotApplied, 0);
      return;
  }
}

void fenced_writer::ResolveOutcome() {
  pending_->awaiting_answer = true;
  hooks_.table.read(kLeaderKey,
                    [self = std::weak_ptr(self_)](
                        const result<std::optional<store::row>>& found) {
                      if (const auto at = self.lock()) {
                        (*at)->OnResolved(found);
                      }
                    });
}

void fenced_writer::OnResolved(const result<std::optional<store::row>>& found) {
  pending_->awaiting_answer = false;
  if (!found) {
    pending_->outcome_unknown = true;
    pending_->retry_at = hooks_.clock() + options_.outcome_retry_interval;
    return;
  }
  const uint64_t version = *found ? (*found)->version : 0;
  if (*found) {
    const auto row = DecodeLeaderRow((*found)->value);
    if (row && row->nonce == pending_->row.nonce) {
      FinishWrite(write_status::kCommitted, version);
      return;
    }
  }
  if (version != version_) {
    FinishWrite(write_status::kFenced, 0);
    return;
  }
  Send();
}

void fenced_writer::FinishWrite(write_status status, uint64_t version) {
  pending_write ended = std::move(*pending_);
  pending_.reset();
  if (status == write_status::kCommitted) {
    row_ = std::move(ended.row);
    version_ = version;
    last_commit_sent_at_ = ended.sent;
  } else if (status == write_status::kFenced && holds_) {
    LoseRole("another process wrote the leader row");
  }
  ended.then(status);
  if (released_ && !holds_ && !pending_) {
    std::exchange(released_, nullptr)();
  }
}

void fenced_writer::LoseRole(const char* why) {
  holds_ = false;
  ready_ = false;
  observing_ = false;
  next_poll_ = {};
  hooks_.lost(why);
}

}  // namespace chiveglade::workflow
