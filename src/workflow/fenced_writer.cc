#include "chiveglade/workflow/fenced_writer.h"

#include <cassert>
#include <utility>

#include "src/state/cbor.h"

namespace chiveglade::workflow {

namespace {

// How often a process without the role reads the row. A fifth of the lease.
constexpr millis kPollEvery{300};

}  // namespace

std::string EncodeLeaderRow(const leader_row& in) {
  return state::WriteCbor(
      state::Row(in.epoch, in.holder, in.address, in.nonce, in.released));
}

result<leader_row> DecodeLeaderRow(const std::string& text) {
  auto parsed = state::ParseCborArray(text, "the leader row");
  if (!parsed) {
    return parsed.last_reason();
  }
  state::cbor_reader in(*parsed);
  leader_row out;
  out.epoch = in.Int<uint64_t>();
  out.holder = in.Text();
  out.address = in.Text();
  out.nonce = in.Text();
  out.released = in.Bool();
  if (!in.Finished()) {
    return reason{"corrupt", "the leader row has the wrong fields"};
  }
  return out;
}

fenced_writer::fenced_writer(writer_options options, hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      self_(std::make_shared<fenced_writer*>(this)) {}

void fenced_writer::Tick() {
  const auto now = hooks_.clock();
  if (flight_) {
    if (!flight_->waiting && now >= flight_->retry_at) {
      flight_->unknown ? Settle() : Send();
    }
    return;
  }
  if (holds_ && releasing_) {
    WriteRelease();
    return;
  }
  if (holds_) {
    if (now - last_commit_sent_at_ >= options_.renew_every) {
      Write({}, [](write_status) {});
    }
    return;
  }
  if (!releasing_ && now >= next_poll_ && !reading_) {
    next_poll_ = now + kPollEvery;
    Watch();
  }
}

void fenced_writer::Watch() {
  reading_ = true;
  hooks_.table.read(kLeaderKey,
                    [self = std::weak_ptr(self_)](
                        const result<std::optional<store::row>>& in) {
                      if (const auto at = self.lock()) {
                        (*at)->reading_ = false;
                        (*at)->OnRow(in);
                      }
                    });
}

void fenced_writer::OnRow(const result<std::optional<store::row>>& found) {
  if (holds_ || flight_ || releasing_) {
    return;
  }
  if (!found) {
    // The holder may be unable to reach the store either.
    watching_ = false;
    return;
  }
  const auto now = hooks_.clock();
  const uint64_t version = *found ? (*found)->version : 0;
  if (*found) {
    if (auto row = DecodeLeaderRow((*found)->value)) {
      row_ = *std::move(row);
    }
  }
  if (!watching_ || version != version_) {
    watching_ = true;
    version_ = version;
    unchanged_since_ = now;
  }
  if (version == 0 || row_.released || row_.holder == options_.name ||
      now - unchanged_since_ >= options_.lease) {
    TakeOver(version);
    return;
  }
  if (hooks_.other_holder_seen) {
    hooks_.other_holder_seen(row_);
  }
}

void fenced_writer::TakeOver(uint64_t version) {
  leader_row row;
  row.epoch = row_.epoch + 1;
  Start(row, version, {}, [this](write_status status) {
    watching_ = false;
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
  Start(row, version_, std::move(changes), std::move(then));
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

void fenced_writer::WriteRelease() {
  leader_row row;
  row.epoch = row_.epoch;
  row.released = true;
  Start(row, version_, {}, [this](write_status) { holds_ = false; });
}

void fenced_writer::Start(leader_row row,
                          uint64_t version,
                          std::vector<store::mutation> changes,
                          std::function<void(write_status)> then) {
  row.holder = options_.name;
  row.address = options_.address;
  row.nonce = options_.name + "-" + std::to_string(hooks_.random());
  flight next;
  next.change.conditions = {{kLeaderKey, version}};
  next.change.mutations = std::move(changes);
  next.change.mutations.push_back({kLeaderKey, EncodeLeaderRow(row)});
  next.row = std::move(row);
  next.then = std::move(then);
  version_ = version;
  flight_ = std::move(next);
  Send();
}

void fenced_writer::Send() {
  flight_->waiting = true;
  flight_->unknown = false;
  flight_->sent = hooks_.clock();
  hooks_.table.commit(
      flight_->change,
      [self = std::weak_ptr(self_)](const store::commit_outcome& outcome) {
        if (const auto at = self.lock()) {
          (*at)->OnOutcome(outcome);
        }
      });
}

void fenced_writer::OnOutcome(const store::commit_outcome& outcome) {
  flight_->waiting = false;
  switch (outcome.status) {
    case store::commit_status::kCommitted:
      End(write_status::kCommitted, outcome.version);
      return;
    case store::commit_status::kUnknown:
      flight_->was_unknown = true;
      flight_->unknown = true;
      flight_->retry_at = hooks_.clock() + options_.settle_every;
      return;
    case store::commit_status::kConflict:
      if (flight_->was_unknown) {
        // An earlier copy of the same write may have been applied late.
        Settle();
        return;
      }
      End(write_status::kFenced, 0);
      return;
    case store::commit_status::kNotApplied:
      if (flight_->was_unknown) {
        flight_->unknown = true;
        flight_->retry_at = hooks_.clock() + options_.settle_every;
        return;
      }
      End(write_status::kNotApplied, 0);
      return;
  }
}

void fenced_writer::Settle() {
  flight_->waiting = true;
  hooks_.table.read(kLeaderKey,
                    [self = std::weak_ptr(self_)](
                        const result<std::optional<store::row>>& found) {
                      if (const auto at = self.lock()) {
                        (*at)->OnSettled(found);
                      }
                    });
}

void fenced_writer::OnSettled(const result<std::optional<store::row>>& found) {
  flight_->waiting = false;
  if (!found) {
    flight_->unknown = true;
    flight_->retry_at = hooks_.clock() + options_.settle_every;
    return;
  }
  const uint64_t version = *found ? (*found)->version : 0;
  if (*found) {
    const auto row = DecodeLeaderRow((*found)->value);
    if (row && row->nonce == flight_->row.nonce) {
      End(write_status::kCommitted, version);
      return;
    }
  }
  if (version != version_) {
    End(write_status::kFenced, 0);
    return;
  }
  Send();
}

void fenced_writer::End(write_status status, uint64_t version) {
  flight ended = std::move(*flight_);
  flight_.reset();
  if (status == write_status::kCommitted) {
    row_ = std::move(ended.row);
    version_ = version;
    last_commit_sent_at_ = ended.sent;
  } else if (status == write_status::kFenced && holds_) {
    LoseRole("another holder wrote the row");
  }
  ended.then(status);
  if (released_ && !holds_ && !flight_) {
    std::exchange(released_, nullptr)();
  }
}

void fenced_writer::LoseRole(const char* why) {
  holds_ = false;
  watching_ = false;
  next_poll_ = {};
  hooks_.lost(why);
}

}  // namespace chiveglade::workflow
