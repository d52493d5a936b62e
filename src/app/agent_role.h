// The role of the process beside a worker.
#ifndef CHIVEGLADE_APP_AGENT_ROLE_H_
#define CHIVEGLADE_APP_AGENT_ROLE_H_

#include <memory>

#include "chiveglade/config/settings.h"
#include "chiveglade/core/result.h"
#include "exit_code.h"

namespace chiveglade::app {

// Announces the VM, admits tasks and forwards requests to the worker.
class agent_role {
 public:
  // Opens the listening sockets; fails if an address cannot be used.
  static result<std::unique_ptr<agent_role>> Make(
      const config::agent_settings& settings);
  ~agent_role();

  // Runs until SIGTERM or SIGINT and stops gracefully.
  exit_code Run();

 private:
  struct parts;

  explicit agent_role(std::unique_ptr<parts> owned);

  std::unique_ptr<parts> parts_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_AGENT_ROLE_H_
