#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "src/app/coordinator_host.h"
#include "src/app/peer_call.h"
#include "tests/support/memory_store.h"

namespace chiveglade::app {

namespace {

// A process that can coordinate, with a store and no peers.
struct host_world {
  explicit host_world(uint32_t fitness = 100, bool keep_interference = false) {
    auto table = store.table();
    // The store answers watches at once, so they are slowed down here.
    const auto watch = table.watch;
    table.watch = [this, watch](const std::string& prefix, uint64_t version,
                                millis wait,
                                const store::watch_callback& then) {
      if (watch_silent) {
        return;
      }
      auto timer = std::make_shared<net::asio::steady_timer>(control, kBeat);
      timer->async_wait([=](const boost::system::error_code&) {
        (void)timer;
        watch(prefix, version, wait, then);
      });
    };
    coordinator_host_options options;
    options.self = {"host", "127.0.0.1:1", fitness};
    options.succession.min_tenure = millis(0);
    options.keep_interference = keep_interference;
    host = std::make_unique<coordinator_host>(
        control, peers, metrics, std::move(options),
        coordinator_host::hooks{
            table,
            [this] { return Now(); },
            [this] { return unix_ms; },
            [this] { return ++nonce; },
            [this](const char* event, const observe::log_fields& fields) {
              lines.push_back(event);
              for (const auto& [name, value] : fields) {
                lines.back().append(" ").append(name).append("=").append(value);
              }
            },
            [this] {
              return operator_view{operators, operators_as_of.value_or(Now())};
            },
            {}});
    auto state = std::make_shared<operator_state>();
    state->catalogue = std::make_shared<workflow::catalogue>();
    operators = state;
  }

  static workflow::job_record Record(uint32_t tasks) {
    workflow::job_spec job;
    job.steps.emplace_back();
    job.steps.back().count = tasks;
    return workflow::MakeJobRecord(job);
  }

  void AddJob(const std::string& id, uint32_t tasks = 1) {
    workflow::submission job;
    job.queue = "queue";
    job.job.steps.emplace_back();
    job.job.steps.back().count = tasks;
    store.Commit(workflow::AcceptJob(id, workflow::EncodeSubmission(job)));
  }

  void AddProgress(const std::string& key, const std::string& row) {
    store.Commit({{}, {{key, row}}});
  }

  // A VM with room for any task reports.
  void Report() {
    workflow::report in;
    in.vm = "vm";
    in.address = "127.0.0.1:1";
    in.runner_incarnation = "life";
    in.sequence = ++reports;
    in.epoch = host->leader().epoch;
    in.worker_incarnation = 1'000;
    in.phase = workflow::worker_phase::kReady;
    in.capacity = {16'000, 64'000, 0};
    in.complete = true;
    (void)host->OnReport(in);
  }

  boot_time Now() const { return boot_clock::now() + passed; }

  std::string Done() {
    auto out = Record(1);
    out.phase = workflow::job_phase::kRunning;
    out.tasks[0][0][0].phase = workflow::task_phase::kDone;
    return workflow::EncodeProgressRow(out, 0);
  }

  // Runs until `reached` or for at most five seconds.
  template <typename Predicate>
  bool RunUntil(Predicate reached) {
    constexpr millis kLimit{5'000};
    for (millis passed{0}; passed < kLimit && !reached(); passed += kBeat) {
      loop.run_for(kBeat);
    }
    return reached();
  }

  bool Logged(const std::string& start) const {
    return std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
      return line.starts_with(start);
    });
  }

  workflow::leader_row Leader() const {
    return *workflow::DecodeLeaderRow(store.Read(workflow::kLeaderKey)->value);
  }

  static constexpr millis kBeat{20};
  net::asio::io_context loop;
  strand control = net::asio::make_strand(loop);
  peer_pool peers{loop, PeerOptions()};
  observe::metrics metrics;
  testing::memory_store store;
  int64_t unix_ms = 5;
  uint64_t nonce = 0;
  uint64_t reports = 0;
  std::vector<std::string> lines;
  std::shared_ptr<const operator_state> operators;
  std::optional<boot_time> operators_as_of;  // none: always up to date
  bool watch_silent = false;
  millis passed{0};  // beyond the time that the test takes
  std::unique_ptr<coordinator_host> host;
};

}  // namespace

TEST_CASE("a takeover moves what has ended out of the live jobs") {
  host_world world;
  world.AddJob("0live");
  world.AddJob("1done");
  world.AddProgress("progress/1done", world.Done());
  // Its job is among the ended ones.
  world.AddProgress("progress/2gone", world.Done());
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  CHECK(world.RunUntil(
      [&] { return world.store.Read("ended/1done").has_value(); }));
  CHECK(world.RunUntil([&] {
    return !world.store.Read("progress/1done") &&
           !world.store.Read("progress/2gone");
  }));
  CHECK_FALSE(world.store.Read("job/1done"));
  CHECK(world.store.Read("job/0live"));
  CHECK(world.host->FindJobView("1done")->phase ==
        workflow::job_phase::kCompleted);
  CHECK(world.RunUntil([&] { return world.Leader().ready; }));
}

