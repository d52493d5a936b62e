#include <catch2/catch.hpp>

#include <map>

#include "chiveglade/agent/heartbeat_schedule.h"

namespace chiveglade::agent {

namespace {

struct fixture {
  fixture() {
    schedule = *heartbeat_schedule::Make({"dc1", {"10.0.0.9:1"}, millis(1'000)},
                                         [this] { return random(); });
  }

  state::heartbeat_answer Answer(uint64_t epoch = 0) const {
    state::heartbeat_answer out;
    out.epoch = epoch;
    out.scheduler = "10.0.0.3:1";
    out.entries = {{"e1", "dc1", "10.0.0.1:1"},
                   {"e2", "dc2", "10.0.0.2:1"},
                   {"e3", "dc3", "10.0.0.3:1"}};
    return out;
  }

  // Passes time in steps; every heartbeat is answered, or fails.
  void Pass(millis time, bool reachable = true) {
    constexpr millis kStep{50};
    for (; time > millis(0); time -= kStep) {
      now += kStep;
      for (const auto& due : schedule->Due(now, false)) {
        ++(due.full ? full : partial)[due.address];
        if (reachable) {
          schedule->OnAnswer(due.address,
                             Answer(due.address == "10.0.0.3:1" ? 4 : 0), now);
        } else {
          schedule->OnFailure(due.address, now);
        }
      }
    }
  }

  random_engine random{5};
  boot_time now{millis(1'000'000)};
  std::unique_ptr<heartbeat_schedule> schedule;
  std::map<std::string, int> full;
  std::map<std::string, int> partial;
};

}  // namespace

// Guards against more control traffic than the budget of a daemon allows, and
// against a scheduler that hears of attempts only every third period.
TEST_CASE("entries get heartbeats by their role") {
  fixture at;
  at.Pass(millis(3'000));  // learns the entries from the seed
  CHECK(at.schedule->scheduler() == "10.0.0.3:1");
  at.full.clear();
  at.partial.clear();
  at.Pass(millis(30'000));
  CHECK(at.full ==
        std::map<std::string, int>{{"10.0.0.1:1", 30}, {"10.0.0.3:1", 30}});
  CHECK(at.partial == std::map<std::string, int>{{"10.0.0.2:1", 10}});
}

// Guards against an end that waits for the next period, and against a flood.
TEST_CASE("an urgent heartbeat goes to the scheduler at once") {
  fixture at;
  at.Pass(millis(5'000));
  (void)at.schedule->Due(at.now, false);
  at.Pass(millis(100));
  at.now += millis(60);
  const std::vector<due_heartbeat> expected = {{"10.0.0.3:1", true}};
  CHECK(at.schedule->Due(at.now, true) == expected);
  CHECK(at.schedule->Due(at.now, true).empty());  // one is under way
  at.schedule->OnAnswer("10.0.0.3:1", at.Answer(4), at.now);
  CHECK(at.schedule->Due(at.now, true).empty());  // too soon after the last
}

// Guards against a region that stays cut off after the network has healed.
TEST_CASE("entries that fail are tried less often and never given up") {
  fixture at;
  at.Pass(millis(5'000));
  at.full.clear();
  at.partial.clear();
  constexpr int kHour = 3'600;
  at.Pass(millis(kHour * 1'000), false);
  for (const char* address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) {
    const int sent = at.full[address] + at.partial[address];
    CHECK(sent > kHour / 11);
    CHECK(sent < kHour / 6);
  }
  // The address of the settings is in use again while nothing answers.
  CHECK(at.full["10.0.0.9:1"] > 0);
  at.full.clear();
  at.Pass(millis(11'000));
  CHECK(at.full["10.0.0.1:1"] > 0);
  CHECK(at.schedule->listed() == 3);
}

// Guards against a former scheduler that keeps the agents' reports.
TEST_CASE("the scheduler's own word counts until it is silent") {
  fixture at;
  at.Pass(millis(5'000));
  auto other = at.Answer();
  other.scheduler = "10.0.0.2:1";
  at.schedule->OnAnswer("10.0.0.1:1", other, at.now);
  CHECK(at.schedule->scheduler() == "10.0.0.3:1");
  at.schedule->OnAnswer("10.0.0.3:1", other, at.now);  // it is none any more
  CHECK(at.schedule->scheduler() == "10.0.0.2:1");
  auto stale = at.Answer(3);
  at.schedule->OnAnswer("10.0.0.3:1", stale, at.now);
  CHECK(at.schedule->scheduler() == "10.0.0.2:1");
}

// Guards against an agent that leaves before an entry has heard of it.
TEST_CASE("leaving is announced to every entry at once") {
  fixture at;
  at.Pass(millis(5'000));
  at.schedule->MakeAllDue(at.now);
  CHECK_FALSE(at.schedule->AllTold(at.now));
  const auto due = at.schedule->Due(at.now, false);
  CHECK(due.size() == 3);
  CHECK_FALSE(at.schedule->AllTold(at.now));
  at.schedule->OnAnswer(due[0].address, at.Answer(), at.now);
  at.schedule->OnFailure(due[1].address, at.now);
  at.schedule->OnAnswer(due[2].address, at.Answer(), at.now);
  CHECK(at.schedule->AllTold(at.now));
}

}  // namespace chiveglade::agent
