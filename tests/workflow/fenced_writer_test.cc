#include <catch2/catch.hpp>

#include "chiveglade/workflow/fenced_writer.h"
#include "tests/support/memory_store.h"

namespace chiveglade::workflow {

namespace {

using testing::store_fault;

struct writer_world {
  writer_world() {
    first = Make("first", first_epoch, first_lost);
    second = Make("second", second_epoch, second_lost);
  }

  std::unique_ptr<fenced_writer> Make(const std::string& name,
                                      uint64_t& epoch,
                                      int& lost,
                                      uint32_t fitness = 100) {
    writer_options options;
    options.self = {name, name, fitness};
    fenced_writer::hooks hooks;
    hooks.table = store.table();
    hooks.clock = [this] { return now; };
    hooks.random = [this] { return ++nonce; };
    const auto made = std::make_shared<fenced_writer*>();
    hooks.gained = [this, &epoch, made](uint64_t at) {
      epoch = at;
      if (becomes_ready) {
        (*made)->SetReady();
      }
    };
    hooks.lost = [&lost](const char*) { ++lost; };
    auto out = std::make_unique<fenced_writer>(options, std::move(hooks));
    *made = out.get();
    return out;
  }

  // Passes time. `frozen` is a writer that gets no ticks, as if it was paused.
  void Pass(millis time, const fenced_writer* frozen = nullptr) {
    constexpr millis kStep{50};
    for (millis passed{0}; passed < time; passed += kStep) {
      now += kStep;
      for (auto* writer : {first.get(), second.get()}) {
        if (writer != frozen) {
          writer->Tick();
        }
      }
    }
  }

  write_status Write(fenced_writer& on, const std::string& key) {
    write_status out = write_status::kNotApplied;
    on.Write({{key, "value"}}, [&out](write_status status) { out = status; });
    return out;
  }

