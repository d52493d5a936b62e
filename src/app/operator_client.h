// Calls of an operator's command to an entry.
#ifndef CHIVEGLADE_APP_OPERATOR_CLIENT_H_
#define CHIVEGLADE_APP_OPERATOR_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "exit_code.h"
#include "url.h"

namespace chiveglade::app {

// Options that every command talking to an entry has.
struct operator_options {
  std::vector<std::string> entries;  // "ip:port", tried in turn
  bool json = false;
  std::string by;  // who acts; told to operators who lose a race
};

// Adds --entry (environment CHIVEGLADE_ENTRY), --json and, for commands that
// change something, --by. `options` must outlive the parsed command.
void AddOperatorOptions(CLI::App& command, operator_options& options);
void AddChangeOptions(CLI::App& command, operator_options& options);

struct operator_call {
  std::string method;
  std::string target;  // path and query
  std::string body;    // JSON or empty
};

// Prints the fields of a successful answer for a person.
using print_fn = std::function<void(const nlohmann::json&)>;

// Sends the call to the first entry that can be connected to, prints the
// answer (as it is with --json) and returns the exit code for it. A change is
// never sent to a second entry once a byte of it may have reached the first.
exit_code RunOperatorCall(const operator_options& options,
                          const operator_call& call,
                          const print_fn& print);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_OPERATOR_CLIENT_H_
