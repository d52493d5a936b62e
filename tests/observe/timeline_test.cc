#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>

#include "chiveglade/observe/timeline.h"

namespace chiveglade::observe {

namespace {

constexpr char kJob[] = "00000000000000aa";

timeline Read(const std::vector<std::string>& lines) {
  timeline out(kJob);
  for (const auto& text : lines) {
    const auto line = ParseLogLine(text);
    REQUIRE(line);
    out.Add(*line);
  }
  return out;
}

}  // namespace

TEST_CASE("a line is read as it was written") {
  const log_fields fields = {
      {"job", kJob}, {"empty", ""}, {"reason", "a \"b\" = c\\d"}};
  const auto whole =
      ParseLogLine("12.5 node-1 time_ms=1700 " +
                   FormatLine("job_not_accepted", fields) + "\n");
  REQUIRE(whole);
  CHECK(whole->unix_ms == 1'700);
  CHECK(whole->event == "job_not_accepted");
  CHECK(whole->fields == fields);
}

TEST_CASE("damaged lines are read without a crash") {
  const std::string line =
      "time_ms=5 event=run_placed job=\"a\\\"b\" task=c reason=\"x y\"";
  std::minstd_rand random(7);
  for (int i = 0; i < 20'000; ++i) {
    auto damaged = line;
    for (int k = 0; k < 3; ++k) {
      damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
    }
    timeline into(kJob);
    if (const auto parsed =
            ParseLogLine(damaged.substr(0, random() % damaged.size()))) {
      into.Add(*parsed);
      (void)into.Explain();
    }
  }
}

TEST_CASE("causes come before effects although clocks differ") {
  const auto found =
      Read({"time_ms=1060 event=job_accepted process=gateway job=" +
                std::string(kJob),
            "time_ms=1000 event=run_placed process=leader job=" +
                std::string(kJob) + " task=" + kJob + "/0/0/0 run=1 vm=v",
            "time_ms=900 event=start_answer process=v task=" +
                std::string(kJob) + "/0/0/0 run=1 outcome=no_answer",
            "time_ms=1500 event=run_ended process=leader job=" +
                std::string(kJob) + " task=" + kJob +
                "/0/0/0 run=1 vm=v outcome=done",
            "time_ms=1500 event=job_ended process=leader job=" +
                std::string(kJob) + " outcome=completed late_ms=-5"})
          .Explain();
  std::vector<std::string> order;
  for (const auto& entry : found.entries) {
    order.push_back(entry.line.event);
  }
  CHECK(order == std::vector<std::string>{"job_accepted", "run_placed",
                                          "start_answer", "run_ended",
                                          "job_ended"});
  CHECK(found.cause == "in_time");
}

TEST_CASE("refused requests lead to the store or to the caller") {
  const std::string job(kJob);
  CHECK(Read({"time_ms=1 event=job_refused process=g job=" + job +
              " reason=\"steps: a cycle\""})
            .Explain()
            .cause == "invalid_request");
  CHECK(Read({"time_ms=1 event=job_not_accepted process=g job=" + job +
              " may_be_stored=no reason=away_for_all"})
            .Explain()
            .cause == "store_out_of_reach");
  CHECK(Read({"time_ms=1 event=job_not_accepted process=g job=" + job +
              " may_be_stored=yes reason=timeout"})
            .Explain()
            .cause == "store_did_not_answer");
}

TEST_CASE("every cause is explained to operators") {
  std::ifstream page(std::string(SOURCE_DIR) + "/docs/OPERATIONS.md");
  std::stringstream text;
  text << page.rdbuf();
  for (const auto* cause : {"in_time",
                            "waited_for_room",
                            "no_coordinator",
                            "throttled",
                            "start_unanswered",
                            "start_refused",
                            "task_hung",
                            "vm_left",
                            "attempt_failed",
                            "worker_restarted",
                            "worker_gone",
                            "grant_expired",
                            "worker_fails",
                            "task_fails",
                            "long_work",
                            "cancelled",
                            "run_not_ended",
                            "invalid_request",
                            "store_out_of_reach",
                            "store_did_not_answer"}) {
    INFO(cause);
    CHECK(text.str().find(std::string("`") + cause + "`") != std::string::npos);
  }
}

}  // namespace chiveglade::observe
