#include "control_rows.h"

#include <algorithm>
#include <utility>

namespace chiveglade::authority {

control_rows::control_rows(store::table_service table,
                           millis command_poll_interval,
                           millis data_centre_poll_interval)
    : table_(std::move(table)),
      command_poll_interval_(command_poll_interval),
      data_centre_poll_interval_(data_centre_poll_interval),
      self_(std::make_shared<control_rows*>(this)) {}

void control_rows::Tick(boot_time now) {
  last_tick_ = now;
  if (!data_centre_scan_in_flight_ && now >= next_data_centre_scan_) {
    next_data_centre_scan_ = now + data_centre_poll_interval_;
    data_centre_scan_in_flight_ = true;
    table_.scan(kDataCentrePrefix, kMaxDataCentres,
                [self = std::weak_ptr(self_)](
                    const result<std::vector<store::row>>& found) {
                  if (const auto at = self.lock()) {
                    (*at)->OnDataCentres(found);
                  }
                });
  }
  if (!command_scan_in_flight_ && now >= next_command_scan_) {
    next_command_scan_ = now + command_poll_interval_;
    command_scan_in_flight_ = true;
    executed_.clear();
    table_.scan(kCommandPrefix, kMaxCommandsPerPoll,
                [self = std::weak_ptr(self_)](
                    const result<std::vector<store::row>>& found) {
                  if (const auto at = self.lock()) {
                    (*at)->OnCommands(found);
                  }
                });
  }
}

void control_rows::OnCommands(const result<std::vector<store::row>>& found) {
  command_scan_in_flight_ = false;
  if (!found) {
    return;
  }
  commands_ = *found;
  // The scan may predate an append that deleted some of its rows.
  std::erase_if(commands_, [this](const store::row& row) {
    return executed_.contains(row.key);
  });
}

void control_rows::MarkExecuted(const std::vector<std::string>& keys) {
  executed_.insert(keys.begin(), keys.end());
  std::erase_if(commands_, [this](const store::row& row) {
    return executed_.contains(row.key);
  });
}

void control_rows::OnDataCentres(const result<std::vector<store::row>>& found) {
  data_centre_scan_in_flight_ = false;
  if (!found) {
    return;
  }
  for (const auto& row : *found) {
    UpdateDataCentre(row);
  }
  data_centres_known_ = true;
}

void control_rows::UpdateDataCentre(const store::row& row) {
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
    // An unreadable row counts as out of service: starting nothing is safe.
    at.row.out = true;
    at.row.why = read.last_reason().detail;
  }
  at.returned = was_out && !at.row.out;
  if (at.returned) {
    at.returned_at = last_tick_;
  }
}

bool control_rows::IsOutOfService(const std::string& data_centre) const {
  const auto at = data_centres_.find(data_centre);
  return at != data_centres_.end() && at->second.row.out;
}

uint64_t control_rows::Version(const std::string& data_centre) const {
  const auto at = data_centres_.find(data_centre);
  return at == data_centres_.end() ? 0 : at->second.version;
}

void control_rows::FillDataCentres(boot_time now,
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
