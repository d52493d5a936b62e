#include "chiveglade/store/http_table.h"

#include <utility>

#include "src/store/http_caller.h"
#include "src/store/table_codec.h"

namespace chiveglade::store {

namespace {

const reason kBadKey{"bad_key", "a key is not UTF-8"};

net::http_request Request(const std::string& path, std::string body) {
  return {
      "POST", path, {{"content-type", "application/json"}}, std::move(body)};
}

bool IsOk(const net::http_outcome& outcome) {
  return outcome.reply && outcome.reply->status == 200;
}

// The answer of a read, parsed by `parse`.
template <typename T, typename Parse>
result<T> ReadOutcome(const net::http_outcome& outcome, Parse parse) {
  if (!IsOk(outcome)) {
    return FailureOf(outcome);
  }
  auto parsed = parse(outcome.reply->body);
  if (!parsed) {
    return reason{"store_answer_lost", parsed.last_reason().detail};
  }
  return parsed;
}

commit_outcome CommitOutcome(const net::http_outcome& outcome) {
  if (IsOk(outcome)) {
    if (const auto version = ParseCommitted(outcome.reply->body)) {
      return {commit_status::kCommitted, *version, "", {}};
    }
    return {commit_status::kUnknown,
            0,
            "",
            {"store_answer_lost", "the answer is malformed"}};
  }
  if (outcome.reply && outcome.reply->status == 409) {
    if (const auto key = ParseConflict(outcome.reply->body)) {
      return {commit_status::kConflict, 0, *key, {}};
    }
    return {commit_status::kUnknown,
            0,
            "",
            {"store_answer_lost", "the answer is malformed"}};
  }
  return {IsWithoutEffect(outcome) ? commit_status::kNotApplied
                                   : commit_status::kUnknown,
          0, "", FailureOf(outcome)};
}

// Sends `body` if there is one, and passes on what `convert` makes of the
// outcome.
template <typename Callback, typename Convert>
void Send(const std::shared_ptr<http_caller>& through,
          const std::string& path,
          std::optional<std::string> body,
          Callback then,
          Convert convert) {
  auto finish = [then = std::move(then),
                 convert](const net::http_outcome& outcome) {
    then(convert(outcome));
  };
  if (body) {
    through->Call(Request(path, *std::move(body)), std::move(finish));
  } else {
    through->Refuse(kBadKey, std::move(finish));
  }
}

}  // namespace

result<table_service> MakeHttpTable(net::asio::io_context& loop,
                                    net::asio::any_io_executor callbacks,
                                    const http_store_options& options) {
  auto made = http_caller::Make(loop, std::move(callbacks), options);
  if (!made) {
    return made.last_reason();
  }
  const auto caller = *std::move(made);
  table_service out;
  out.read = [caller](const std::string& key, read_callback then) {
    Send(caller, "/read", WriteReadRequest(key), std::move(then),
         [](const net::http_outcome& outcome) {
           return ReadOutcome<std::optional<row>>(outcome, ParseReadAnswer);
         });
  };
  out.scan = [caller](const std::string& prefix, size_t limit,
                      scan_callback then) {
    Send(caller, "/scan", WriteScanRequest({prefix, limit}), std::move(then),
         [](const net::http_outcome& outcome) {
           return ReadOutcome<std::vector<row>>(outcome, ParseScanAnswer);
         });
  };
  out.commit = [caller](const transaction& change, commit_callback then) {
    Send(caller, "/commit", WriteTransaction(change), std::move(then),
         CommitOutcome);
  };
  return out;
}

}  // namespace chiveglade::store
