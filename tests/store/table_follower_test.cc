#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chiveglade/store/table_follower.h"
#include "tests/support/memory_store.h"

namespace chiveglade::store {

namespace {

struct follower_world {
  void Start() {
    table_follower::hooks hooks;
    hooks.table = store.table();
    // The store answers watches at once; each waits here until let go on.
    const auto watch = hooks.table.watch;
    hooks.table.watch = [this, watch](const std::string& prefix,
                                      uint64_t version, millis wait,
                                      const watch_callback& then) {
      waits.push_back(wait);
      waiting.push_back([=] { watch(prefix, version, wait, then); });
    };
    hooks.after = [this](millis, const std::function<void()>& then) {
      waiting.push_back(then);
    };
    hooks.scanned = [this](const std::vector<row>& rows) {
      ++scans;
      seen.clear();
      for (const auto& row : rows) {
        seen[row.key] = row.value;
      }
    };
    hooks.changed = [this](const std::vector<row_change>& changes) {
      for (const auto& change : changes) {
        handed_over.push_back(change.now.key);
        if (change.removed) {
          seen.erase(change.now.key);
        } else {
          seen[change.now.key] = change.now.value;
        }
      }
    };
    hooks.lost = [this](const reason&) { ++lost; };
    hooks.regained = [this] { ++regained; };
    options.prefix = "t/";
    options.wait = millis(1'000);
    options.retry_after = millis(10);
    follower = table_follower::Make(options, hooks);
  }

  void Continue() {
    auto next = std::move(waiting.front());
    waiting.pop_front();
    next();
  }

  testing::memory_store store;
  follower_options options;
  std::deque<std::function<void()>> waiting;
  std::unique_ptr<table_follower> follower;
  std::map<std::string, std::string> seen;
  std::vector<std::string> handed_over;  // keys of changes
  std::vector<millis> waits;             // of the watches
  int scans = 0;
  int lost = 0;
  int regained = 0;
};

// A follower of one row whose answers take time for each version in them, as
// for a process that lacks processor time. Runs in virtual time.
struct slow_world {
  slow_world() {
    table_follower::hooks hooks;
    const auto table = store.table();
    hooks.table = table;
    hooks.table.page = [this, table](const std::string& prefix,
                                     const std::string& after, size_t limit,
                                     const page_callback& then) {
      table.page(prefix, after, limit, [this, then](const auto& page) {
        At(now + kTimePerVersion * page->rows.size(), [=] { then(page); });
      });
    };
    hooks.table.watch = [this](const std::string& prefix, uint64_t version,
                               millis, const watch_callback& then) {
      Watch(prefix, version, then);
    };
    hooks.after = [this](millis wait, const std::function<void()>& then) {
      At(now + wait, then);
    };
    hooks.scanned = [this](const std::vector<row>& rows) {
      for (const auto& row : rows) {
        Adopt(row);
      }
    };
    hooks.changed = [this](const std::vector<row_change>& changes) {
      for (const auto& change : changes) {
        Adopt(change.now);
      }
    };
    hooks.clock = [this] { return now; };
    hooks.confirmed = [this](boot_time at) { as_of = at; };
    follower_options options;
    options.prefix = "t/";
    options.rescan_if_behind = true;
    Write();
    follower = table_follower::Make(options, hooks);
  }

  // Answers once there is a change, with all versions since.
  void Watch(const std::string& prefix,
             uint64_t version,
             const watch_callback& then) {
    store.table().watch(prefix, version, millis(0), [&](const auto& changes) {
      if (changes->rows.empty()) {
        At(now + millis(10), [=, this] { Watch(prefix, version, then); });
      } else {
        At(now + kTimePerVersion * changes->rows.size(),
           [=] { then(changes); });
      }
    });
  }

  void At(boot_time when, std::function<void()> then) {
    events.emplace(when, std::move(then));
  }
  void Write() {
    written.push_back(now);
    store.Commit({{}, {{"t/row", std::to_string(written.size())}}});
  }
  void Adopt(const row& in) {
    const size_t version = std::stoul(in.value);
    worst_lag = std::max(worst_lag, std::chrono::duration_cast<millis>(
                                        now - written[version - 1]));
  }
  void RunFor(millis time) {
    const auto end = now + time;
    while (!events.empty() && events.begin()->first <= end) {
      auto next = events.extract(events.begin());
      now = next.key();
      next.mapped()();
    }
    now = end;
  }

