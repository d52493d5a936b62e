// The chiveglade program: one binary with a subcommand per role and action.
#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  CLI::App app{"Scheduler for colocated latency-critical and batch work"};
  app.set_version_flag("--version", "chiveglade 0.1.0");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