TEST_CASE("a takeover puts the rows of a job's progress together") {
  host_world world;
  world.AddJob("0live", 40);
  auto record = world.Record(40);
  record.phase = workflow::job_phase::kRunning;
  for (auto& task : record.tasks[0][0]) {
    task.phase = workflow::task_phase::kDone;
  }
  record.tasks[0][0][33].phase = workflow::task_phase::kPending;
  for (const char* id : {"0live", "2gone"}) {
    for (const uint32_t row : {0U, 1U}) {
      world.AddProgress(ToString(workflow::progress_key{id, row}),
                        workflow::EncodeProgressRow(record, row));
    }
  }
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  REQUIRE(world.RunUntil([&] {
    world.Report();
    return world.Logged("run_placed");
  }));
  CHECK(world.Logged("run_placed job=0live task=0live/0/0/33 run=1"));
  CHECK(std::count_if(world.lines.begin(), world.lines.end(), [](auto& line) {
          return line.starts_with("run_placed");
        }) == 1);
  CHECK(world.RunUntil([&] {
    return !world.store.Read("progress/2gone") &&
           !world.store.Read("progress/2gone.1");
  }));
  CHECK(world.store.Read("progress/0live.1"));
}

TEST_CASE("what the store refuses is logged") {
  host_world world;
  world.store.SetLimits({SIZE_MAX, 9, SIZE_MAX});
  for (const char* id : {"0a", "0b", "0c", "0d", "0e", "0f", "1a", "1b"}) {
    world.AddJob(id);
  }
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  REQUIRE(world.RunUntil([&] {
    world.Report();
    return world.Logged("write_refused reason=refused by the store rows=9");
  }));
}

// Its tasks may be running or done, so it must not begin from the start.
TEST_CASE("a job whose progress cannot be read is set aside") {
  host_world world;
  world.AddJob("0broken");
  world.AddProgress("progress/0broken", "not CBOR");
  world.AddJob("1live");
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  CHECK(world.Logged("job_set_aside job=0broken"));
  CHECK_FALSE(world.host->FindJobView("0broken"));
  CHECK(world.host->FindJobView("1live"));
  CHECK(world.store.Read("progress/0broken"));
}

TEST_CASE("one row that cannot be read keeps all progress of its job") {
  host_world world;
  world.AddJob("0broken", 40);
  auto record = world.Record(40);
  record.phase = workflow::job_phase::kRunning;
  record.tasks[0][0][0].phase = workflow::task_phase::kDone;
  world.AddProgress("progress/0broken", workflow::EncodeProgressRow(record, 0));
  world.AddProgress("progress/0broken.1", "not CBOR");
  world.AddProgress("progress/2gone", world.Done());
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  CHECK(world.RunUntil([&] { return !world.store.Read("progress/2gone"); }));
  CHECK_FALSE(world.host->FindJobView("0broken"));
  CHECK(world.store.Read("progress/0broken"));
  CHECK(world.store.Read("progress/0broken.1"));
}

