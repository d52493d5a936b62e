#include "conditional_write.h"

#include <utility>

namespace chiveglade::authority {

conditional_write::conditional_write(
    store::table_service table,
    std::string key,
    std::string value,
    uint64_t seen_version,
    std::function<std::string(const std::string&)> find_writer,
    command_callback then)
    : table_(std::move(table)),
      key_(std::move(key)),
      value_(std::move(value)),
      seen_version_(seen_version),
      find_writer_(std::move(find_writer)),
      then_(std::move(then)) {}

void conditional_write::Send() {
  ++sends_;
  last_send_conflicted_ = false;
  table_.commit(
      {{{key_, seen_version_}}, {{key_, value_}}},
      [self = shared_from_this()](const store::commit_outcome& outcome) {
        self->OnCommit(outcome);
      });
}

void conditional_write::OnCommit(const store::commit_outcome& outcome) {
  switch (outcome.status) {
    case store::commit_status::kCommitted:
      Finish(command_status::kAccepted, outcome.version, "", "accepted");
      return;
    case store::commit_status::kNotApplied:
      if (had_unknown_outcome_) {
        ReadBackRow();
        return;
      }
      Finish(command_status::kNotAccepted, 0, "",
             "not accepted, nothing changed: " + outcome.why.detail);
      return;
    case store::commit_status::kConflict:
      last_send_conflicted_ = true;
      ReadBackRow();
      return;
    case store::commit_status::kUnknown:
      had_unknown_outcome_ = true;
      ReadBackRow();
      return;
  }
}

void conditional_write::ReadBackRow() {
  table_.read(key_, [self = shared_from_this()](
                        const result<std::optional<store::row>>& found) {
    self->OnRowRead(found);
  });
}

void conditional_write::OnRowRead(
    const result<std::optional<store::row>>& found) {
  if (!found) {
    if (last_send_conflicted_ && !had_unknown_outcome_) {
      Finish(command_status::kConflict, 0, "",
             "another change was committed first; nothing changed");
    } else {
      Finish(command_status::kUnknown, 0, "",
             "outcome unknown: " + found.last_reason().detail);
    }
    return;
  }
  if (*found && (*found)->value == value_) {
    Finish(command_status::kAccepted, (*found)->version, "", "accepted");
    return;
  }
  const uint64_t version = *found ? (*found)->version : 0;
  if (version == seen_version_ || !*found) {
    // Unchanged, or executed and deleted: the write can be sent again.
    if (sends_ < kMaxSends) {
      Send();
    } else {
      Finish(command_status::kUnknown, version, "", "outcome unknown");
    }
    return;
  }
  OnOtherValue(**found);
}

void conditional_write::OnOtherValue(const store::row& found) {
  const std::string by = find_writer_(found.value);
  if (had_unknown_outcome_) {
    // The other change may have been made after this one took effect.
    Finish(command_status::kUnknown, found.version, by,
           "outcome unknown; the row was changed by " + by);
    return;
  }
  Finish(command_status::kConflict, found.version, by,
         "changed by " + by + " first, at version " +
             std::to_string(found.version) + "; nothing changed");
}

void conditional_write::Finish(command_status status,
                               uint64_t version,
                               const std::string& by,
                               const std::string& detail) {
  std::exchange(then_, nullptr)({status, version, by, detail});
}

}  // namespace chiveglade::authority
