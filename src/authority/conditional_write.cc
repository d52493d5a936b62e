#include "conditional_write.h"

#include <utility>

namespace chiveglade::authority {

conditional_write::conditional_write(
    store::table_service table,
    std::string key,
    std::string value,
    uint64_t seen_version,
    std::function<std::string(const std::string&)> who,
    command_callback then)
    : table_(std::move(table)),
      key_(std::move(key)),
      value_(std::move(value)),
      seen_version_(seen_version),
      who_(std::move(who)),
      then_(std::move(then)) {}

void conditional_write::Send() {
  ++sends_;
  conflict_ = false;
  table_.commit(
      {{{key_, seen_version_}}, {{key_, value_}}},
      [self = shared_from_this()](const store::commit_outcome& outcome) {
        self->OnCommit(outcome);
      });
}

void conditional_write::OnCommit(const store::commit_outcome& outcome) {
  switch (outcome.status) {
    case store::commit_status::kCommitted:
      End(command_status::kAccepted, outcome.version, "", "accepted");
      return;
    case store::commit_status::kNotApplied:
      if (was_unknown_) {
        Settle();
        return;
      }
      End(command_status::kNotAccepted, 0, "",
          "not accepted, nothing changed: " + outcome.why.detail);
      return;
    case store::commit_status::kConflict:
      conflict_ = true;
      Settle();
      return;
    case store::commit_status::kUnknown:
      was_unknown_ = true;
      Settle();
      return;
  }
}

void conditional_write::Settle() {
  table_.read(key_, [self = shared_from_this()](
                        const result<std::optional<store::row>>& found) {
    self->OnRow(found);
  });
}

void conditional_write::OnRow(const result<std::optional<store::row>>& found) {
  if (!found) {
    if (conflict_ && !was_unknown_) {
      End(command_status::kConflict, 0, "",
          "another change came first, nothing changed");
    } else {
      End(command_status::kUnknown, 0, "",
          "outcome unknown: " + found.last_reason().detail);
    }
    return;
  }
  if (*found && (*found)->value == value_) {
    End(command_status::kAccepted, (*found)->version, "", "accepted");
    return;
  }
  const uint64_t version = *found ? (*found)->version : 0;
  if (version == seen_version_ || !*found) {
    // Unchanged, or absorbed and deleted: the write can be sent again.
    if (sends_ < kMaxSends) {
      Send();
    } else {
      End(command_status::kUnknown, version, "", "outcome unknown");
    }
    return;
  }
  OnOther(**found);
}

void conditional_write::OnOther(const store::row& found) {
  const std::string by = who_(found.value);
  if (was_unknown_) {
    // The other change may have been made on top of this one.
    End(command_status::kUnknown, found.version, by,
        "outcome unknown; the row was changed by " + by);
    return;
  }
  End(command_status::kConflict, found.version, by,
      "changed by " + by + " before, at version " +
          std::to_string(found.version) + "; nothing changed");
}

void conditional_write::End(command_status status,
                            uint64_t version,
                            const std::string& by,
                            const std::string& detail) {
  std::exchange(then_, nullptr)({status, version, by, detail});
}

}  // namespace chiveglade::authority
