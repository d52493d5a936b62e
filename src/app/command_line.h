// The command line: one subcommand for each role and operator action.
#ifndef CHIVEGLADE_APP_COMMAND_LINE_H_
#define CHIVEGLADE_APP_COMMAND_LINE_H_

#include <functional>

#include <CLI/CLI.hpp>

#include "exit_code.h"

namespace chiveglade::app {

// Runs the chosen subcommand after parsing. Set by the callbacks of CLI11.
using command_fn = std::function<exit_code()>;

// Each adds its subcommands; the callback of the one chosen sets `chosen`.
void AddRoleCommands(CLI::App& app, command_fn& chosen);
void AddSettingsCommands(CLI::App& app, command_fn& chosen);
void AddManifestCommands(CLI::App& app, command_fn& chosen);
void AddJobCommands(CLI::App& app, command_fn& chosen);
void AddDataCentreCommands(CLI::App& app, command_fn& chosen);
void AddWorkerCommands(CLI::App& app, command_fn& chosen);
void AddConfigCommands(CLI::App& app, command_fn& chosen);
void AddExplainCommand(CLI::App& app, command_fn& chosen);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_COMMAND_LINE_H_
