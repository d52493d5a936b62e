#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "chiveglade/config/queue_check.h"
#include "chiveglade/workflow/job_record.h"
#include "chiveglade/workflow/job_rows.h"
#include "chiveglade/workflow/leader_row.h"
#include "platform/job_codec.h"
#include "platform/json_fields.h"
#include "platform/operator_rows.h"
#include "platform/row_codec.h"
#include "platform/worker_client.h"
#include "src/store/base64.h"

namespace chiveglade::platform {

namespace {

using nlohmann::json;

constexpr char kJob[] =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
    R"("estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
    R"("after":[0],"saves_progress":true,"may_miss":0,"target_ms":50,)"
    R"("image":"i","anti_affinity":2,"constraints":"gpu","fills":true}]})";

constexpr char kHeartbeat[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],)"
    R"("clock_ms":5,"sequence":4,"born":1700000000000})";

std::string Changed(const char* text, const char* field, const json& value) {
  auto in = json::parse(text);
  in[field] = value;
  return in.dump();
}

}  // namespace

TEST_CASE("base64 round-trips and malformed input is rejected") {
  const bool passed = rc::check([](const std::string& bytes) {
    RC_ASSERT(*store::DecodeBase64(store::EncodeBase64(bytes)) == bytes);
  });
  CHECK(passed);
  CHECK(store::EncodeBase64("node-1") == "bm9kZS0x");
  CHECK_FALSE(store::DecodeBase64("bm9"));
  CHECK_FALSE(store::DecodeBase64("b*9k"));
  CHECK_FALSE(store::DecodeBase64("===="));
}

TEST_CASE("a job is decoded with all its fields") {
  const auto job = DecodeJob(kJob);
  REQUIRE(job);
  CHECK(job->payload == "text");
  REQUIRE(job->steps.size() == 2);
  CHECK(job->steps[0].preferred_rack == "r1-3");
  CHECK(job->steps[0].demand == resources{500, 256, 0});
  CHECK(job->steps[0].disruption_budget == -1);
  const auto& second = job->steps[1];
  CHECK(second.after == std::vector<uint32_t>{0});
  CHECK(second.disruption_budget == 0);
  CHECK(second.max_per_vm == 2);
  CHECK(second.required_label == "gpu");
  CHECK(second.latency_target == millis(50));
  CHECK(second.best_effort);
}

// Regression, review/15: such jobs were accepted and their sums overflowed.
TEST_CASE("jobs with numbers out of range are rejected") {
  const auto decode = [](const std::string& job, const std::string& step) {
    return DecodeJob(R"({"spec":"s",)" + job + R"("steps":[{"count":1)" + step +
                     "}]}");
  };
  CHECK(decode("", ""));
  CHECK(decode(R"("repeat_count":2,"start_at_ms":1,"interval_ms":1,)",
               R"(,"cpu":1000000,"estimate_ms":31536000000)"));
  for (const char* number : {"9223372036854775807", "-9223372036854775808",
                             "-1", "4611686018427387904"}) {
    CAPTURE(number);
    for (const char* field :
         {"cpu", "mem_mb", "gpu", "estimate_ms", "target_ms"}) {
      CAPTURE(field);
      CHECK_FALSE(decode("", std::string(",\"") + field + "\":" + number));
    }
    for (const char* field : {"interval_ms", "start_at_ms"}) {
      CAPTURE(field);
      CHECK_FALSE(decode(
          std::string("\"repeat_count\":3,\"") + field + "\":" + number + ",",
          ""));
    }
  }
}

