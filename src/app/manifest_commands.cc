#include <iostream>

#include "chiveglade/config/manifest.h"
#include "chiveglade/config/reference.h"
#include "chiveglade/observe/metrics.h"
#include "command_line.h"
#include "files.h"
#include "operator_client.h"

namespace chiveglade::app {

namespace {

struct manifest_options {
  operator_options common;
  std::string path;
  int64_t expect = -1;
  bool dry_run = false;
};

// The checked manifest in canonical form, or nothing after reporting problems.
std::optional<std::string> CheckedText(const std::string& path) {
  const auto text = ReadFile(path, config::kMaxManifestBytes);
  if (!text) {
    std::cerr << text.last_reason().detail << "\n";
    return std::nullopt;
  }
  const auto parsed = config::ParseManifest(*text, path);
  for (const auto& problem : parsed.problems) {
    std::cerr << config::ToString(problem) << "\n";
  }
  if (!parsed.value) {
    return std::nullopt;
  }
  return config::WriteManifest(*parsed.value);
}

exit_code Check(const manifest_options& options) {
  if (!CheckedText(options.path)) {
    return exit_code::kInvalid;
  }
  std::cout << options.path << ": no problems\n";
  return exit_code::kDone;
}

exit_code Publish(const manifest_options& options) {
  const auto text = CheckedText(options.path);
  if (!text) {
    return exit_code::kInvalid;
  }
  std::string target = "/v1/manifest?by=" + EscapeUrl(options.common.by);
  if (options.expect >= 0) {
    target += "&expect=" + std::to_string(options.expect);
  }
  if (options.dry_run) {
    target += "&dry_run=1";
  }
  return RunOperatorCall(options.common, {"POST", target, *text},
                         [](const nlohmann::json& out) {
                           std::cout << out.value("detail", "") << "\n"
                                     << "verify: chiveglade manifest show\n";
                         });
}

exit_code Show(const manifest_options& options) {
  return RunOperatorCall(
      options.common, {"GET", "/v1/manifest", ""},
      [](const nlohmann::json& out) {
        std::cout << "version " << out.value("version", uint64_t{0}) << " by "
                  << out.value("by", "") << ", hash " << out.value("hash", "")
                  << ", confirmed "
                  << out.value("confirmed_ms_ago", int64_t{-1}) << " ms ago\n"
                  << out.value("manifest", nlohmann::json::object()).dump(2)
                  << "\n";
      });
}

}  // namespace

void AddManifestCommands(CLI::App& app, command_fn& chosen) {
  static manifest_options options;
  auto* manifest =
      app.add_subcommand("manifest", "Check and publish manifests");
  manifest->require_subcommand(1);

  auto* check = manifest->add_subcommand(
      "check", "Report every problem of a file; asks no entry");
  check->add_option("file", options.path, "Manifest, - for standard input")
      ->required();
  check->callback([&chosen] { chosen = [] { return Check(options); }; });

  auto* publish =
      manifest->add_subcommand("publish", "Put a manifest into effect");
  publish->add_option("file", options.path, "Manifest, - for standard input")
      ->required();
  publish->add_option("--expect", options.expect,
                      "Version that must be in effect; default: the newest "
                      "that the entry knows");
  publish->add_flag("--dry-run", options.dry_run, "Only say what would happen");
  AddOperatorOptions(*publish, options.common);
  AddChangeOptions(*publish, options.common);
  publish->callback([&chosen] { chosen = [] { return Publish(options); }; });

  auto* show = manifest->add_subcommand("show", "Print the manifest in effect");
  AddOperatorOptions(*show, options.common);
  show->callback([&chosen] { chosen = [] { return Show(options); }; });

  auto* reference = manifest->add_subcommand(
      "reference", "Print the reference of the manifest as Markdown");
  reference->callback([&chosen] {
    chosen = [] {
      std::cout << config::ToMarkdown(config::ManifestReference());
      return exit_code::kDone;
    };
  });

  auto* metrics = app.add_subcommand("metrics", "Describe the metrics");
  metrics->callback([&chosen] {
    chosen = [] {
      std::cout << observe::CatalogueMarkdown();
      return exit_code::kDone;
    };
  });
}

}  // namespace chiveglade::app
