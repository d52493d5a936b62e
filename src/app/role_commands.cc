#include <iostream>

#include "agent_role.h"
#include "chiveglade/config/settings.h"
#include "chiveglade/observe/log.h"
#include "command_line.h"
#include "entry_role.h"
#include "gateway_role.h"
#include "runner_role.h"
#include "settings_file.h"

namespace chiveglade::app {

namespace {

// Reads the settings of a role, checks them, and runs it unless only the check
// was asked for.
template <typename Settings, typename Role>
exit_code RunRole(const std::string& path,
                  bool check_only,
                  config::checked<Settings> (*parse)(const std::string&,
                                                     const std::string&),
                  const std::string& (*name_of)(const Settings&)) {
  const auto settings = LoadSettings(path, parse);
  if (!settings) {
    return exit_code::kInvalid;
  }
  if (check_only) {
    std::cout << path << ": no problems\n";
    return exit_code::kDone;
  }
  observe::InitLogging("chiveglade", name_of(*settings));
  auto role = Role::Make(*settings);
  if (!role) {
    observe::LogError("start_failed", {{"reason", role.last_reason().code},
                                       {"detail", role.last_reason().detail}});
    return exit_code::kFailed;
  }
  return (*role)->Run();
}

const std::string& EntryName(const config::entry_settings& in) {
  return in.name;
}

const std::string& AgentName(const config::agent_settings& in) {
  return in.vm;
}

const std::string& GatewayName(const config::gateway_settings& in) {
  return in.name;
}

const std::string& RunnerName(const config::runner_settings& in) {
  return in.vm;
}

}  // namespace

void AddRoleCommands(CLI::App& app, command_fn& chosen) {
  static std::string path;
  static bool check_only = false;
  auto* entry = app.add_subcommand(
      "entry", "Take requests, operators' actions and heartbeats");
  auto* agent =
      app.add_subcommand("agent", "Run beside a worker and announce it");
  auto* gateway = app.add_subcommand(
      "gateway", "Take jobs and, holding the role, coordinate their tasks");
  auto* runner = app.add_subcommand(
      "runner", "Run a worker's tasks for the coordinator, beside the worker");
  for (auto* role : {entry, agent, gateway, runner}) {
    role->add_option("settings", path, "Settings file")->required();
    role->add_flag("--check", check_only,
                   "Only report the problems of the settings");
  }
  entry->callback([&chosen] {
    chosen = [] {
      return RunRole<config::entry_settings, entry_role>(
          path, check_only, &config::ParseEntrySettings, &EntryName);
    };
  });
  gateway->callback([&chosen] {
    chosen = [] {
      return RunRole<config::gateway_settings, gateway_role>(
          path, check_only, &config::ParseGatewaySettings, &GatewayName);
    };
  });
  runner->callback([&chosen] {
    chosen = [] {
      return RunRole<config::runner_settings, runner_role>(
          path, check_only, &config::ParseRunnerSettings, &RunnerName);
    };
  });
  agent->callback([&chosen] {
    chosen = [] {
      return RunRole<config::agent_settings, agent_role>(
          path, check_only, &config::ParseAgentSettings, &AgentName);
    };
  });
}

}  // namespace chiveglade::app