TEST_CASE("malformed job bodies are rejected") {
  for (const char* body :
       {"", "[]", "{", "{}", R"({"steps":5})", R"({"steps":[]})",
        R"({"steps":[{"count":0}]})", R"({"steps":[{"count":-1}]})",
        R"({"steps":[{"count":"4"}]})", R"({"steps":[{"cpu":true}]})",
        R"({"steps":[{"after":[0]}]})", R"({"steps":[{"after":["0"]}]})",
        R"({"steps":[7]})", R"({"spec":5,"steps":[{}]})"}) {
    CAPTURE(body);
    CHECK_FALSE(DecodeJob(body));
  }
  CHECK_FALSE(DecodeJob(Changed(kJob, "spec", std::string(4'001, 'x'))));
}

TEST_CASE("job IDs and task names are parsed") {
  CHECK(IsJobId("5c0e7a21d94b36f8"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobId("5c0e7a21d94b36g8"));
  const workflow::task_key key{"5c0e7a21d94b36f8", 1, 2, 17};
  CHECK(TaskName(key) == "5c0e7a21d94b36f8.1.2.17");
  CHECK(*ParseTaskName(TaskName(key)) == key);
  for (const char* name : {"", "a", "a.1", "a.1.2", "a.1.2.", "a.1.2.3.4",
                           "a.1.-2.3", "a.1.2.99999999999"}) {
    CHECK_FALSE(ParseTaskName(name));
  }
}

// Guards against fields that this program does not read, or a list without
// bound, taking many times the length of a heartbeat in memory.
TEST_CASE("a long heartbeat is read without what it does not need") {
  std::string values = "[[]";
  for (int i = 0; i < 20'000; ++i) {
    values += ",[]";
  }
  values += "]";
  const std::string plain(kHeartbeat);
  const auto with = [&](const std::string& field) {
    return "{\"" + field + "\":" + values + "," +
           plain.substr(plain.find('{') + 1);
  };
  const auto read = DecodeWorkerHeartbeat("i-1", with("unknown"));
  REQUIRE(read);
  CHECK(read->rack == "r1-3");
  CHECK(read->capacity == resources{16'000, 32'768, 1});
  CHECK_FALSE(DecodeWorkerHeartbeat("i-1", with("labels")));
}

TEST_CASE("malformed heartbeats are rejected") {
  const auto heartbeat = DecodeWorkerHeartbeat("i-1", kHeartbeat);
  REQUIRE(heartbeat);
  CHECK(heartbeat->rack == "r1-3");
  CHECK(heartbeat->capacity == resources{16'000, 32'768, 1});
  CHECK_FALSE(heartbeat->draining);
  CHECK_FALSE(DecodeWorkerHeartbeat("i-1", "\xff\xfe"));
  CHECK_FALSE(DecodeWorkerHeartbeat("i-1", "null"));
  CHECK_FALSE(DecodeWorkerHeartbeat("", kHeartbeat));
  CHECK_FALSE(
      DecodeWorkerHeartbeat("i-1", Changed(kHeartbeat, "state", "sleeping")));
  CHECK_FALSE(
      DecodeWorkerHeartbeat("i-1", Changed(kHeartbeat, "born", "yesterday")));
  CHECK_FALSE(DecodeWorkerHeartbeat("i-1", Changed(kHeartbeat, "capacity", 5)));
  CHECK_FALSE(DecodeWorkerHeartbeat("i-1", Changed(kHeartbeat, "labels", "a")));
  auto missing = json::parse(kHeartbeat);
  missing.erase("sequence");
  CHECK_FALSE(DecodeWorkerHeartbeat("i-1", missing.dump()));
}

TEST_CASE("the operators' configuration is decoded, without malformed routes") {
  const std::string text =
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("service":"s","attempts":4,"stretch":1.5,"priority":2,)"
      R"("target_latency_ms":250},{"name":"broken"}],)"
      R"("services":[],"limits":{"max_body_bytes":1000}})";
  const auto in = DecodeCatalogue(text);
  REQUIRE(in);
  CHECK(in->version == 7);
  CHECK(in->max_body_bytes == 1'000);
  REQUIRE(in->queues.size() == 1);
  CHECK(in->queues[0].objective_factor == Approx(1.5));
  CHECK_FALSE(DecodeCatalogue("{}"));
  CHECK_FALSE(DecodeCatalogue("\x01"));
  CHECK(EvacuatedDataCentre("operator/evacuate/derby") == "derby");
  CHECK_FALSE(EvacuatedDataCentre(kCatalogueKey));
}

// Guards against a check that accepts queues which gateways skip or never use.
TEST_CASE("gateways use every queue of a configuration that passes the check") {
  const bool held = rc::check("an accepted configuration is decoded whole", [] {
    const auto text = [](std::initializer_list<json> good) {
      auto values = std::vector<json>(good);
      // Mostly valid, so that whole configurations pass often enough.
      values.insert(values.end(), good);
      values.insert(values.end(), good);
      values.emplace_back(5);
      return *rc::gen::elementOf(values);
    };
    json in{{"version", 1}, {"routes", json::array()}};
    in["services"] = {{{"name", "s"}}};
    in["limits"]["max_body_bytes"] = text({1, 1'000});
    const auto count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < count; ++i) {
      in["routes"].push_back(
          {{"name", "q" + std::to_string(i)},
           {"host", text({"h", "i", "h"})},
           {"prefix", text({"/", "/a/", "/a/b/", "/b"})},
           {"service", "s"},
           {"attempts", *rc::gen::elementOf(std::vector<json>{
                            1, 2, 9, 4'294'967'295, 0, 4'294'967'296})},
           {"stretch",
            *rc::gen::elementOf(std::vector<json>{1, 1.5, 8, 0.5, "2"})},
           {"target_latency_ms",
            *rc::gen::elementOf(std::vector<json>{1, 250, 2.5})}});
    }
    const bool accepted =
        config::CheckQueues({"f", in.dump()}, std::nullopt).errors.empty();
    RC_TAG(accepted);
    if (!accepted) {
      return;
    }
    const auto out = DecodeCatalogue(in.dump());
    RC_ASSERT(out.has_value());
    RC_ASSERT(out->queues.size() == in["routes"].size());
    RC_ASSERT(out->max_body_bytes == in["limits"]["max_body_bytes"]);
    for (size_t i = 0; i < out->queues.size(); ++i) {
      const auto& queue = out->queues[i];
      RC_ASSERT(queue.attempts == in["routes"][i]["attempts"]);
      RC_ASSERT(queue.objective_factor == in["routes"][i]["stretch"]);
      RC_ASSERT(queue.latency_target.count() ==
                in["routes"][i]["target_latency_ms"]);
      // An ID without a slash, which no longer prefix can claim.
      RC_ASSERT(workflow::FindQueue(*out, queue.host,
                                    queue.path_prefix + "0id") == &queue);
    }
  });
  CHECK(held);
}

TEST_CASE("requests address rows by table, part and key") {
  CHECK(ReadTarget("job/5c") ==
        "/rows-get?table=job&part=j5&from=5c&to=5c%01&limit=1");
  CHECK(PageTarget("operator/", "", 64) == "/rows-get?table=op&part=&limit=64");
  CHECK(PageTarget("job/5", "job/5c", 9'000) ==
        "/rows-get?table=job&part=j5&limit=500&from=5c%01");
  // All rows of a job are in one part, and apart from the coordinator's.
  CHECK(PageTarget("ended/5", "", 1) ==
        "/rows-get?table=ended&part=j5&limit=1");
  CHECK(PageTarget("progress/", "", 1) ==
        "/rows-get?table=progress&part=c&limit=1");
  CHECK(PageTarget("learned/", "", 1) ==
        "/rows-get?table=learned&part=m&limit=1");
  CHECK(WatchTarget("operator/", 7, millis(1'000)) ==
        "/rows-feed?table=op&after=7&wait_ms=1000");
  const store::transaction change{{{"leader/current", 4}},
                                  {{"job/a", "v"}, {"job/b", std::nullopt}}};
  const auto body = json::parse(WriteTransaction(change));
  CHECK(body["expected"][0]["ver"] == 4);
  CHECK(body["upserts"][0]["value"] == "dg==");
  CHECK(body["remove"][0]["key"] == "b");
  const store::transaction many{
      {{"leader/current", 4}, {"job/a", 0}},
      {{"job/a", "v"}, {"job/q\"\\", ""}, {"x/y", std::nullopt}}};
  CHECK(json::parse(WriteTransaction(many)) == json::parse(R"({
    "expected": [
      {"table": "leader", "part": "c", "key": "current", "ver": 4},
      {"table": "job", "part": "ja", "key": "a", "ver": 0}],
    "upserts": [
      {"table": "job", "part": "ja", "key": "a", "value": "dg=="},
      {"table": "job", "part": "jq", "key": "q\"\\", "value": ""}],
    "remove": [{"table": "x", "part": "c", "key": "y"}]})"));
  CHECK(json::parse(WriteTransaction({})) ==
        json::parse(R"({"expected":[],"upserts":[],"remove":[]})"));
}

TEST_CASE("replies of the store are decoded") {
  const std::string page =
      R"({"rows":[{"table":"job","part":"c","key":"a","value":"dg==","ver":3}],)"
      R"("more_pages":true,"ver":9,"now_ms":1})";
  const auto rows = ParsePage(page, "job/");
  REQUIRE(rows);
  CHECK(rows->more);
  CHECK(rows->version == 9);
  REQUIRE(rows->rows.size() == 1);
  CHECK(rows->rows[0] == store::row{"job/a", "v", 3});
  CHECK_FALSE(ParsePage(R"({"rows":[{"key":5,"ver":1}],"ver":9})", "job/"));
  const auto changes = ParseChanges(
      R"({"rows":[{"key":"a","ver":5,"removed":true}],"ver":5})", "job/");
  REQUIRE(changes);
  CHECK(changes->rows.at(0).removed);
  CHECK_FALSE(ParsePage("{}", "job/"));
  CHECK_FALSE(ParseChanges("?", "job/"));
  CHECK(*ParseCommitted(R"({"ver":12})") == 12);
  CHECK_FALSE(ParseCommitted("{}"));
  const store::transaction change{{{"leader/current", 4}}, {}};
  CHECK(
      *ParseConflict(R"({"rows":[{"table":"leader","key":"current","ver":6}]})",
                     change) == "leader/current");
}

// A row that was left out looked deleted: an evacuation was not seen, and a job
// with progress began from the start.
TEST_CASE("a row whose value cannot be read is passed on without it") {
  const auto rows = ParsePage(
      R"({"rows":[{"key":"evacuate/dc","value":"*","ver":4},)"
      R"({"key":"b","ver":5},{"key":"c","value":7,"ver":6}],"ver":9})",
      "operator/");
  REQUIRE(rows);
  REQUIRE(rows->rows.size() == 3);
  CHECK(rows->rows[0] == store::row{"operator/evacuate/dc", "", 4});
  CHECK(rows->rows[1] == store::row{"operator/b", "", 5});
  CHECK(rows->rows[2] == store::row{"operator/c", "", 6});
  // Each reader of a row reports an empty value.
  CHECK_FALSE(DecodeCatalogue(""));
  CHECK_FALSE(workflow::DecodeSubmission(""));
  CHECK_FALSE(workflow::DecodeProgressRow(""));
  CHECK_FALSE(workflow::DecodeEndedJob(""));
  CHECK_FALSE(workflow::DecodeLeaderRow(""));
}

TEST_CASE("decoders survive corrupted input") {
  const std::string originals[] = {kJob, kHeartbeat};
  const bool passed = rc::check("corrupted or truncated bytes", [&] {
    auto bytes = originals[*rc::gen::inRange<size_t>(0, 2)];
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    (void)DecodeJob(bytes);
    (void)DecodeWorkerHeartbeat("i", bytes);
    (void)DecodeCatalogue(bytes);
    (void)ParsePage(bytes, "p/");
  });
  CHECK(passed);
}

// Regression: an odd entry among those of the workers ended processes. A body
// of a few megabytes of brackets took 300 MB to parse, on VMs that have 128.
TEST_CASE("deeply nested input is rejected before it is parsed") {
  constexpr size_t kDepth = 100'000;
  const std::string deep =
      std::string(kDepth, '[') + "1" + std::string(kDepth, ']');
  const std::string field = R"({"x":)" + deep + R"(,"version":1,"routes":[]})";
  CHECK(ParseJson(deep).is_discarded());
  CHECK_FALSE(DecodeCatalogue(field));
  for (const char* text : {kHeartbeat, kJob}) {
    const std::string body = R"({"x":)" + deep + "," + (text + 1);
    CHECK_FALSE(DecodeWorkerHeartbeat("i-1", body));
    CHECK_FALSE(DecodeJob(body));
    CHECK_FALSE(DecodeLeaseReply(body));
  }
  CHECK(ParseJson(R"({"[[[":"]]]\"[[","a":[{"b":[1]}]})").is_object());
  CHECK_FALSE(ParseJson(R"({"a":")" + std::string(kDepth, '[') + R"("})")
                  .is_discarded());
}

TEST_CASE("numbers out of range are rejected or cut off") {
  const json run = {"5c0e7a21d94b36f8.0.1.17", 2, "", 41, 7};
  const auto read = [&run](size_t at, const std::string& number) {
    std::string body = json{
        {"clock_ms", 5},
        {"born", 9},
        {"running", json::array({run})},
        {"ended",
         json::array()}}.dump();
    const std::string old = run[at].dump();
    const auto row = body.find(run[0].get<std::string>());
    body.replace(body.find("," + old, row) + 1, old.size(), number);
    return DecodeLeaseReply(body);
  };
  REQUIRE(read(1, "3"));
  CHECK(read(1, "3")->runs.size() == 1);
  for (const char* number : {"4294967297", "18446744073709551615", "-1"}) {
    CAPTURE(number);
    CHECK_FALSE(read(1, number)->complete);
  }
  // Figures only, so that the run itself still counts.
  CHECK(read(3, "1e30")->runs.at(0).percent == 100);
  CHECK(read(3, "-5")->runs.at(0).percent == 0);
  CHECK(read(4, "1e300")->runs.at(0).load == INT32_MAX);
  CHECK(read(4, "-1e300")->runs.at(0).load == -1);
  CHECK_FALSE(read(3, "1e999"));
  for (const char* number : {"1e999", "18446744073709551616", "-3", "1.5"}) {
    CAPTURE(number);
    for (const char* name : {"sequence", "born", "remaining_ms"}) {
      std::string body = Changed(kHeartbeat, name, "number");
      body.replace(body.find(R"("number")"), 8, number);
      CAPTURE(name);
      CHECK_FALSE(DecodeWorkerHeartbeat("i-1", body));
    }
  }
}

// Regression, review/1: a worker returns 500 of its ends at a time.
TEST_CASE("lists that may lack a run or an end count as incomplete") {
  const auto decode = [](const json& running, const json& ended) {
    const json in = {{"clock_ms", 5},
                     {"born", 1'700'000'000'000},
                     {"running", running},
                     {"ended", ended}};
    return DecodeLeaseReply(in.dump());
  };
  const std::string task = "5c0e7a21d94b36f8.0.1.17";
  const json run = {task, 2, "", 41, 7};
  json ends = json::array();
  for (int i = 1; i < 500; ++i) {
    ends.push_back({i, task, i, "done", ""});
  }
  const json runs = json::array({run});
  const auto whole = decode(runs, ends);
  REQUIRE(whole);
  CHECK(whole->complete);
  CHECK(whole->runs.size() == 1);
  CHECK(whole->ends.size() == 499);
  ends.push_back({500, task, 500, "done", ""});
  CHECK_FALSE(decode(runs, ends)->complete);
  CHECK_FALSE(decode(json::array({run, 5}), json::array())->complete);
  const json unknown = {1, task, 1, "vanished", ""};
  CHECK_FALSE(decode(runs, json::array({unknown}))->complete);
  CHECK_FALSE(DecodeLeaseReply("{"));
}

}  // namespace chiveglade::platform
