#include <algorithm>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "chiveglade/config/manifest.h"
#include "tests/config/read_file.h"

namespace chiveglade::config {
namespace {

nlohmann::json Example() {
  return nlohmann::json::parse(ReadFile("examples/ladder/manifest.json"));
}

// The problem reported at a pointer, or an empty one.
problem FindProblem(const checked<manifest>& in, const std::string& pointer) {
  const auto at =
      std::find_if(in.problems.begin(), in.problems.end(),
                   [&](const problem& p) { return p.pointer == pointer; });
  return at == in.problems.end() ? problem{} : *at;
}

}  // namespace

// Guards against shipping an example that the program itself refuses, and
// against a writer that loses a field.
TEST_CASE("the shipped manifests are accepted and survive a round trip") {
  for (const char* path :
       {"examples/ladder/manifest.json", "examples/tetoszin/manifest.json"}) {
    const auto parsed = ParseManifest(ReadFile(path), path);
    CAPTURE(path);
    REQUIRE(parsed.problems.empty());
    const auto again = ParseManifest(WriteManifest(*parsed.value), path);
    REQUIRE(again.value);
    CHECK(*again.value == *parsed.value);
  }
}

// Guards against reporting only the first mistake of a file.
TEST_CASE("every problem is reported with pointer, value and accepted range") {
  auto document = Example();
  document["surprise"] = 1;
  document["services"][0]["replicas"] = -3;
  document["services"][0]["tenant"] = "nobody";
  document["routes"][1]["class"] = "unknown";
  document["jobs"][0]["data_centres"] = {"atlantis"};
  document["jobs"][0]["per_task"]["memory_mib"] = 1'000'000;
  document["tenants"].push_back(document["tenants"][0]);
  const auto parsed = ParseManifest(document.dump(), "m.json");
  CHECK_FALSE(parsed.value);
  CHECK(FindProblem(parsed, "/surprise").value == "1");
  CHECK(FindProblem(parsed, "/services/0/replicas").accepted ==
        "a whole number from 0 to 10000");
  CHECK(FindProblem(parsed, "/services/0/tenant").value == "\"nobody\"");
  CHECK(FindProblem(parsed, "/routes/1/class").source == "m.json");
  CHECK(FindProblem(parsed, "/jobs/0/data_centres/0").value == "\"atlantis\"");
  CHECK(FindProblem(parsed, "/jobs/0/per_task").accepted.find("largest VM") !=
        std::string::npos);
  CHECK(FindProblem(parsed, "/tenants/1/name").accepted ==
        "a name that is used once");
}

// Guards against JSON that a lenient parser would read in an unintended way.
TEST_CASE("repeated keys, deep nesting and oversized documents are refused") {
  const auto repeated = ParseManifest(R"({"format":1,"format":1})", "m.json");
  REQUIRE(repeated.problems.size() == 1);
  CHECK(repeated.problems[0].accepted == "each key of an object once");
  std::string deep(100'000, '[');
  const auto nested = ParseManifest(deep, "m.json");
  CHECK_FALSE(nested.value);
  const auto closed = ParseManifest(deep + std::string(100'000, ']'), "m.json");
  REQUIRE(closed.problems.size() == 1);
  CHECK(closed.problems[0].value == "(nested deeper)");
  const std::string huge(size_t{50} * 1024 * 1024, ' ');
  const auto large = ParseManifest(huge, "m.json");
  REQUIRE(large.problems.size() == 1);
  CHECK(large.problems[0].accepted ==
        "at most " + std::to_string(kMaxManifestBytes) + " bytes");
}

// Guards against a parser that crashes or accepts damage: every truncation and
// a fixed set of byte changes must give a value or a problem.
TEST_CASE("damaged manifests give a value or problems") {
  const std::string text = WriteManifest(
      *ParseManifest(ReadFile("examples/ladder/manifest.json"), "m").value);
  for (size_t cut = 0; cut < text.size(); cut += 7) {
    const auto parsed = ParseManifest(text.substr(0, cut), "m");
    CHECK(parsed.value.has_value() == parsed.problems.empty());
    CHECK_FALSE(parsed.value);
  }
  for (size_t at = 0; at < text.size(); at += 5) {
    for (const char byte : {'\0', '"', '{', '9', '-', '\xff'}) {
      std::string changed = text;
      changed[at] = byte;
      const auto parsed = ParseManifest(changed, "m");
      REQUIRE(parsed.value.has_value() == parsed.problems.empty());
    }
  }
}

// Guards against a job that waits for ever for room that no VM has.
TEST_CASE("a submitted job is checked against the manifest in force") {
  const auto in =
      ParseManifest(ReadFile("examples/ladder/manifest.json"), "m").value;
  REQUIRE(in);
  const auto job = ParseJob(
      R"({"name":"s1","tenant":"ladder","class":"standings",
          "priority":"urgent","per_task":{"millicores":100,"memory_mib":10}})",
      "job.json", *in);
  REQUIRE(job.value);
  CHECK(job.value->run_lease == millis(120'000));
  CHECK(job.value->priority == state::band::kUrgent);
  const auto large = ParseJob(
      R"({"name":"s1","tenant":"ladder","class":"standings",
          "per_task":{"millicores":16001,"memory_mib":10}})",
      "job.json", *in);
  CHECK_FALSE(large.value);
  const auto wrong = ParseJob(
      R"({"name":"s 1","tenant":"x","class":"y","priority":"service",
          "per_task":{"millicores":1,"memory_mib":10}})",
      "job.json", *in);
  CHECK(wrong.problems.size() == 4);
}

}  // namespace chiveglade::config
