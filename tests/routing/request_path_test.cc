#include "tests/routing/request_path.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace chiveglade::routing {

// Guards against requests that fail, run twice or get another request's
// response during the planned drain of a VM (invariants 5, 7, 8 and 9).
TEST_CASE_METHOD(path_fixture, "draining an agent interrupts no request") {
  std::atomic<int> drained{0};
  worker.on_count = [&](int count) {
    if (count == 300) {
      auto& leaving = vms[0];
      leaving.heartbeat.tick = 1;
      leaving.heartbeat.leaving = true;
      directory->OnHeartbeat(leaving.heartbeat);
      leaving.proxy->Drain([&] { ++drained; });
      leaving.server->Drain([&] { ++drained; });
    }
  };
  load::load_report report("");
  Load(report, 1'500);
  INFO(report.ToJson(millis(1)));
  CHECK(report.CountOf("ran") == 1'500);
  CHECK(report.wrong() + report.broken() == 0);
  for (const auto& [id, times] : worker.executed()) {
    CAPTURE(id);
    CHECK(times == 1);
  }
  while (drained < 2) {
    std::this_thread::yield();
  }
}

// Guards against wrong verdicts when an agent fails (invariants 6 and 7).
TEST_CASE_METHOD(path_fixture, "verdicts are right when an agent fails") {
  worker.on_count = [&](int count) {
    if (count == 300) {
      vms[0].server->Stop();
    }
  };
  const auto file = std::filesystem::temp_directory_path() /
                    ("request_path_" + std::to_string(worker.port()));
  {
    load::load_report report(file.string());
    Load(report, 1'500);
    INFO(report.ToJson(millis(1)));
    CHECK(report.wrong() == 0);
    CHECK(report.CountOf("ran") > 1'400);
    CHECK(report.total() == 1'500);
  }
  const auto executed = worker.executed();
  std::ifstream record(file);
  std::string id;
  std::string key;
  std::string verdict;
  int status = 0;
  while (record >> id >> key >> verdict >> status) {
    const auto at = executed.find(id);
    const int times = at == executed.end() ? 0 : at->second;
    CAPTURE(id, key, verdict, status);
    CHECK((verdict != "not_run" || times == 0));
    CHECK((verdict != "ran" || times >= 1));
    CHECK((key == "-" || times <= 1));
  }
  record.close();
  std::filesystem::remove(file);
}

}  // namespace chiveglade::routing
