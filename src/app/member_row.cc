#include "member_row.h"

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace chiveglade::app {

namespace {

// The row only speeds up a takeover, so a store in trouble is left alone.
constexpr millis kRetryAfter{1'000};

}  // namespace

member_row::member_row(strand on,
                       store::table_service table,
                       std::string key,
                       std::string address)
    : on_(std::move(on)),
      table_(std::move(table)),
      key_(std::move(key)),
      address_(std::move(address)) {}

void member_row::Start() {
  net::asio::post(on_, [this] { Write(); });
}

void member_row::Write() {
  table_.commit(
      {{}, {{key_, address_}}}, [this](const store::commit_outcome& outcome) {
        if (outcome.status == store::commit_status::kCommitted) {
          return;
        }
        auto timer =
            std::make_shared<net::asio::steady_timer>(on_, kRetryAfter);
        timer->async_wait(
            [this, timer](const boost::system::error_code&) { Write(); });
      });
}

}  // namespace chiveglade::app
