// Polls the rows that entries write for operators: commands and data centres.
#ifndef CHIVEGLADE_AUTHORITY_CONTROL_ROWS_H_
#define CHIVEGLADE_AUTHORITY_CONTROL_ROWS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chiveglade/authority/rows.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/sched/planner.h"
#include "chiveglade/store/table.h"

namespace chiveglade::authority {

// The last row read for one data centre.
struct data_centre_view {
  data_centre_row row;
  uint64_t version = 0;
  boot_time returned_at{};  // when its return to service was seen
  bool returned = false;
};

class control_rows {
 public:
  control_rows(store::table_service table,
               millis command_poll_interval,
               millis data_centre_poll_interval);

  // Starts the scans that are due.
  void Tick(boot_time now);

  // Makes the next Tick read the data centre rows.
  void RefreshDataCentres() { next_data_centre_scan_ = boot_time{}; }

  // Command rows of the newest scan that are not executed yet.
  const std::vector<store::row>& commands() const { return commands_; }
  // Drops rows whose execution is committed, so that none is handled twice
  // before the next scan.
  void MarkExecuted(const std::vector<std::string>& keys);

  // Whether the data centre rows have been read at least once.
  bool data_centres_known() const { return data_centres_known_; }
  const std::map<std::string, data_centre_view>& data_centres() const {
    return data_centres_;
  }
  bool IsOutOfService(const std::string& data_centre) const;
  uint64_t Version(const std::string& data_centre) const;

  // Sets the phases in `view`; a data centre is kReturning for `ramp` after its
  // return.
  void FillDataCentres(boot_time now,
                       millis ramp,
                       sched::cluster_view& view) const;

  // Most command rows read by one scan.
  static constexpr size_t kMaxCommandsPerPoll = 200;
  static constexpr size_t kMaxDataCentres = 200;

 private:
  void OnCommands(const result<std::vector<store::row>>& found);
  void OnDataCentres(const result<std::vector<store::row>>& found);
  void UpdateDataCentre(const store::row& row);

  store::table_service table_;
  millis command_poll_interval_;
  millis data_centre_poll_interval_;
  boot_time last_tick_{};
  boot_time next_command_scan_{};
  boot_time next_data_centre_scan_{};
  bool command_scan_in_flight_ = false;
  bool data_centre_scan_in_flight_ = false;
  bool data_centres_known_ = false;
  std::vector<store::row> commands_;
  std::set<std::string> executed_;  // since the last scan began
  std::map<std::string, data_centre_view> data_centres_;
  std::shared_ptr<control_rows*> self_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_CONTROL_ROWS_H_
