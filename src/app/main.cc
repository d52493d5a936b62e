// The chiveglade program.
#include <string>

#include "command_line.h"

namespace {

using chiveglade::app::exit_code;

constexpr char kExitCodes[] =
    "Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 not accepted "
    "(nothing changed), 5 outcome unknown, 6 not found, 7 no entry answered.";

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Scheduler for colocated latency-critical and batch work"};
  app.set_version_flag("--version", "chiveglade 0.1.0");
  app.require_subcommand(1);
  app.footer(kExitCodes);
  chiveglade::app::command_fn chosen;
  chiveglade::app::AddRoleCommands(app, chosen);
  chiveglade::app::AddManifestCommands(app, chosen);
  chiveglade::app::AddJobCommands(app, chosen);
  chiveglade::app::AddDataCentreCommands(app, chosen);
  chiveglade::app::AddWorkerCommands(app, chosen);
  chiveglade::app::AddSettingsCommands(app, chosen);
  chiveglade::app::AddConfigCommands(app, chosen);
  chiveglade::app::AddExplainCommand(app, chosen);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // Help and version end with 0; every mistake with the code for bad input.
    return app.exit(error) == 0 ? static_cast<int>(exit_code::kDone)
                                : static_cast<int>(exit_code::kInvalid);
  }
  return static_cast<int>(chosen());
}