  // Above the pause between two changes.
  static constexpr millis kTimePerVersion{650};
  boot_time now{millis(1'000'000)};
  testing::memory_store store;
  std::multimap<boot_time, std::function<void()>> events;
  std::vector<boot_time> written;  // by version, from 1
  millis worst_lag{0};
  boot_time as_of{};
  std::unique_ptr<table_follower> follower;
};

}  // namespace

// Regression: CONFIG on tetoszin-prod-grown, the coordinator adopted versions
// the later the longer a storm of changes lasted.
TEST_CASE("a follower that is slower than the changes does not fall behind") {
  constexpr millis kPause{600};
  constexpr millis kApplyTime{3'000};
  slow_world world;
  world.RunFor(kPause);
  for (int i = 0; i < 50; ++i) {
    world.Write();
    world.RunFor(kPause);
  }
  CHECK(world.worst_lag < kApplyTime);
  CHECK(world.now - world.as_of < kApplyTime);
}

TEST_CASE("only the newest of several versions of a row is handed over") {
  follower_world world;
  world.store.Commit({{}, {{"t/a", "1"}, {"t/b", "1"}}});
  world.Start();
  world.store.Commit({{}, {{"t/a", "2"}}});
  world.store.Commit({{}, {{"t/b", std::nullopt}}});
  world.store.Commit({{}, {{"t/a", "3"}}});
  world.Continue();
  CHECK(world.handed_over == std::vector<std::string>{"t/b", "t/a"});
  CHECK(world.seen == std::map<std::string, std::string>{{"t/a", "3"}});
  CHECK(world.scans == 1);
}

TEST_CASE("a follower reads all pages, then changes") {
  follower_world world;
  for (char c = 'a'; c < 'a' + 10; ++c) {
    world.store.Commit({{}, {{std::string("t/") + c, "1"}}});
  }
  world.Start();
  CHECK(world.seen.size() == 10);
  world.store.Commit({{}, {{"t/a", std::nullopt}, {"t/b", "2"}}});
  world.store.Commit({{}, {{"other/a", "1"}}});
  world.Continue();
  CHECK(world.seen.size() == 9);
  CHECK(world.seen["t/b"] == "2");
}

TEST_CASE("a follower scans the parts of a table side by side") {
  follower_world world;
  world.store.Commit({{}, {{"t/a", "1"}, {"t/b", "1"}, {"t/c", "1"}}});
  world.options.scan_prefixes = {"t/a", "t/b", "t/c"};
  world.Start();
  CHECK(world.scans == 1);
  CHECK(world.seen.size() == 3);
  world.store.Commit({{}, {{"t/b", "2"}}});
  world.Continue();
  CHECK(world.seen["t/b"] == "2");
}

TEST_CASE("a follower reads all again when the history is gone") {
  follower_world world;
  world.store.Commit({{}, {{"t/a", "1"}, {"t/b", "1"}}});
  world.Start();
  world.store.Commit({{}, {{"t/a", std::nullopt}}});
  world.store.DropHistory();
  world.Continue();
  CHECK(world.scans == 2);
  CHECK(world.seen.size() == 1);
}

TEST_CASE("a follower goes on after the store was away") {
  follower_world world;
  world.store.SetFaults([](const std::string&, const std::string&) {
    return testing::store_fault::kRefuse;
  });
  world.Start();
  world.Continue();
  CHECK(world.lost == 1);
  world.store.SetFaults({});
  world.store.Commit({{}, {{"t/a", "1"}}});
  world.Continue();
  CHECK(world.regained == 1);
  CHECK(world.seen.size() == 1);
}

// Regression: CONFIG on tetoszin-prod-grown. With the usual wait after a lost
// answer, what is known is confirmed later than a change must be in force.
TEST_CASE("a watch after a failed one does not wait") {
  follower_world world;
  world.Start();
  world.store.SetFaults([](const std::string&, const std::string&) {
    return testing::store_fault::kLoseAnswer;
  });
  world.Continue();
  world.store.SetFaults({});
  world.Continue();  // the pause before the next watch
  world.Continue();
  CHECK(world.waits ==
        std::vector<millis>{millis(1'000), millis(0), millis(1'000)});
}

}  // namespace chiveglade::store
