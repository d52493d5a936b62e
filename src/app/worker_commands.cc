#include <iostream>

#include "command_line.h"
#include "operator_client.h"

namespace chiveglade::app {

namespace {

struct worker_options {
  operator_options common;
  std::string name;
  bool dry_run = false;
};

exit_code Change(const worker_options& options, const char* action) {
  std::string target = "/v1/workers/" + EscapeUrl(options.name) + "/" + action +
                       "?by=" + EscapeUrl(options.common.by);
  if (options.dry_run) {
    target += "&dry_run=1";
  }
  return RunOperatorCall(options.common, {"POST", target, ""},
                         [](const nlohmann::json& out) {
                           std::cout << out.value("detail", "") << "\n"
                                     << "verify: chiveglade worker status\n";
                         });
}

exit_code Status(const worker_options& options) {
  return RunOperatorCall(
      options.common, {"GET", "/v1/workers", ""},
      [](const nlohmann::json& out) {
        for (const auto& row : out.at("workers")) {
          std::cout << row.value("name", "") << " "
                    << row.value("data_centre", "") << " "
                    << row.value("state", "") << " heard "
                    << row.value("heard_ms_ago", int64_t{-1})
                    << " ms ago, attempts=" << row.value("attempts", 0)
                    << " millicores=" << row.value("committed_millicores", 0)
                    << "/" << row.value("capacity_millicores", 0) << "\n";
        }
      });
}

}  // namespace

void AddWorkerCommands(CLI::App& app, command_fn& chosen) {
  static worker_options options;
  auto* worker = app.add_subcommand("worker", "Drain and follow workers");
  worker->require_subcommand(1);
  const std::pair<const char*, const char*> actions[] = {
      {"drain", "Start nothing more on a worker and move its tasks away"},
      {"undrain", "Let tasks start on a worker again"},
      {"gone",
       "Confirm that a worker's VM is off: its tasks are rerun at once. Never "
       "use it on a VM that may still be running"}};
  for (const auto& [action, help] : actions) {
    auto* command = worker->add_subcommand(action, help);
    command->add_option("name", options.name, "Name of the worker's VM")
        ->required();
    command->add_flag("--dry-run", options.dry_run,
                      "Only say what would happen");
    AddOperatorOptions(*command, options.common);
    AddChangeOptions(*command, options.common);
    command->callback([&chosen, action = action] {
      chosen = [action] { return Change(options, action); };
    });
  }
  auto* status = worker->add_subcommand("status", "Show all workers");
  AddOperatorOptions(*status, options.common);
  status->callback([&chosen] { chosen = [] { return Status(options); }; });
}

}  // namespace chiveglade::app