TEST_CASE(
    "a holder that hears nothing of operators or callers starts nothing") {
  host_world world;
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  SECTION("the operators' settings are old") {
    world.operators_as_of = world.Now() - millis(10'000);
  }
  SECTION("the watch of jobs is silent") {
    world.watch_silent = true;
  }
  world.AddJob("0live");
  // The last watch that was sent still brings the job.
  REQUIRE(world.RunUntil(
      [&] { return world.host->FindJobView("0live").has_value(); }));
  world.passed = millis(10'000);
  world.Report();
  const auto is_placed = [&] {
    return world.store.Read("progress/0live").has_value();
  };
  for (int i = 0; i < 20; ++i) {
    world.loop.run_for(host_world::kBeat);
    world.Report();
  }
  CHECK_FALSE(is_placed());
  CHECK(world.Logged("news_overdue"));
}

// Guards against cancellations of absent jobs that nobody deletes, and against
// one that does not outlast a takeover.
TEST_CASE(
    "a coordinator deletes cancellations of absent jobs when they are old") {
  host_world world;
  const std::string early = workflow::CancellationKey("0early");
  const std::string later = workflow::CancellationKey("0later");
  world.store.Commit(workflow::CancelAbsentJob("0early", 0));
  world.AddJob("0live");
  world.store.Commit({{}, {{workflow::CancellationKey("0live"), "cancelled"}}});
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  CHECK(world.RunUntil(
      [&] { return world.store.Read("ended/0live").has_value(); }));
  CHECK(world.store.Read(early));
  CHECK(world.host->FindJobView("0early") == std::nullopt);
  world.passed = workflow::kEarlyCancellationRetention - millis(5'000);
  world.store.Commit(workflow::CancelAbsentJob("0later", 0));
  REQUIRE(world.RunUntil([&] { return world.Logged("news_heard"); }));
  CHECK(world.store.Read(early));
  world.passed += millis(6'000);
  CHECK(world.RunUntil([&] { return !world.store.Read(early); }));
  CHECK(world.store.Read(later));
}

TEST_CASE("a holder that hears of no jobs does not count them") {
  host_world world;
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  CHECK(world.host->PendingJobCount("queue") == 0);
  world.watch_silent = true;
  world.loop.run_for(4 * host_world::kBeat);
  world.passed = millis(10'000);
  CHECK_FALSE(world.host->PendingJobCount("queue"));
}

TEST_CASE("a holder places tasks by recent news") {
  host_world world;
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  world.AddJob("0live");
  world.Report();
  CHECK(world.RunUntil(
      [&] { return world.store.Read("progress/0live").has_value(); }));
}

TEST_CASE("a holder hands over to a fitter process, not to an equal one") {
  host_world world;
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  world.host->OnClaim({"equal", "127.0.0.1:2", 100});
  CHECK_FALSE(world.Logged("role_handed_over"));
  world.host->OnClaim({"fitter", "127.0.0.1:2", 500});
  REQUIRE(world.RunUntil([&] { return !world.host->ready(); }));
  CHECK(world.Leader().released);
  CHECK(world.Leader().successor == "fitter");
  // The successor is gone, so the role comes back.
  CHECK(world.RunUntil([&] { return world.host->ready(); }));
  CHECK(world.Leader().epoch == 2);
}

namespace {

// A row whose second pair is too old to be taken over, so that the coordinator
// writes the row anew without having learned anything.
std::string StaleRow() {
  return workflow::EncodeInterferenceRow(
      {5,
       {{"bad", "web", 1, 30, millis(0)},
        {"old", "web", 1, 30, millis(86'400'000)}}});
}

std::string StoredRow(const host_world& world) {
  const auto row = world.store.Read(workflow::kInterferenceKey);
  return row ? row->value : "";
}

}  // namespace

TEST_CASE("a takeover restores what was learned of interference and keeps it") {
  host_world world(100, true);
  world.store.Commit({{}, {{workflow::kInterferenceKey, StaleRow()}}});
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  CHECK(world.Logged("interference_restored pairs=1 stored=2"));
  world.passed = interference_keeper::kInterval;
  CHECK(world.RunUntil([&] { return StoredRow(world) != StaleRow(); }));
  const auto row = workflow::DecodeInterferenceRow(StoredRow(world));
  REQUIRE(row);
  REQUIRE(row->pairs.size() == 1);
  CHECK(row->pairs[0].best_effort_image == "bad");
}

TEST_CASE("without the setting learned interference is not read or written") {
  host_world world;
  world.store.Commit({{}, {{workflow::kInterferenceKey, StaleRow()}}});
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  world.passed = interference_keeper::kInterval;
  world.loop.run_for(5 * host_world::kBeat);
  CHECK(StoredRow(world) == StaleRow());
  CHECK_FALSE(world.Logged("interference_"));
}

TEST_CASE("a coordinator is ready whatever becomes of learned interference") {
  host_world world(100, true);
  world.store.Commit({{}, {{workflow::kInterferenceKey, StaleRow()}}});
  auto fault = testing::store_fault::kNone;
  SECTION("calls are not answered") {
    fault = testing::store_fault::kHold;
  }
  SECTION("calls are refused") {
    fault = testing::store_fault::kRefuse;
  }
  SECTION("answers are lost") {
    fault = testing::store_fault::kLoseAnswer;
  }
  world.store.SetFaults([&](const std::string&, const std::string& key) {
    return key == workflow::kInterferenceKey ? fault
                                             : testing::store_fault::kNone;
  });
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  world.AddJob("0live");
  CHECK(world.RunUntil([&] {
    world.Report();
    return world.store.Read("progress/0live").has_value();
  }));
}

TEST_CASE("a former coordinator stops writing what it has learned") {
  host_world world(100, true);
  world.store.Commit({{}, {{workflow::kInterferenceKey, StaleRow()}}});
  world.host->Start();
  REQUIRE(world.RunUntil([&] { return world.host->ready(); }));
  SECTION("that was told so") {
    bool released = false;
    world.host->Release([&] { released = true; });
    REQUIRE(world.RunUntil([&] { return released; }));
    CHECK_FALSE(world.host->ready());
  }
  SECTION("that was suspended and has not yet noticed") {
    // Another process has the role; this one's writes of the leader row are not
    // answered.
    world.store.SetFaults([](const std::string&, const std::string& key) {
      return key == workflow::kLeaderKey ? testing::store_fault::kHold
                                         : testing::store_fault::kNone;
    });
  }
  world.passed = interference_keeper::kInterval + millis(1'000);
  world.loop.run_for(10 * host_world::kBeat);
  CHECK(StoredRow(world) == StaleRow());
}

}  // namespace chiveglade::app
