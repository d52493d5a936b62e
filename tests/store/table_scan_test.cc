#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>

#include "chiveglade/store/table_scan.h"
#include "tests/support/memory_store.h"

namespace chiveglade::store {

namespace {

constexpr size_t kRowBytes = 1'000;

// A store behind a link that carries only so many bytes within the timeout of a
// call; a larger page is lost.
struct narrow_link {
  explicit narrow_link(size_t rows, size_t bytes_per_call) {
    store.SetPageRows(500);
    for (size_t i = 0; i < rows; ++i) {
      store.Commit(
          {{},
           {{"t/" + std::to_string(10'000 + i), std::string(kRowBytes, 'x')}}});
    }
    hooks.table = store.table();
    const auto page = hooks.table.page;
    hooks.table.page = [this, page, bytes_per_call](
                           const std::string& prefix, const std::string& after,
                           size_t limit, const page_callback& then) {
      page(prefix, after, limit, [&](const result<row_page>& answer) {
        ++calls;
        if (answer->rows.size() * kRowBytes > bytes_per_call || fail_next) {
          fail_next = false;
          then(reason{"store_answer_lost", "timeout"});
        } else {
          then(answer);
        }
      });
    };
    hooks.after = [this](millis, const std::function<void()>& then) {
      waiting.push_back(then);
    };
    hooks.page = [this](const std::vector<row>& rows) {
      for (const auto& row : rows) {
        keys.push_back(row.key);
      }
    };
    hooks.finished = [this](uint64_t) { finished = true; };
  }

  void Run(size_t max_calls) {
    auto scan = table_scan::Make({"t/"}, hooks);
    scan->Start();
    while (!waiting.empty() && calls < max_calls) {
      const auto next = waiting.front();
      waiting.pop_front();
      next();
    }
  }

  testing::memory_store store;
  table_scan::hooks hooks;
  std::deque<std::function<void()>> waiting;
  std::vector<std::string> keys;
  size_t calls = 0;
  bool fail_next = false;
  bool finished = false;
};

}  // namespace

// Regression (mezarcicek-ops-grown, trouble-2): pages of 500 rows never arrived
// over a link of 10 Mbit/s, and the scan asked for the first one for ever.
TEST_CASE("a scan ends over a link that cannot carry a full page in time") {
  const size_t bytes_per_call = GENERATE(4, 20, 100) * kRowBytes;
  narrow_link link(1'000, bytes_per_call);
  link.Run(2'000);
  CHECK(link.finished);
  CHECK(link.keys.size() == 1'000);
  CHECK(std::is_sorted(link.keys.begin(), link.keys.end()));
}

TEST_CASE("a page that is lost costs that page, not the scan") {
  narrow_link link(400, 1'000 * kRowBytes);
  link.Run(1);
  const size_t undisturbed = link.calls;
  narrow_link again(400, 1'000 * kRowBytes);
  const auto page = again.hooks.page;
  again.hooks.page = [&](std::vector<row> rows) {
    page(std::move(rows));
    again.fail_next = again.keys.size() < 100;
  };
  again.Run(100);
  CHECK(again.finished);
  CHECK(again.keys.size() == 400);
  CHECK(again.calls <= undisturbed + 3);
}

}  // namespace chiveglade::store
