#include <iostream>

#include "command_line.h"
#include "operator_client.h"

namespace chiveglade::app {

namespace {

struct data_centre_options {
  operator_options common;
  std::string name;
  std::string reason;
  int64_t expect = -1;
  bool dry_run = false;
};

exit_code Change(const data_centre_options& options, const char* action) {
  std::string target = "/v1/dc/" + EscapeUrl(options.name) + "/" + action +
                       "?by=" + EscapeUrl(options.common.by) +
                       "&reason=" + EscapeUrl(options.reason);
  if (options.expect >= 0) {
    target += "&expect=" + std::to_string(options.expect);
  }
  if (options.dry_run) {
    target += "&dry_run=1";
  }
  return RunOperatorCall(options.common, {"POST", target, ""},
                         [](const nlohmann::json& out) {
                           std::cout << out.value("detail", "") << "\n"
                                     << "verify: chiveglade dc status\n";
                         });
}

exit_code Status(const data_centre_options& options) {
  return RunOperatorCall(
      options.common, {"GET", "/v1/dc", ""}, [](const nlohmann::json& out) {
        for (const auto& row : out.at("data_centres")) {
          std::cout << row.value("name", "") << " " << row.value("state", "")
                    << " version=" << row.value("version", uint64_t{0})
                    << " attempts=" << row.value("attempts", 0)
                    << " vms=" << row.value("vms", 0);
          if (const auto by = row.value("by", ""); !by.empty()) {
            std::cout << " by=" << by;
          }
          std::cout << "\n";
        }
        std::cout << "confirmed " << out.value("confirmed_ms_ago", int64_t{-1})
                  << " ms ago\n";
      });
}

}  // namespace

void AddDataCentreCommands(CLI::App& app, command_fn& chosen) {
  static data_centre_options options;
  auto* centre =
      app.add_subcommand("dc", "Take data centres out of service and back");
  centre->require_subcommand(1);
  for (const char* action : {"out", "return"}) {
    const bool is_out = std::string(action) == "out";
    auto* command = centre->add_subcommand(
        action, is_out ? "Take a data centre out of service"
                       : "Return a data centre to service");
    command->add_option("name", options.name, "Name of the data centre")
        ->required();
    command->add_option("--reason", options.reason,
                        "Why, for the other operators");
    command->add_option("--expect", options.expect,
                        "Version shown by dc status; default: the newest");
    command->add_flag("--dry-run", options.dry_run,
                      "Only say what would happen");
    AddOperatorOptions(*command, options.common);
    AddChangeOptions(*command, options.common);
    command->callback([&chosen, action] {
      chosen = [action] { return Change(options, action); };
    });
  }
  auto* status = centre->add_subcommand("status", "Show all data centres");
  AddOperatorOptions(*status, options.common);
  status->callback([&chosen] { chosen = [] { return Status(options); }; });
}

}  // namespace chiveglade::app
