#include <iostream>

#include "command_line.h"
#include "files.h"
#include "operator_client.h"

namespace chiveglade::app {

namespace {

constexpr size_t kMaxJobBytes = size_t{256} * 1024;

struct job_options {
  operator_options common;
  std::string path;
  std::string name;
  bool dry_run = false;
};

std::string Query(const job_options& options) {
  return "?by=" + EscapeUrl(options.common.by) +
         (options.dry_run ? "&dry_run=1" : "");
}

void PrintChange(const nlohmann::json& out) {
  std::cout << out.value("detail", "") << "\n";
  if (out.contains("verify")) {
    std::cout << "verify: " << out["verify"].get<std::string>() << "\n";
  }
}

exit_code Submit(const job_options& options) {
  const auto text = ReadFile(options.path, kMaxJobBytes);
  if (!text) {
    std::cerr << text.last_reason().detail << "\n";
    return exit_code::kInvalid;
  }
  return RunOperatorCall(options.common,
                         {"POST", "/v1/jobs" + Query(options), *text},
                         PrintChange);
}

exit_code Cancel(const job_options& options) {
  return RunOperatorCall(
      options.common,
      {"POST",
       "/v1/jobs/" + EscapeUrl(options.name) + "/cancel" + Query(options), ""},
      PrintChange);
}

void PrintJob(const nlohmann::json& job) {
  std::cout << job.value("name", "") << " tenant=" << job.value("tenant", "")
            << " priority=" << job.value("priority", "");
  const auto phases = job.value("phases", nlohmann::json::object());
  for (const auto& [phase, count] : phases.items()) {
    std::cout << " " << phase << "=" << count;
  }
  if (const auto why = job.value("waiting", ""); !why.empty()) {
    std::cout << " waiting=\"" << why << "\"";
  }
  std::cout << "\n";
}

exit_code Status(const job_options& options) {
  const std::string target = options.name.empty()
                                 ? std::string("/v1/jobs")
                                 : "/v1/jobs/" + EscapeUrl(options.name);
  return RunOperatorCall(options.common, {"GET", target, ""},
                         [](const nlohmann::json& out) {
                           for (const auto& job : out.at("jobs")) {
                             PrintJob(job);
                           }
                         });
}

}  // namespace

void AddJobCommands(CLI::App& app, command_fn& chosen) {
  static job_options options;
  auto* job = app.add_subcommand("job", "Submit, cancel and follow batch jobs");
  job->require_subcommand(1);

  auto* submit = job->add_subcommand(
      "submit", "Submit a job; repeating it with the same file is harmless");
  submit->add_option("file", options.path, "Job as JSON, - for standard input")
      ->required();
  submit->add_flag("--dry-run", options.dry_run, "Only check the job");
  AddOperatorOptions(*submit, options.common);
  AddChangeOptions(*submit, options.common);
  submit->callback([&chosen] { chosen = [] { return Submit(options); }; });

  auto* cancel = job->add_subcommand("cancel", "Cancel a job");
  cancel->add_option("name", options.name, "Name of the job")->required();
  cancel->add_flag("--dry-run", options.dry_run, "Only say what would happen");
  AddOperatorOptions(*cancel, options.common);
  AddChangeOptions(*cancel, options.common);
  cancel->callback([&chosen] { chosen = [] { return Cancel(options); }; });

  auto* status = job->add_subcommand("status", "Show jobs and why they wait");
  status->add_option("name", options.name, "Name of the job; default: all");
  AddOperatorOptions(*status, options.common);
  status->callback([&chosen] { chosen = [] { return Status(options); }; });
}

}  // namespace chiveglade::app
