// Writes one row on a condition and settles lost answers by reading.
#ifndef CHIVEGLADE_AUTHORITY_CONDITIONAL_WRITE_H_
#define CHIVEGLADE_AUTHORITY_CONDITIONAL_WRITE_H_

#include <functional>
#include <memory>
#include <string>

#include "chiveglade/authority/commands.h"
#include "chiveglade/store/table.h"

namespace chiveglade::authority {

// One write of `value` to `key`, conditional on `seen_version`. `value` must be
// unique to the request (or writing it twice be harmless): a row that holds it
// counts as written by this request. Keeps itself alive until `then` is called.
class conditional_write
    : public std::enable_shared_from_this<conditional_write> {
 public:
  // `who` names the writer of another value, for the operator.
  conditional_write(store::table_service table,
                    std::string key,
                    std::string value,
                    uint64_t seen_version,
                    std::function<std::string(const std::string&)> who,
                    command_callback then);
  void Send();

  // Sends before a lost answer is reported as an unknown outcome.
  static constexpr int kMaxSends = 3;

 private:
  void OnCommit(const store::commit_outcome& outcome);
  void Settle();
  void OnRow(const result<std::optional<store::row>>& found);
  void OnOther(const store::row& found);
  void End(command_status status,
           uint64_t version,
           const std::string& by,
           const std::string& detail);

  store::table_service table_;
  std::string key_;
  std::string value_;
  uint64_t seen_version_;
  std::function<std::string(const std::string&)> who_;
  command_callback then_;
  int sends_ = 0;
  bool was_unknown_ = false;  // an earlier copy may have been applied
  bool conflict_ = false;     // the newest copy certainly was not
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_CONDITIONAL_WRITE_H_
