#include "chiveglade/store/http_object_store.h"

#include <utility>

#include "src/store/http_caller.h"
#include "src/store/percent_encoding.h"

namespace chiveglade::store {

namespace {

std::string PathOf(const std::string& key) {
  return "/objects/" + EncodePercent(key);
}

result<done> PutOutcome(const net::http_outcome& outcome) {
  if (outcome.reply && outcome.reply->status >= 200 &&
      outcome.reply->status < 300) {
    return done{};
  }
  return FailureOf(outcome);
}

result<std::optional<std::string>> GetOutcome(net::http_outcome outcome) {
  if (outcome.reply && outcome.reply->status == 200) {
    return std::optional(std::move(outcome.reply->body));
  }
  if (outcome.reply && outcome.reply->status == 404) {
    return std::optional<std::string>();
  }
  return FailureOf(outcome);
}

}  // namespace

result<object_store> MakeHttpObjectStore(net::asio::io_context& loop,
                                         net::asio::any_io_executor callbacks,
                                         const http_store_options& options) {
  auto made = http_caller::Make(loop, std::move(callbacks), options);
  if (!made) {
    return made.last_reason();
  }
  const auto caller = *std::move(made);
  object_store out;
  out.put = [caller](const std::string& key, std::string bytes,
                     put_callback then) {
    caller->Call({"PUT",
                  PathOf(key),
                  {{"content-type", "application/octet-stream"}},
                  std::move(bytes)},
                 [then = std::move(then)](const net::http_outcome& outcome) {
                   then(PutOutcome(outcome));
                 });
  };
  out.get = [caller](const std::string& key, get_callback then) {
    caller->Call({"GET", PathOf(key), {}, ""},
                 [then = std::move(then)](net::http_outcome outcome) {
                   then(GetOutcome(std::move(outcome)));
                 });
  };
  return out;
}

}  // namespace chiveglade::store
