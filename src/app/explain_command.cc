// chiveglade explain: what became of a job, from the lines that were logged.
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "chiveglade/observe/timeline.h"
#include "command_line.h"

namespace chiveglade::app {

namespace {

using observe::explanation;
using observe::timeline;

void ReadLines(std::istream& in, timeline& into) {
  std::string text;
  while (std::getline(in, text)) {
    if (const auto line = observe::ParseLogLine(text)) {
      into.Add(*line);
    }
  }
}

bool ReadFiles(const std::vector<std::string>& paths, timeline& into) {
  if (paths.empty()) {
    ReadLines(std::cin, into);
    return true;
  }
  for (const auto& path : paths) {
    if (path == "-") {
      ReadLines(std::cin, into);
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      std::cerr << path << ": cannot be read\n";
      return false;
    }
    ReadLines(file, into);
  }
  return true;
}

void PrintText(const std::string& job, const explanation& in) {
  std::cout << "job " << job << ": " << in.outcome;
  if (in.outcome == "completed" || in.outcome == "failed") {
    std::cout << ", " << in.late.count() << " ms beyond its objective";
  }
  std::cout << "\ncause: " << in.cause << " (" << in.detail << ")\n";
  if (!in.shares.empty()) {
    std::cout << "time:\n";
  }
  for (const auto& share : in.shares) {
    std::cout << "  " << share.time.count() << " ms " << share.cause
              << (share.where.empty() ? "" : " on " + share.where) << "\n";
  }
  std::cout << "timeline (> marks what the cause shows in):\n";
  const int64_t start = in.entries.empty() ? 0 : in.entries.front().order_ms;
  for (const auto& entry : in.entries) {
    std::cout << (entry.marked ? "> " : "  ") << "+" << entry.order_ms - start
              << " ms " << entry.line.process << " " << entry.line.event;
    for (const auto& [key, value] : entry.line.fields) {
      std::cout << " " << key << "=" << value;
    }
    std::cout << "\n";
  }
}

void PrintJson(const std::string& job, const explanation& in) {
  nlohmann::json shares = nlohmann::json::array();
  for (const auto& share : in.shares) {
    shares.push_back({{"cause", share.cause},
                      {"where", share.where},
                      {"ms", share.time.count()}});
  }
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& entry : in.entries) {
    nlohmann::json fields = nlohmann::json::object();
    for (const auto& [key, value] : entry.line.fields) {
      fields[key] = value;
    }
    entries.push_back({{"order_ms", entry.order_ms},
                       {"time_ms", entry.line.unix_ms},
                       {"process", entry.line.process},
                       {"event", entry.line.event},
                       {"fields", std::move(fields)},
                       {"marked", entry.marked}});
  }
  std::cout << nlohmann::json{{"job", job},
                              {"outcome", in.outcome},
                              {"late_ms", in.late.count()},
                              {"cause", in.cause},
                              {"detail", in.detail},
                              {"shares", std::move(shares)},
                              {"timeline", std::move(entries)}}
                   .dump(2)
            << "\n";
}

}  // namespace

void AddExplainCommand(CLI::App& app, command_fn& chosen) {
  auto* explain = app.add_subcommand(
      "explain", "Tell from logs what became of a job, and why");
  static std::string job;
  static std::vector<std::string> paths;
  static bool as_json = false;
  explain->add_option("id", job, "The job's ID, 16 hexadecimal digits")
      ->required();
  explain->add_option("files", paths,
                      "Logs of any processes, in any order; - or none: "
                      "standard input");
  explain->add_flag("--json", as_json, "Print JSON");
  explain->callback([&chosen] {
    chosen = [] {
      timeline lines(job);
      if (!ReadFiles(paths, lines)) {
        return exit_code::kInvalid;
      }
      if (!lines.found()) {
        std::cerr << "no line is about job " << job << "\n";
        return exit_code::kNotFound;
      }
      const auto found = lines.Explain();
      as_json ? PrintJson(job, found) : PrintText(job, found);
      return exit_code::kDone;
    };
  });
}

}  // namespace chiveglade::app
