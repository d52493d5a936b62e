// The process beside a worker: carries out orders, keeps leases, reports.
#ifndef CHIVEGLADE_APP_RUNNER_ROLE_H_
#define CHIVEGLADE_APP_RUNNER_ROLE_H_

#include <memory>

#include "chiveglade/config/settings.h"
#include "chiveglade/core/result.h"
#include "exit_code.h"

namespace chiveglade::app {

class runner_role {
 public:
  ~runner_role();

  static result<std::unique_ptr<runner_role>> Make(
      const config::runner_settings& settings);

  // Runs until SIGTERM and a graceful stop.
  exit_code Run();

 private:
  struct parts;
  explicit runner_role(std::unique_ptr<parts> owned);
  std::unique_ptr<parts> parts_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_RUNNER_ROLE_H_
