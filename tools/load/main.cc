// A load generator for entries; prints what it has seen as JSON. Exits with 1
// if an answer was wrong or broken off.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tools/load/load_run.h"

namespace {

std::string ReadFile(const std::string& name) {
  std::ifstream in(name);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

}  // namespace

int main(int argc, char** argv) {
  using namespace chiveglade;
  load::run_options options;
  std::vector<std::string> targets;
  double seconds = 10;
  std::string mix_file;
  std::string record_file;
  CLI::App app("Sends requests to entries and checks every answer");
  app.add_option("--target", targets, "ip:port of an entry")->required();
  app.add_option("--rate", options.rate, "requests a second, open loop");
  app.add_option("--connections", options.connections,
                 "connections, or most open requests with --rate");
  app.add_option("--seconds", seconds, "length of the run")
      ->check(CLI::Range(0.0, 86'400.0));
  app.add_option("--requests", options.max_requests, "most requests to send");
  app.add_option("--mix", mix_file, "JSON file with the kinds of requests")
      ->check(CLI::ExistingFile);
  app.add_option("--record", record_file, "file for a line per request");
  app.add_option("--id-prefix", options.id_prefix, "start of request IDs");
  app.add_flag("--body-has-id", options.body_has_id,
               "check that bodies of answers contain the request's ID");
  CLI11_PARSE(app, argc, argv);
  for (const auto& each : targets) {
    const auto parsed = config::ParseEndpoint(each);
    if (!parsed) {
      std::cerr << "not an ip:port: " << each << "\n";
      return 2;
    }
    options.targets.push_back(*parsed);
  }
  if (!mix_file.empty()) {
    auto parsed = load::ParseMix(ReadFile(mix_file));
    if (!parsed) {
      std::cerr << mix_file << ": " << parsed.last_reason().detail << "\n";
      return 2;
    }
    options.requests = *parsed;
  }
  options.length =
      std::chrono::milliseconds(static_cast<int64_t>(seconds * 1'000));
  load::load_report report(record_file);
  const auto start = std::chrono::steady_clock::now();
  load::RunLoad(options, report);
  std::cout << report.ToJson(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now() - start))
            << "\n";
  return report.wrong() + report.broken() > 0 ? 1 : 0;
}
