// The row by which a process can be found by a new coordinator.
#ifndef CHIVEGLADE_APP_MEMBER_ROW_H_
#define CHIVEGLADE_APP_MEMBER_ROW_H_

#include <string>

#include "await.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/store/table.h"

namespace chiveglade::app {

// Writes the address of a process under a key, and tries until it is written.
class member_row {
 public:
  member_row(strand on,
             store::table_service table,
             std::string key,
             std::string address);

  void Start();

 private:
  void Write();

  strand on_;
  store::table_service table_;
  std::string key_;
  std::string address_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_MEMBER_ROW_H_
