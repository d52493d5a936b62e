#include <iostream>

#include "chiveglade/config/queue_check.h"
#include "command_line.h"
#include "files.h"

namespace chiveglade::app {

namespace {

struct config_options {
  std::string path;
  std::string against;
  bool as_json = false;
};

void PrintText(const std::string& path, const config::queue_report& report) {
  for (const auto& problem : report.errors) {
    std::cerr << "error: " << config::ToString(problem) << "\n";
  }
  for (const auto& problem : report.warnings) {
    std::cerr << "warning: " << config::ToString(problem) << "\n";
  }
  for (const auto& difference : report.differences) {
    std::cout << config::ToString(difference) << "\n";
  }
  if (report.errors.empty()) {
    std::cout << path << ": no problems";
    if (!report.warnings.empty()) {
      std::cout << "; warnings: " << report.warnings.size();
    }
    std::cout << "\n";
  }
}

exit_code Check(const config_options& options) {
  config::queue_report report;
  const auto load =
      [&report](
          const std::string& path) -> std::optional<config::queue_document> {
    auto text = ReadFile(path, config::kMaxQueueConfigBytes);
    if (!text) {
      report.errors.push_back(
          {path, "", "(unreadable)", text.last_reason().detail});
      return std::nullopt;
    }
    return config::queue_document{path, *std::move(text)};
  };
  const auto proposed = load(options.path);
  std::optional<config::queue_document> in_force;
  if (!options.against.empty()) {
    in_force = load(options.against);
  }
  if (report.errors.empty()) {
    report = config::CheckQueues(*proposed, in_force);
  }
  if (options.as_json) {
    std::cout << config::ToJson(report) << "\n";
  } else {
    PrintText(options.path, report);
  }
  return report.errors.empty() ? exit_code::kDone : exit_code::kInvalid;
}

}  // namespace

void AddConfigCommands(CLI::App& app, command_fn& chosen) {
  static config_options options;
  auto* config =
      app.add_subcommand("config", "Check configurations of workflow queues");
  config->require_subcommand(1);
  auto* check = config->add_subcommand(
      "check", "Report every problem of a file; asks no entry");
  check->add_option("file", options.path, "Configuration, - for standard input")
      ->required();
  check->add_option("--against", options.against,
                    "Configuration in force, to list the differences from it");
  check->add_flag("--json", options.as_json, "Print one JSON object");
  check->callback([&chosen] { chosen = [] { return Check(options); }; });
}

}  // namespace chiveglade::app
