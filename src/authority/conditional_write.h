// Writes one row conditionally and resolves lost answers by reading it back.
#ifndef CHIVEGLADE_AUTHORITY_CONDITIONAL_WRITE_H_
#define CHIVEGLADE_AUTHORITY_CONDITIONAL_WRITE_H_

#include <functional>
#include <memory>
#include <string>

#include "chiveglade/authority/commands.h"
#include "chiveglade/store/table.h"

namespace chiveglade::authority {

// One write of `value` to `key`, conditional on `seen_version`. A row that
// holds `value` counts as written by this request, so `value` must be unique to
// the request or harmless to write twice. Keeps itself alive until `then` is
// called.
class conditional_write
    : public std::enable_shared_from_this<conditional_write> {
 public:
  // `find_writer` returns the name of the operator who wrote another value.
  conditional_write(store::table_service table,
                    std::string key,
                    std::string value,
                    uint64_t seen_version,
                    std::function<std::string(const std::string&)> find_writer,
                    command_callback then);
  void Send();

  // Commits sent before a lost answer is reported as kUnknown.
  static constexpr int kMaxSends = 3;

 private:
  void OnCommit(const store::commit_outcome& outcome);
  void ReadBackRow();
  void OnRowRead(const result<std::optional<store::row>>& found);
  void OnOtherValue(const store::row& found);
  void Finish(command_status status,
              uint64_t version,
              const std::string& by,
              const std::string& detail);

  store::table_service table_;
  std::string key_;
  std::string value_;
  uint64_t seen_version_;
  std::function<std::string(const std::string&)> find_writer_;
  command_callback then_;
  int sends_ = 0;
  bool had_unknown_outcome_ = false;  // an earlier commit may have been applied
  // The last commit was certainly not applied.
  bool last_send_conflicted_ = false;
};

}  // namespace chiveglade::authority

#endif  // CHIVEGLADE_AUTHORITY_CONDITIONAL_WRITE_H_