  bool becomes_ready = true;  // holders recover at once
  boot_time now{millis(1'000'000)};
  uint64_t nonce = 0;
  testing::memory_store store;
  uint64_t first_epoch = 0;
  uint64_t second_epoch = 0;
  int first_lost = 0;
  int second_lost = 0;
  std::unique_ptr<fenced_writer> first;
  std::unique_ptr<fenced_writer> second;
};

}  // namespace

TEST_CASE("one process takes the role and keeps it by renewing the lease") {
  writer_world world;
  world.Pass(millis(20'000));
  CHECK(world.first_epoch == 1);
  CHECK(world.second_epoch == 0);
  CHECK(world.first->holds());
}

TEST_CASE(
    "another process takes over after the lease, and the old holder cannot "
    "write") {
  writer_world world;
  world.Pass(millis(1'000));
  world.Pass(millis(4'000), world.first.get());
  CHECK(world.second_epoch == 2);
  CHECK(world.first->holds());  // It has not noticed the takeover.
  CHECK(world.Write(*world.first, "a") == write_status::kFenced);
  CHECK(world.first_lost == 1);
  CHECK_FALSE(world.store.Read("a"));
}

TEST_CASE("a released role is taken over without waiting for the lease") {
  writer_world world;
  world.Pass(millis(1'000));
  bool released = false;
  world.first->Release([&released] { released = true; });
  CHECK(released);
  world.Pass(millis(700));
  CHECK(world.second_epoch == 2);
}

// Regression (tetoszin-prod, scale-1): a holder that was told to stop during a
// write kept renewing the leader row for 2.5 s without placing any tasks.
TEST_CASE("a release waits for a pending write") {
  writer_world world;
  world.Pass(millis(1'000));
  bool hold = true;
  world.store.SetFaults([&](const std::string& call, const std::string&) {
    return hold && call == "commit" ? store_fault::kHold : store_fault::kNone;
  });
  world.first->Write({{"a", "value"}}, [](write_status) {});
  hold = false;
  bool released = false;
  world.first->Release([&released] { released = true; });
  CHECK_FALSE(released);
  world.store.ReleaseHeld();
  world.Pass(millis(700));
  CHECK(released);
  CHECK_FALSE(world.first->holds());
  CHECK(world.second_epoch == 2);
}

TEST_CASE(
    "a restarted holder takes the role back without waiting for the lease") {
  writer_world world;
  world.Pass(millis(1'000));
  world.first_epoch = 0;
  world.first = world.Make("first", world.first_epoch, world.first_lost);
  world.Pass(millis(100));
  CHECK(world.first_epoch == 2);
}

// Regression (mezarcicek-ops-grown, trouble-2): a holder that never finished
// its recovery renewed the leader row until the end of the day.
TEST_CASE("a holder that renews but never decides loses the role") {
  writer_world world;
  world.becomes_ready = false;
  world.Pass(succession_options{}.max_recovery - millis(500));
  CHECK(world.first_epoch == 1);
  CHECK(world.second_epoch == 0);
  world.becomes_ready = true;
  world.Pass(millis(1'500));
  CHECK(world.second_epoch == 2);
  CHECK(world.first_lost == 1);
  const auto epoch = world.second_epoch;
  world.Pass(millis(20'000));
  CHECK(world.second->holds());
  CHECK(world.second->epoch() == epoch);
}

TEST_CASE("a recovery that takes long is cut short less often each time") {
  writer_world world;
  world.becomes_ready = false;
  const auto takeovers = [&world] {
    return std::max(world.first_epoch, world.second_epoch);
  };
  world.Pass(millis(60'000));
  const auto early = takeovers();
  world.Pass(millis(60'000));
  CHECK(takeovers() - early <= 1);
}

TEST_CASE("the role goes to the successor that the holder names") {
  writer_world world;
  uint64_t third_epoch = 0;
  int third_lost = 0;
  world.Pass(millis(1'000));
  REQUIRE(world.first->holds());
  const auto third = world.Make("third", third_epoch, third_lost, 500);
  world.first->HandOver("third");
  CHECK_FALSE(world.first->holds());
  CHECK(world.first_lost == 1);
  SECTION("which lives") {
    world.Pass(succession_options{}.successor_delay - millis(100));
    CHECK(world.second_epoch == 0);
    third->Tick();
    CHECK(third_epoch == 2);
    world.Pass(millis(5'000), third.get());
  }
  SECTION("which is gone, so that another takes it") {
    world.Pass(succession_options{}.successor_delay + millis(700));
    CHECK(std::max(world.first_epoch, world.second_epoch) == 2);
  }
}

TEST_CASE("a process that a fitter holder outlasts looks at the row rarely") {
  writer_world world;
  world.Pass(millis(1'000));
  writer_options options;
  options.self = {"small", "small", 10};
  options.idle_poll_interval = millis(5'000);
  fenced_writer::hooks hooks;
  hooks.table = world.store.table();
  hooks.clock = [&world] { return world.now; };
  hooks.random = [] { return 1; };
  hooks.gained = [](uint64_t) {};
  hooks.lost = [](const char*) {};
  int looks = 0;
  const auto read = hooks.table.read;
  hooks.table.read = [&](const std::string& key, store::read_callback then) {
    ++looks;
    read(key, std::move(then));
  };
  fenced_writer small(options, hooks);
  for (int i = 0; i < 200; ++i) {
    world.Pass(millis(50));
    small.Tick();
  }
  CHECK(looks <= 4);
  CHECK_FALSE(small.holds());
}

TEST_CASE("a leader row that cannot be read is replaced by a higher epoch") {
  writer_world world;
  world.Pass(millis(1'000));
  REQUIRE(world.first_epoch == 1);
  world.store.Commit({{}, {{kLeaderKey, "not CBOR"}}});
  world.Pass(millis(6'000));
  CHECK(std::max(world.first_epoch, world.second_epoch) > 1);
  CHECK(DecodeLeaderRow(world.store.Read(kLeaderKey)->value));
}

TEST_CASE("a write without an answer is resolved by reading the leader row") {
  writer_world world;
  world.Pass(millis(1'000));
  auto fault = GENERATE(store_fault::kLoseAnswer, store_fault::kLoseRequest);
  int commits = 0;
  world.store.SetFaults([&](const std::string& call, const std::string&) {
    return call == "commit" && commits++ == 0 ? fault : store_fault::kNone;
  });
  std::optional<write_status> status;
  world.first->Write({{"a", "value"}},
                     [&status](write_status at) { status = at; });
  CHECK_FALSE(status);
  world.Pass(millis(500));
  REQUIRE(status);
  CHECK(*status == write_status::kCommitted);
  CHECK(world.store.Read("a"));
  CHECK(world.first->holds());
}

TEST_CASE("no process takes over while the store is unavailable") {
  writer_world world;
  world.Pass(millis(1'000));
  world.store.SetFaults([](const std::string&, const std::string&) {
    return store_fault::kRefuse;
  });
  world.Pass(millis(10'000));
  world.store.SetFaults({});
  world.Pass(millis(3'000));
  CHECK(world.first->holds());
  CHECK(world.second_epoch == 0);
}

TEST_CASE(
    "a write that is applied late cannot undo a write of the next holder") {
  writer_world world;
  world.Pass(millis(1'000));
  bool hold = true;
  world.store.SetFaults([&](const std::string& call, const std::string& key) {
    return hold && call == "commit" && key == "a" ? store_fault::kHold
                                                  : store_fault::kNone;
  });
  world.first->Write({{"a", "old"}}, [](write_status) {});
  hold = false;
  world.Pass(millis(4'000), world.first.get());
  REQUIRE(world.second->holds());
  CHECK(world.Write(*world.second, "a") == write_status::kCommitted);
  world.store.ReleaseHeld();
  CHECK(world.store.Read("a")->value == "value");
  CHECK(world.first_lost == 1);
}

}  // namespace chiveglade::workflow
