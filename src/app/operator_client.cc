#include "operator_client.h"

#include <iostream>

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "chiveglade/config/settings.h"
#include "chiveglade/net/http_client.h"

namespace chiveglade::app {

namespace {

constexpr millis kConnectTimeout{1'000};
// Longer than an entry needs to settle a lost answer of the store.
constexpr millis kAnswerTimeout{15'000};

exit_code ExitCodeFor(int status) {
  switch (status) {
    case 200:
      return exit_code::kDone;
    case 404:
      return exit_code::kNotFound;
    case 409:
      return exit_code::kConflict;
    case 503:
      return exit_code::kNotAccepted;
    case 504:
      return exit_code::kUnknown;
    default:
      return exit_code::kInvalid;
  }
}

net::http_outcome Send(const config::endpoint& entry,
                       const operator_call& call) {
  net::asio::io_context loop;
  net::http_client_options options;
  options.connect_timeout = kConnectTimeout;
  options.answer_timeout = kAnswerTimeout;
  const auto client =
      net::http_client::Make(loop, entry.ip, entry.port, options);
  net::http_outcome outcome;
  net::asio::spawn(
      loop,
      [&](const net::yield& yield) {
        outcome = client->Send(
            {call.method,
             call.target,
             {{"content-type", "application/json"}, {"host", ToString(entry)}},
             call.body},
            yield);
        client->Close();
      },
      net::asio::detached);
  loop.run();
  return outcome;
}

exit_code PrintAnswer(const operator_options& options,
                      const net::http_reply& reply,
                      const print_fn& print) {
  const auto code = ExitCodeFor(reply.status);
  if (options.json) {
    std::cout << reply.body << "\n";
    return code;
  }
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  if (body.is_discarded()) {
    std::cerr << "the entry's answer is not JSON (status " << reply.status
              << ")\n";
    return code == exit_code::kDone ? exit_code::kUnknown : code;
  }
  if (code == exit_code::kDone) {
    print(body);
    return code;
  }
  std::cerr << body.value("status", body.value("reason", "refused")) << ": "
            << body.value("detail", "") << "\n";
  for (const auto& problem : body.value("problems", nlohmann::json::array())) {
    std::cerr << problem.get<std::string>() << "\n";
  }
  return code;
}

}  // namespace

void AddOperatorOptions(CLI::App& command, operator_options& options) {
  command
      .add_option("--entry", options.entries,
                  "Entries' operator addresses, ip:port, tried in turn")
      ->envname("CHIVEGLADE_ENTRY")
      ->delimiter(',')
      ->required();
  command.add_flag("--json", options.json, "Print the answer as JSON");
}

void AddChangeOptions(CLI::App& command, operator_options& options) {
  command
      .add_option("--by", options.by,
                  "Who acts; other operators are told this name")
      ->envname("CHIVEGLADE_OPERATOR")
      ->required();
}

exit_code RunOperatorCall(const operator_options& options,
                          const operator_call& call,
                          const print_fn& print) {
  for (const auto& text : options.entries) {
    const auto entry = config::ParseEndpoint(text);
    if (!entry) {
      std::cerr << "--entry: value \"" << text
                << "\"; accepted: an IP address and port\n";
      return exit_code::kInvalid;
    }
    const auto outcome = Send(*entry, call);
    if (outcome.delivery == verdict::kRan) {
      return PrintAnswer(options, *outcome.reply, print);
    }
    std::cerr << text << ": " << outcome.reply.last_reason().detail << "\n";
    if (outcome.delivery == verdict::kMayHaveRun && call.method != "GET") {
      std::cerr << "outcome unknown: the entry may have carried it out; look "
                   "at the status before repeating it\n";
      return exit_code::kUnknown;
    }
  }
  std::cerr << "no entry answered; nothing was changed\n";
  return exit_code::kUnreachable;
}

}  // namespace chiveglade::app
