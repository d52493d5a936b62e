// The role of an entry VM's process.
#ifndef CHIVEGLADE_APP_ENTRY_ROLE_H_
#define CHIVEGLADE_APP_ENTRY_ROLE_H_

#include <memory>

#include "chiveglade/config/settings.h"
#include "chiveglade/core/result.h"
#include "exit_code.h"

namespace chiveglade::app {

// Takes callers' requests, operators' actions and agents' heartbeats, and
// stands ready to be the scheduler.
class entry_role {
 public:
  // Opens the listening sockets; fails if an address cannot be used.
  static result<std::unique_ptr<entry_role>> Make(
      const config::entry_settings& settings);
  ~entry_role();

  // Runs until SIGTERM or SIGINT and stops gracefully.
  exit_code Run();

 private:
  struct parts;

  explicit entry_role(std::unique_ptr<parts> owned);

  std::unique_ptr<parts> parts_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_ENTRY_ROLE_H_
