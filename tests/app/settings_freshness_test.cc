#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "src/app/settings_freshness.h"

namespace chiveglade::app {

namespace {

constexpr millis kMaxAge{3'000};

struct freshness_world {
  explicit freshness_world(uint64_t version) {
    auto catalogue = std::make_shared<workflow::catalogue>();
    catalogue->version = version;
    auto state = std::make_shared<operator_state>();
    state->catalogue = catalogue;
    view = {state, now};
  }

  void Pass(millis time) {
    now += time;
    freshness.Report();
  }
  void Confirm() { view.as_of = now; }

  boot_time now{millis(1'000'000)};
  operator_view view;
  std::vector<std::string> lines;
  observe::metrics metrics;
  settings_freshness freshness{
      kMaxAge,
      metrics,
      {[this] { return view; }, [this] { return now; },
       [this](const char* event, const observe::log_fields& fields) {
         lines.push_back(event);
         for (const auto& [name, value] : fields) {
           lines.back().append(" ").append(name).append("=").append(value);
         }
       }}};
};

}  // namespace

TEST_CASE("settings are current until their age reaches the limit") {
  freshness_world world(5);
  world.Pass(kMaxAge);
  CHECK(world.freshness.IsCurrent());
  world.Pass(millis(1));
  CHECK_FALSE(world.freshness.IsCurrent());
  world.Confirm();
  CHECK(world.freshness.IsCurrent());
}

TEST_CASE("settings that were never read are not current") {
  freshness_world world(5);
  world.view = {};
  world.Pass(millis(10));
  CHECK_FALSE(world.freshness.IsCurrent());
  CHECK(world.lines.empty());
}

TEST_CASE("outdated settings are logged once, and with their worst age") {
  freshness_world world(5);
  world.Pass(millis(100));
  world.Pass(millis(3'000));
  world.Pass(millis(500));
  world.Confirm();
  world.Pass(millis(10));
  CHECK(world.lines ==
        std::vector<std::string>{
            "settings_current version=5 age_ms=100",
            "settings_outdated version=5 age_ms=3100",
            "settings_current version=5 age_ms=10 worst_ms=3600"});
}

}  // namespace chiveglade::app
