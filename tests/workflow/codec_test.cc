#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <limits>

#include "chiveglade/workflow/fenced_writer.h"
#include "chiveglade/workflow/job_record.h"
#include "chiveglade/workflow/job_rows.h"
#include "chiveglade/workflow/message.h"
#include "tests/workflow/fixture.h"

namespace chiveglade::workflow {

namespace {

report MakeReport() {
  report out;
  out.vm = "vm";
  out.runner_incarnation = "life";
  out.sequence = 9;
  out.worker_incarnation = 1'700'000'000'000;
  out.phase = worker_phase::kDraining;
  out.labels = {"a", "r1"};
  out.capacity = kVmSize;
  out.omits_runs = true;
  out.complete = true;
  run_status status;
  status.run = {{"job", 1, 2, 3}, 4};
  status.load = -1;
  status.pace = 40;
  out.runs = {status};
  out.ends = {{7, {{"job", 0, 0, 1}, 2}, run_result::kGangBroken, "saved"}};
  out.refusals = {{{{"job", 0, 0, 0}, 1}, "room"}};
  return out;
}

orders MakeOrders() {
  orders out;
  out.epoch = 3;
  out.boot_clock_ms = 77;
  out.valid_for = millis(900);
  start_order start;
  start.run = {{"job", 0, 1, 2}, 3};
  start.payload = "payload";
  start.best_effort = true;
  start.latency_target = millis(50);
  out.starts = {start};
  out.stops = {{{"job", 0, 0, 0}, 1}};
  out.weights = {{"filler", "serving", 0.25}};
  return out;
}

}  // namespace

TEST_CASE("messages survive encoding and decoding") {
  CHECK(*DecodeReport(Encode(MakeReport())) == MakeReport());
  CHECK(*DecodeOrders(Encode(MakeOrders())) == MakeOrders());
  const report_reply answer{4, millis(7'000), 5, 6};
  CHECK(*DecodeReportReply(Encode(answer)) == answer);
  const leader_row row{2,    "holder", "address",   "nonce", true,
                       true, 70,       "successor", 3};
  CHECK(*DecodeLeaderRow(EncodeLeaderRow(row)) == row);
}

TEST_CASE("submissions and records survive encoding and decoding") {
  auto step = MakeStep(3);
  step.image = "image";
  step.latency_target = millis(20);
  step.disruption_budget = 1;
  auto second = MakeStep(2);
  second.after = {0};
  second.saves_progress = true;
  auto in = MakeSubmission({step, second});
  in.job.repeat = {3, 1'700'000'000'000, millis(2'000)};
  CHECK(*DecodeSubmission(EncodeSubmission(in)) == in);
  auto record = MakeJobRecord(in.job);
  record.phase = job_phase::kRunning;
  record.tasks[1][0][2] = {
      task_phase::kPending, 3, 1, "saved", {{3, "vm", 1'700'000'000'000}}};
  record.tasks[2][1][0].phase = task_phase::kDone;
  const auto row = DecodeProgressRow(EncodeProgressRow(record, 0));
  REQUIRE(row);
  CHECK(row->tasks.size() == 2);
  auto read = MakeJobRecord(in.job);
  CHECK(AddProgress(0, *row, read));
  CHECK(read == record);
}

// Guards against sums that overflow for jobs that an earlier version accepted,
// and against losing these jobs because their rows are rejected.
TEST_CASE("extreme numbers of a stored job are brought into range") {
  const int64_t number = GENERATE(std::numeric_limits<int64_t>::max(),
                                  std::numeric_limits<int64_t>::min());
  auto in = MakeSubmission({MakeStep(2)});
  auto& step = in.job.steps[0];
  step.demand = {number, number, number};
  step.estimate = step.latency_target = millis(number);
  in.job.repeat = {3, number, millis(number)};
  in.accepted_unix_ms = number;
  REQUIRE_FALSE(CheckJob(in.job));
  const auto out = DecodeSubmission(EncodeSubmission(in));
  REQUIRE(out);
  CHECK(CheckJob(out->job));
  CHECK(out->job.steps[0].demand ==
        (number > 0 ? resources{kMaxAmount, kMaxAmount, kMaxAmount}
                    : resources{}));
  CHECK(out->job.steps[0].estimate == (number > 0 ? kMaxDuration : millis(0)));
}

// Guards against an occurrence that is due at once because its time overflowed.
TEST_CASE("the due time of an occurrence does not overflow") {
  CHECK(DueUnixMs({}, 3) == 0);
  CHECK(DueUnixMs({4, 1'000, millis(50)}, 3) == 1'150);
  CHECK(DueUnixMs({4, 1'000, millis::max()}, 3) ==
        std::numeric_limits<int64_t>::max());
  CHECK(DueUnixMs({4, std::numeric_limits<int64_t>::max(), millis(1)}, 1) ==
        std::numeric_limits<int64_t>::max());
}

TEST_CASE("progress is divided into rows of tasks over all occurrences") {
  auto in = MakeSubmission({MakeStep(20), MakeStep(3)});
  in.job.repeat.occurrences = 3;
  auto record = MakeJobRecord(in.job);
  CHECK(ProgressRowCount(record) == 3);
  CHECK(ProgressRowOf(record, {"job", 0, 1, 2}) == 0);
  CHECK(ProgressRowOf(record, {"job", 1, 0, 8}) == 0);
  CHECK(ProgressRowOf(record, {"job", 1, 0, 9}) == 1);
  CHECK(ProgressRowOf(record, {"job", 2, 1, 2}) == 2);
  record.phase = job_phase::kRunning;
  for (auto& steps : record.tasks) {
    for (auto& tasks : steps) {
      for (auto& task : tasks) {
        task.last_run = 1;
      }
    }
  }
  auto read = MakeJobRecord(in.job);
  for (uint32_t row = 0; row < 3; ++row) {
    const auto tasks = DecodeProgressRow(EncodeProgressRow(record, row));
    CHECK(tasks->tasks.size() == (row < 2 ? kTasksPerRow : 5));
    CHECK(AddProgress(row, *tasks, read));
  }
  CHECK(read == record);
}

TEST_CASE("a row of progress with tasks that its job lacks is rejected") {
  auto larger = MakeJobRecord(MakeSubmission({MakeStep(3)}).job);
  larger.tasks[0][0][2].phase = task_phase::kDone;
  const auto row = DecodeProgressRow(EncodeProgressRow(larger, 0));
  auto record = MakeJobRecord(MakeSubmission({MakeStep(2)}).job);
  CHECK_FALSE(AddProgress(0, *row, record));
}

// Guards against a row that has been stored under the key of another one, whose
// older tasks would replace newer ones.
TEST_CASE("a row of progress with tasks of another row is rejected") {
  auto record = MakeJobRecord(MakeSubmission({MakeStep(40)}).job);
  record.tasks[0][0][3].phase = task_phase::kDone;
  record.tasks[0][0][35].phase = task_phase::kDone;
  for (const uint32_t row : {0U, 1U}) {
    const auto read = DecodeProgressRow(EncodeProgressRow(record, row));
    auto into = MakeJobRecord(MakeSubmission({MakeStep(40)}).job);
    CHECK(AddProgress(row, *read, into));
    CHECK_FALSE(AddProgress(1 - row, *read, into));
    // Its first task has the number of row 0 modulo 2^32.
    CHECK_FALSE(AddProgress(1U << 27U, *read, into));
  }
}

// Regression, review/5: the store refuses a row above its limit, and with it
// all that the coordinator writes.
TEST_CASE("all progress of the largest job fits the store") {
  constexpr size_t kMaxVmName = 64;
  constexpr size_t kMaxCallBytes = 1'000'000;
  auto job = MakeSubmission({MakeStep(5)}).job;
  job.repeat.occurrences = kMaxTasksPerJob / 5;
  REQUIRE(CheckJob(job));
  auto record = MakeJobRecord(job);
  task_record task;
  task.last_run = task.failures = UINT32_MAX;
  task.checkpoint.assign(kMaxCheckpointBytes, 'c');
  task.live_runs.push_back(
      {UINT32_MAX, std::string(kMaxVmName, 'v'), INT64_MAX});
  for (auto& steps : record.tasks) {
    steps[0].assign(steps[0].size(), task);
  }
  size_t call_bytes = 0;
  for (uint32_t row = 0; row < ProgressRowCount(record); ++row) {
    const auto bytes = EncodeProgressRow(record, row).size();
    CHECK(bytes <= kMaxProgressRowBytes);
    // Base64, and the names of table, part and key.
    call_bytes += bytes / 3 * 4 + 200;
  }
  CHECK(call_bytes < kMaxCallBytes);
}

TEST_CASE("keys of rows of progress survive formatting and parsing") {
  for (const progress_key& key : {progress_key{"00000000000000aa", 0},
                                  progress_key{"00000000000000aa", 17}}) {
    CHECK(*ParseProgressKey(ToString(key)) == key);
  }
  for (const char* other :
       {"job/aa", "progress/aa.", "progress/aa.0", "progress/aa.1x"}) {
    CHECK_FALSE(ParseProgressKey(other));
  }
}

TEST_CASE("decoding damaged bytes does not crash") {
  const std::string originals[] = {
      Encode(MakeReport()), Encode(MakeOrders()),
      EncodeSubmission(MakeSubmission({MakeStep(2)})),
      EncodeProgressRow(MakeJobRecord(MakeSubmission({MakeStep(2)}).job), 0)};
  const bool passed = rc::check("bytes changed or cut", [&] {
    auto bytes = originals[*rc::gen::inRange<size_t>(0, 4)];
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    (void)DecodeReport(bytes);
    (void)DecodeOrders(bytes);
    (void)DecodeReportReply(bytes);
    (void)DecodeSubmission(bytes);
    (void)DecodeProgressRow(bytes);
    (void)DecodeLeaderRow(bytes);
  });
  CHECK(passed);
}

TEST_CASE("invalid jobs are rejected") {
  CHECK(CheckJob(MakeSubmission({MakeStep(1)}).job));
  CHECK_FALSE(CheckJob({}));
  CHECK_FALSE(CheckJob(MakeSubmission({MakeStep(0)}).job));
  auto self = MakeStep(1);
  self.after = {0};
  CHECK_FALSE(CheckJob(MakeSubmission({self}).job));
  auto later = MakeStep(1);
  later.after = {5};
  CHECK_FALSE(CheckJob(MakeSubmission({MakeStep(1), later}).job));
  CHECK_FALSE(CheckJob(MakeSubmission({MakeStep(1, -5)}).job));
  CHECK_FALSE(CheckJob(MakeSubmission({MakeStep(kMaxTasksPerJob + 1)}).job));
  auto repeated = MakeSubmission({MakeStep(10)}).job;
  repeated.repeat.occurrences = kMaxTasksPerJob;
  CHECK_FALSE(CheckJob(repeated));
}

}  // namespace chiveglade::workflow
