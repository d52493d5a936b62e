#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tools/load/load_report.h"
#include "tools/load/mix.h"

namespace chiveglade::load {

// Guards against a misspelt field in a mix that silently changes the load, and
// against weights that are ignored.
TEST_CASE("a mix is validated and its weights are followed") {
  const auto got = ParseMix(
      R"([{"path":"/a","weight":3},{"method":"POST","class":"c","key":true}])");
  REQUIRE(got);
  CHECK(got->at(1) == request_kind{"POST", "/", "c", 0, true, 1});
  int first = 0;
  for (int i = 0; i < 400; ++i) {
    first += KindOf(*got, i).path == "/a" ? 1 : 0;
  }
  CHECK(first == 300);
  for (const char* bad : {"", "{}", "[]", "[1]", R"([{"pth":"/a"}])",
                          R"([{"path":"a"}])", R"([{"weight":0}])"}) {
    CAPTURE(bad);
    CHECK_FALSE(ParseMix(bad));
  }
}

// Guards against reports that leave out requests or count them wrongly.
TEST_CASE("a report counts verdicts, statuses and latency") {
  load_report report("");
  for (int i = 1; i <= 1'000; ++i) {
    report.Add(
        {"", "", "c", "ran", 200, false, false, std::chrono::microseconds(i)});
  }
  report.Add({"", "", "c", "not_run", 503});
  report.Add({"", "", "c", "may_have_run", 0, true, true});
  const auto got =
      nlohmann::json::parse(report.ToJson(std::chrono::seconds(2)));
  CHECK(got["requests"] == 1'002);
  CHECK(got["verdicts"]["not_run"] == 1);
  CHECK(got["statuses"]["503"] == 1);
  CHECK(got["wrong_answers"] == 1);
  CHECK(got["broken_answers"] == 1);
  CHECK(got["latency_us"]["c"]["count"] == 1'000);
  CHECK(got["latency_us"]["c"]["max"] == 1'000);
  CHECK(std::abs(got["latency_us"]["c"]["p99"].get<double>() - 990) < 2);
}

}  // namespace chiveglade::load
