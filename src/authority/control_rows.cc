#include "control_rows.h"

#include <algorithm>
#include <utility>

namespace chiveglade::authority {

control_rows::control_rows(store::table_service table,
                           millis command_poll,
                           millis data_centre_poll)
    : table_(std::move(table)),
      command_poll_(command_poll),
      data_centre_poll_(data_centre_poll),
      self_(std::make_shared<control_rows*>(this)) {}

void control_rows::Tick(boot_time now) {
  now_ = now;
  if (!data_centres_open_ && now >= next_data_centres_) {
    next_data_centres_ = now + data_centre_poll_;
    data_centres_open_ = true;
    table_.scan(kDataCentrePrefix, kMaxDataCentres,
                [self = std::weak_ptr(self_)](
                    const result<std::vector<store::row>>& found) {
                  if (const auto at = self.lock()) {
                    (*at)->OnDataCentres(found);
                  }
                });
  }
  if (!commands_open_ && now >= next_commands_) {
    next_commands_ = now + command_poll_;
    commands_open_ = true;
    absorbed_.clear();
    table_.scan(kCommandPrefix, kCommandsPerPoll,
                [self = std::weak_ptr(self_)](
                    const result<std::vector<store::row>>& found) {
                  if (const auto at = self.lock()) {
                    (*at)->OnCommands(found);
                  }
                });
  }
}

void control_rows::OnCommands(const result<std::vector<store::row>>& found) {
  commands_open_ = false;
  if (!found) {
    return;
  }
  commands_ = *found;
  // The scan may be older than an absorption that was committed meanwhile.
  std::erase_if(commands_, [this](const store::row& row) {
    return absorbed_.contains(row.key);
  });
}

void control_rows::Absorbed(const std::vector<std::string>& keys) {
  absorbed_.insert(keys.begin(), keys.end());
  std::erase_if(commands_, [this](const store::row& row) {
    return absorbed_.contains(row.key);
  });
}

void control_rows::OnDataCentres(const result<std::vector<store::row>>& found) {
  data_centres_open_ = false;
  if (!found) {
    return;
  }
  for (const auto& row : *found) {
    TakeRow(row);
  }
  data_centres_known_ = true;
}

void control_rows::TakeRow(const store::row& row) {
  const std::string name = row.key.substr(sizeof(kDataCentrePrefix) - 1);
  auto& at = data_centres_[name];
  if (row.version <= at.version) {
    return;
  }
  const bool was_out = at.version != 0 && at.row.out;
  at.version = row.version;
  if (auto read = ReadDataCentre(row.value)) {
    at.row = *read;
  } else {
    // A row that cannot be read counts as out: no starts is the safe side.
    at.row.out = true;
    at.row.why = read.last_reason().detail;
  }
  at.returned = was_out && !at.row.out;
  if (at.returned) {
    at.returned_at = now_;
  }
}

bool control_rows::Out(const std::string& data_centre) const {
  const auto at = data_centres_.find(data_centre);
  return at != data_centres_.end() && at->second.row.out;
}

uint64_t control_rows::Version(const std::string& data_centre) const {
  const auto at = data_centres_.find(data_centre);
  return at == data_centres_.end() ? 0 : at->second.version;
}

void control_rows::Describe(boot_time now,
                            millis ramp,
                            sched::cluster_view& view) const {
  for (const auto& [name, at] : data_centres_) {
    const bool ramping = at.returned && now < at.returned_at + ramp;
    view.data_centres[name] = at.row.out
                                  ? sched::data_centre_phase::kOutOfService
                              : ramping ? sched::data_centre_phase::kReturning
                                        : sched::data_centre_phase::kInService;
    if (!at.row.out && ramping) {
      view.returned_at[name] = at.returned_at;
    }
  }
}

}  // namespace chiveglade::authority
