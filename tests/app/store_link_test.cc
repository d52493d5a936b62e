#include <catch2/catch.hpp>

#include "src/app/store_link.h"
#include "tests/support/memory_store.h"

namespace chiveglade::app {

namespace {

using testing::store_fault;

// A link whose store and clock are set by hand.
struct link_world {
  link_world() { table = link.Observe(store.table()); }

  void Fail(bool fail) {
    store.SetFaults([fail](const std::string&, const std::string&) {
      return fail ? store_fault::kRefuse : store_fault::kNone;
    });
  }
  void Read(millis after) {
    now += after;
    table.read("key", [](const result<std::optional<store::row>>&) {});
  }
  void Commit(millis after) {
    now += after;
    table.commit({{}, {{"key", "value"}}}, [](const store::commit_outcome&) {});
  }

  boot_time now{millis(1'000'000)};
  testing::memory_store store;
  std::vector<std::string> events;
  store_link link{[this] { return now; },
                  [this](const char* event, const observe::log_fields&) {
                    events.emplace_back(event);
                  }};
  store::table_service table;
};

}  // namespace

TEST_CASE("the store is away once calls have failed for a while") {
  link_world world;
  world.Read(millis(300));
  world.Fail(true);
  world.Read(millis(300));
  world.Commit(millis(300));
  CHECK_FALSE(world.link.is_away());
  world.Read(millis(300));
  CHECK(world.link.is_away());
  CHECK(world.events == std::vector<std::string>{"store_away"});
}

TEST_CASE("any answer brings the store back") {
  link_world world;
  world.Fail(true);
  world.Read(millis(500));
  world.Read(millis(500));
  REQUIRE(world.link.is_away());
  world.Fail(false);
  world.Commit(millis(10));
  CHECK_FALSE(world.link.is_away());
  CHECK(world.events.back() == "store_reached_again");
}

TEST_CASE("one failed call after a long pause does not count as an outage") {
  link_world world;
  world.Fail(true);
  world.Read(millis(60'000));
  CHECK_FALSE(world.link.is_away());
}

TEST_CASE("a conflict is an answer") {
  link_world world;
  world.Commit(millis(10));
  world.Fail(true);
  world.Read(millis(400));
  world.Fail(false);
  world.table.commit({{{"key", 0}}, {{"key", "other"}}},
                     [](const store::commit_outcome&) {});
  world.Fail(true);
  world.Read(millis(400));
  world.Read(millis(200));
  CHECK_FALSE(world.link.is_away());
}

}  // namespace chiveglade::app
