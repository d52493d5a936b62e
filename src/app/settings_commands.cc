#include <iostream>

#include "chiveglade/config/reference.h"
#include "chiveglade/config/settings.h"
#include "command_line.h"
#include "settings_file.h"

namespace chiveglade::app {

namespace {

template <typename T>
exit_code Check(const std::string& path,
                config::checked<T> (*parse)(const std::string&,
                                            const std::string&)) {
  if (!LoadSettings(path, parse)) {
    return exit_code::kInvalid;
  }
  std::cout << path << ": no problems\n";
  return exit_code::kDone;
}

}  // namespace

void AddSettingsCommands(CLI::App& app, command_fn& chosen) {
  auto* settings = app.add_subcommand("settings", "Check settings files");
  settings->require_subcommand(1);
  auto* check =
      settings->add_subcommand("check", "Report every problem of a file");
  static std::string role;
  static std::string path;
  check->add_option("role", role, "entry, agent, gateway or runner")
      ->required()
      ->check(CLI::IsMember({"entry", "agent", "gateway", "runner"}));
  check->add_option("file", path, "Settings file, - for standard input")
      ->required();
  check->callback([&chosen] {
    chosen = [] {
      if (role == "gateway") {
        return Check(path, &config::ParseGatewaySettings);
      }
      if (role == "runner") {
        return Check(path, &config::ParseRunnerSettings);
      }
      return role == "entry" ? Check(path, &config::ParseEntrySettings)
                             : Check(path, &config::ParseAgentSettings);
    };
  });
  auto* reference = settings->add_subcommand(
      "reference", "Print the reference of the settings as Markdown");
  reference->callback([&chosen] {
    chosen = [] {
      std::cout << "## Entry\n\n"
                << config::ToMarkdown(config::EntrySettingsReference())
                << "\n## Agent\n\n"
                << config::ToMarkdown(config::AgentSettingsReference())
                << "\n## Gateway\n\n"
                << config::ToMarkdown(config::GatewaySettingsReference())
                << "\n## Runner\n\n"
                << config::ToMarkdown(config::RunnerSettingsReference());
      return exit_code::kDone;
    };
  });
}

}  // namespace chiveglade::app
