// The process that takes callers' jobs and, if it holds the role, coordinates.
#ifndef CHIVEGLADE_APP_GATEWAY_ROLE_H_
#define CHIVEGLADE_APP_GATEWAY_ROLE_H_

#include <memory>

#include "chiveglade/config/settings.h"
#include "chiveglade/core/result.h"
#include "exit_code.h"

namespace chiveglade::app {

class gateway_role {
 public:
  ~gateway_role();

  static result<std::unique_ptr<gateway_role>> Make(
      const config::gateway_settings& settings);

  // Runs until SIGTERM and a graceful stop.
  exit_code Run();

 private:
  struct parts;
  explicit gateway_role(std::unique_ptr<parts> owned);
  std::unique_ptr<parts> parts_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_GATEWAY_ROLE_H_
