#include "interference_keeper.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chiveglade::app {

namespace {

// Leaves room for the limits of the store to be counted in another encoding.
constexpr size_t kShareOfRow = 4;

}  // namespace

interference_keeper::interference_keeper(size_t max_row_bytes, hooks hooks)
    : max_bytes_(std::min(workflow::kMaxInterferenceRowBytes,
                          max_row_bytes / kShareOfRow)),
      hooks_(std::move(hooks)) {}

void interference_keeper::Begin() {
  End();
  Read();
}

void interference_keeper::End() {
  ++call_;
  calling_ = answered_ = failure_logged_ = false;
  stored_ = {};
}

void interference_keeper::Tick() {
  const auto now = hooks_.clock();
  if (now - called_at_ < kInterval ||
      (calling_ && now - called_at_ < kCallTimeout)) {
    return;
  }
  if (!answered_) {
    // A row that may be there is not overwritten by the little that is known
    // just after a takeover.
    Read();
    return;
  }
  workflow::interference_row next;
  next.written_unix_ms = hooks_.unix_ms();
  next.pairs = hooks_.learned(next.written_unix_ms);
  if (workflow::DiffersInEffect(stored_, next)) {
    Write(std::move(next));
  }
}

void interference_keeper::Read() {
  calling_ = true;
  called_at_ = hooks_.clock();
  hooks_.table.read(
      workflow::kInterferenceKey,
      [this, call = ++call_](const result<std::optional<store::row>>& answer) {
        if (call == call_) {
          calling_ = false;
          OnRead(answer);
        }
      });
}

void interference_keeper::OnRead(
    const result<std::optional<store::row>>& answer) {
  if (!answer) {
    LogNotRead(answer.last_reason());
    failure_logged_ = true;
    return;
  }
  answered_ = true;
  if (!answer->has_value()) {
    LogNotRead({"missing", "there is no row"});
    return;
  }
  auto row = workflow::DecodeInterferenceRow((*answer)->value);
  if (!row) {
    LogNotRead(row.last_reason());
    return;
  }
  const int64_t now = hooks_.unix_ms();
  const millis age(std::max<int64_t>(0, now - row->written_unix_ms));
  auto pairs = row->pairs;
  for (auto& pair : pairs) {
    pair.age += age;
  }
  const size_t taken = hooks_.restored(pairs, now);
  stored_ = *row;
  hooks_.log("interference_restored",
             {{"pairs", std::to_string(taken)},
              {"stored", std::to_string(pairs.size())},
              {"age_ms", std::to_string(age.count())}});
}

void interference_keeper::LogNotRead(const reason& why) const {
  if (!failure_logged_) {
    hooks_.log("interference_not_read",
               {{"reason", why.code}, {"detail", why.detail}});
  }
}

void interference_keeper::Write(workflow::interference_row row) {
  store::transaction change;
  change.mutations.push_back(
      {workflow::kInterferenceKey,
       workflow::EncodeInterferenceRow(row, max_bytes_)});
  calling_ = true;
  called_at_ = hooks_.clock();
  hooks_.table.commit(
      std::move(change), [this, call = ++call_, row = std::move(row)](
                             const store::commit_outcome& outcome) {
        if (call != call_) {
          return;
        }
        calling_ = false;
        if (outcome.status == store::commit_status::kCommitted) {
          stored_ = row;
        }
      });
}

}  // namespace chiveglade::app
