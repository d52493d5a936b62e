// Polls the rows that operators' entries write: commands and data centres.
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

// What is known of one data centre.
struct data_centre_view {
  data_centre_row row;
  uint64_t version = 0;
  boot_time returned_at{};  // when a change from out to in was seen
  bool returned = false;
};

class control_rows {
 public:
  control_rows(store::table_service table,
               millis command_poll,
               millis data_centre_poll);

  // Starts the polls that are due.
  void Tick(boot_time now);

  // Makes the next Tick read the data centre rows at once.
  void Refresh() { next_data_centres_ = boot_time{}; }

  // Command rows of the newest poll that are not absorbed yet.
  const std::vector<store::row>& commands() const { return commands_; }
  // Forgets rows that were absorbed, so that they are not handled twice before
  // the next poll.
  void Absorbed(const std::vector<std::string>& keys);

  // True once the data centre rows have been read.
  bool data_centres_known() const { return data_centres_known_; }
  const std::map<std::string, data_centre_view>& data_centres() const {
    return data_centres_;
  }
  bool Out(const std::string& data_centre) const;
  uint64_t Version(const std::string& data_centre) const;

  // Fills in phases; a data centre counts as returning for `ramp`.
  void Describe(boot_time now, millis ramp, sched::cluster_view& view) const;

  // Most command rows read by one poll.
  static constexpr size_t kCommandsPerPoll = 200;
  static constexpr size_t kMaxDataCentres = 200;

 private:
  void OnCommands(const result<std::vector<store::row>>& found);
  void OnDataCentres(const result<std::vector<store::row>>& found);
  void TakeRow(const store::row& row);

  store::table_service table_;
  millis command_poll_;
  millis data_centre_poll_;
  boot_time now_{};
  boot_time next_commands_{};
  boot_time next_data_centres_{};
  bool commands_open_ = false;
  bool data_centres_open_ = false;
  bool data_centres_known_ = false;
  std::vector<store::row> commands_;
  std::set<std::string> absorbed_;  // while a poll is under way
  std::map<std::string, data_centre_view> data_centres_;
  std::shared_ptr<control_rows*> self_;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_CONTROL_ROWS_H_
