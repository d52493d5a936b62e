#include <chrono>
#include <mutex>
#include <thread>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "src/app/commit_pacer.h"
#include "src/app/operator_feed.h"

namespace chiveglade::app {

namespace {

constexpr char kConfigKey[] = "operator/config";
constexpr char kOutOfServiceKey[] = "operator/evacuate/dc";
// Far above what a thread needs to be scheduled, below what callers allow a
// change to take.
constexpr millis kApplyTime{2'000};
// Of a store that is several times as slow as usual, or of a busy gateway.
constexpr millis kAnswerTime{400};

std::string Config(uint64_t version, const char* queue) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":")" + queue +
         R"(","host":"h","prefix":"/q/","service":"s"}]})";
}

// A table whose rows the test changes from another thread.
struct shared_table {
  store::table_service Make(const strand& on) {
    store::table_service out;
    out.page = [this, on](const std::string&, const std::string&, size_t,
                          const store::page_callback& then) {
      const std::lock_guard lock(mutex);
      net::asio::post(
          on, [then, page = store::row_page{rows, false, 1}] { then(page); });
    };
    out.watch = [this, on](const std::string&, uint64_t, millis wait,
                           const store::watch_callback& then) {
      const std::lock_guard lock(mutex);
      longest_wait = std::max(longest_wait, wait);
      waiting = [on, then](const store::row_changes& changes) {
        net::asio::post(on, [then, changes] { then(changes); });
      };
    };
    return out;
  }

  // Waits until the feed watches, then sends it the change.
  void Change(store::row_change change) {
    std::function<void(const store::row_changes&)> to;
    while (!to) {
      std::this_thread::yield();
      const std::lock_guard lock(mutex);
      to = std::exchange(waiting, nullptr);
    }
    to({{std::move(change)}, ++version, false});
  }

  // Answers the watch that waits, or the next one, without a change.
  void AnswerWithoutChange() {
    std::function<void(const store::row_changes&)> to;
    while (!to) {
      std::this_thread::yield();
      const std::lock_guard lock(mutex);
      to = std::exchange(waiting, nullptr);
    }
    to({{}, version, false});
  }

  boot_time Now() {
    const std::lock_guard lock(mutex);
    return now;
  }
  void Pass(millis time) {
    const std::lock_guard lock(mutex);
    now += time;
  }

  std::mutex mutex;
  boot_time now{millis(1'000'000)};
  millis longest_wait{0};
  std::vector<store::row> rows;
  std::function<void(const store::row_changes&)> waiting;
  uint64_t version = 1;
};

std::unique_ptr<operator_feed> MakeFeed(shared_table& table) {
  auto made = operator_feed::Make(
      {}, {[&table](net::asio::io_context&, const strand& on)
               -> result<store::table_service> { return table.Make(on); },
           [](const std::string&, const observe::log_fields&) {}, [] {},
           [&table] { return table.Now(); }});
  REQUIRE(made);
  (*made)->Start();
  return *std::move(made);
}

// Waits without running any event loop, as a gateway does that is busy.
template <typename F>
bool HoldsInTime(F condition) {
  const auto end = std::chrono::steady_clock::now() + kApplyTime;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::yield();
  }
  return true;
}

uint64_t VersionOf(const operator_feed& feed) {
  const auto catalogue = feed.newest().state->catalogue;
  return catalogue ? catalogue->version : 0;
}

}  // namespace

TEST_CASE("a configuration is in force in time on a gateway that is busy") {
  shared_table table;
  table.rows = {{kConfigKey, Config(1, "a"), 1}};
  const auto feed = MakeFeed(table);
  CHECK(HoldsInTime([&] { return VersionOf(*feed) == 1; }));
  table.Change({{kConfigKey, Config(3, "b"), 2}, false});
  REQUIRE(HoldsInTime([&] { return VersionOf(*feed) == 3; }));
  CHECK(feed->newest().state->catalogue->queues.at(0).name == "b");
}

TEST_CASE("a configuration never goes back to an older version") {
  shared_table table;
  table.rows = {{kConfigKey, Config(5, "a"), 1}};
  const auto feed = MakeFeed(table);
  CHECK(HoldsInTime([&] { return VersionOf(*feed) == 5; }));
  table.Change({{kConfigKey, Config(4, "b"), 2}, false});
  table.Change({{kConfigKey, "not a configuration", 3}, false});
  table.Change({{kOutOfServiceKey, "{}", 4}, false});
  CHECK(HoldsInTime(
      [&] { return feed->newest().state->out_of_service.contains("dc"); }));
  CHECK(VersionOf(*feed) == 5);
}

TEST_CASE("a data centre is out of service while its row exists") {
  shared_table table;
  table.rows = {{kOutOfServiceKey, "{}", 1}};
  const auto feed = MakeFeed(table);
  CHECK(HoldsInTime(
      [&] { return feed->newest().state->out_of_service.contains("dc"); }));
  CHECK(feed->newest().state->catalogue == nullptr);
  table.Change({{kOutOfServiceKey, "", 2}, true});
  CHECK(HoldsInTime(
      [&] { return feed->newest().state->out_of_service.empty(); }));
}

// Regression: with a wait of 1.2 s the coordinator's passes stood still half of
// the time, for news that were not overdue.
TEST_CASE("settings that do not change are neither outdated nor overdue") {
  shared_table table;
  table.rows = {{kConfigKey, Config(1, "a"), 1}};
  const auto feed = MakeFeed(table);
  table.AnswerWithoutChange();
  table.AnswerWithoutChange();
  const std::lock_guard lock(table.mutex);
  // Confirmed by the watch before the one that waits now.
  const auto oldest = 2 * table.longest_wait + kAnswerTime;
  CHECK_FALSE(commit_pacer::Yields(oldest));
  // The shortest time within which platforms want a change to be in force, with
  // one answer lost.
  CHECK(oldest + kAnswerTime < millis(2'000));
}

TEST_CASE("the settings are as old as the call that last confirmed them") {
  shared_table table;
  table.rows = {{kConfigKey, Config(1, "a"), 1}};
  const auto feed = MakeFeed(table);
  const auto began = table.Now();
  REQUIRE(HoldsInTime([&] { return feed->newest().as_of == began; }));
  table.Pass(millis(1'200));
  // The watch was sent at the beginning, so it may miss what came later.
  table.AnswerWithoutChange();
  table.AnswerWithoutChange();
  CHECK(HoldsInTime(
      [&] { return feed->newest().as_of == began + millis(1'200); }));
}

}  // namespace chiveglade::app
