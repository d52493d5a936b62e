#include "chiveglade/routing/target_directory.h"

#include <catch2/catch.hpp>
#include <thread>

namespace chiveglade::routing {

namespace {

struct fixture {
  boot_time now{millis(1'000'000)};
  random_engine engine{7};
  random_fn random = [this] { return engine(); };
  std::shared_ptr<target_directory> directory =
      *target_directory::Make({"east"}, [this] { return now; });
  int64_t tick = 0;

  state::heartbeat MakeHeartbeat(const std::string& vm,
                                 const std::string& data_centre = "east",
                                 uint32_t in_use = 0) {
    state::heartbeat out;
    out.vm = {vm, 1};
    out.data_centre = data_centre;
    out.address = vm + ":1";
    out.tick = ++tick;
    out.targets = {{"s", 8, in_use, 0, 1'000}};
    return out;
  }
  void AddMany(int count, const std::string& data_centre = "east") {
    for (int i = 0; i < count; ++i) {
      directory->OnHeartbeat(
          MakeHeartbeat(data_centre + std::to_string(i), data_centre));
    }
  }
  std::map<std::string, int> Chosen(
      int times,
      const std::vector<std::string>& exclude = {}) {
    std::map<std::string, int> out;
    for (int i = 0; i < times; ++i) {
      if (auto got = directory->Choose("s", exclude, random)) {
        ++out[got->vm()];
      }
    }
    return out;
  }
};

}  // namespace

// Guards against requests to targets that are silent, leaving, out of service
// or already tried (invariant 8).
TEST_CASE_METHOD(fixture, "only targets in service are chosen") {
  CHECK(directory->Choose("s", {}, random).last_reason().code == "no_target");
  AddMany(3);
  CHECK(Chosen(100).size() == 3);
  CHECK(Chosen(100, {"east0", "east1"}) ==
        std::map<std::string, int>{{"east2", 100}});
  auto leaving = MakeHeartbeat("east0");
  leaving.leaving = true;
  directory->OnHeartbeat(leaving);
  CHECK(Chosen(100).count("east0") == 0);
  directory->SetOutOfService({}, {"east1"});
  CHECK(Chosen(100) == std::map<std::string, int>{{"east2", 100}});
  directory->SetOutOfService({"east"}, {});
  CHECK(Chosen(10).empty());
  directory->OnHeartbeat(MakeHeartbeat("east9"));
  CHECK(Chosen(10).empty());
  directory->SetOutOfService({}, {});
  now += millis(2'999);
  CHECK(Chosen(100).size() == 3);
  now += millis(1);
  CHECK(Chosen(100).empty());
  directory->Expire();
  CHECK(directory->Status("s").empty());
  CHECK(directory->Addresses().empty());
}

// Guards against a delayed heartbeat that restores a leaving target or an
// earlier incarnation of a VM.
TEST_CASE_METHOD(fixture, "older heartbeats are ignored") {
  const auto early = MakeHeartbeat("a");
  auto late = MakeHeartbeat("a");
  late.leaving = true;
  directory->OnHeartbeat(late);
  directory->OnHeartbeat(early);
  CHECK(Chosen(10).empty());
  auto replaced = MakeHeartbeat("a");
  replaced.vm.incarnation = 2;
  replaced.tick = 0;
  replaced.address = "new:1";
  directory->OnHeartbeat(replaced);
  directory->OnHeartbeat(late);
  CHECK(directory->Status("s").at(0).address == "new:1");
  CHECK(Chosen(10).size() == 1);
}

// Guards against losing a target's open requests and failures when another
// service starts or stops on the same VM.
TEST_CASE_METHOD(fixture,
                 "targets keep their state when other services change") {
  directory->OnHeartbeat(MakeHeartbeat("a"));
  const auto open = directory->Choose("s", {}, random);
  auto more = MakeHeartbeat("a");
  more.targets.insert(more.targets.begin(), {"r", 4});
  directory->OnHeartbeat(more);
  CHECK(directory->Status("s").at(0).open == 1);
  CHECK(directory->Status("r").size() == 1);
  directory->OnHeartbeat(MakeHeartbeat("a"));
  CHECK(directory->Status("s").at(0).open == 1);
  CHECK(directory->Status("r").empty());
}

// Guards against load that concentrates on a few targets, and against open
// requests of this entry that count only from the next heartbeat on.
TEST_CASE_METHOD(fixture, "open requests spread over the targets") {
  AddMany(10);
  std::vector<open_request> open;
  open.reserve(100);
  for (int i = 0; i < 100; ++i) {
    open.push_back(*directory->Choose("s", {}, random));
  }
  for (const auto& each : directory->Status("s")) {
    CHECK(each.open >= 6);
    CHECK(each.open <= 13);
  }
  open.clear();
  CHECK(directory->Status("s").at(0).open == 0);
}

// Guards against needless traffic between data centres, and against a local
// overload while other data centres are idle.
TEST_CASE_METHOD(fixture,
                 "the local data centre is preferred until it is busy") {
  AddMany(3);
  AddMany(3, "west");
  for (const auto& [vm, times] : Chosen(100)) {
    CHECK(vm.substr(0, 4) == "east");
  }
  for (int i = 0; i < 3; ++i) {
    directory->OnHeartbeat(
        MakeHeartbeat("east" + std::to_string(i), "east", 12));
    directory->OnHeartbeat(
        MakeHeartbeat("west" + std::to_string(i), "west", 10));
  }
  CHECK(Chosen(100).count("west0") == 0);
  for (int i = 0; i < 3; ++i) {
    directory->OnHeartbeat(
        MakeHeartbeat("west" + std::to_string(i), "west", 2));
  }
  for (const auto& [vm, times] : Chosen(100)) {
    CHECK(vm.substr(0, 4) == "west");
  }
}

// Guards against a target that fails every request, against ejecting most
// targets when the fault lies elsewhere, and against permanent ejection.
TEST_CASE_METHOD(fixture,
                 "failing targets are ejected, up to a third of them") {
  AddMany(6);
  const auto fail = [&](const std::string& vm, int times) {
    std::vector<std::string> others;
    for (int i = 0; i < 6; ++i) {
      if (const auto name = "east" + std::to_string(i); name != vm) {
        others.push_back(name);
      }
    }
    for (int i = 0; i < times; ++i) {
      if (auto got = directory->Choose("s", others, random)) {
        got->get().OnFailure(now);
      }
    }
  };
  const auto beat = [&](int count) {
    for (int i = 0; i < count; ++i) {
      now += millis(1'000);
      AddMany(6);
    }
  };
  fail("east0", 4);
  CHECK(Chosen(200).count("east0") == 1);
  fail("east0", 1);
  CHECK(Chosen(200).count("east0") == 0);
  beat(5);
  CHECK(Chosen(200).count("east0") == 1);
  fail("east0", 1);
  beat(9);
  CHECK(Chosen(200).count("east0") == 0);
  beat(1);
  CHECK(Chosen(200).count("east0") == 1);
  fail("east0", 1);
  fail("east1", 5);
  CHECK(Chosen(200).size() == 4);
  fail("east2", 5);
  CHECK(Chosen(200).size() == 6);
  directory->Choose("s", {"east0", "east1", "east3", "east4", "east5"}, random)
      ->get()
      .OnSuccess();
  CHECK(Chosen(200).size() == 4);
}

// Guards against data races between OnHeartbeat, Expire and Choose; the thread
// sanitizer build reports them.
TEST_CASE_METHOD(fixture, "OnHeartbeat and Choose may run concurrently") {
  std::atomic<bool> stop{false};
  std::thread chooser([&] {
    random_engine own(3);
    while (!stop) {
      (void)directory->Choose("s", {}, [&] { return own(); });
    }
  });
  for (int round = 0; round < 200; ++round) {
    for (int i = 0; i < 10; ++i) {
      auto beat = MakeHeartbeat("vm" + std::to_string(i));
      beat.vm.incarnation = round / 3;
      directory->OnHeartbeat(beat);
    }
    directory->Expire();
  }
  stop = true;
  chooser.join();
  CHECK(Chosen(100).size() == 10);
}

}  // namespace chiveglade::routing
