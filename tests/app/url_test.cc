#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "src/app/url.h"

namespace chiveglade::app {

TEST_CASE("a target is taken apart and unescaped") {
  const auto target = ParseTarget("/v1/jobs/service%3Aa/cancel?by=ann%20b&x=");
  REQUIRE(target);
  CHECK(target->segments ==
        std::vector<std::string>{"v1", "jobs", "service:a", "cancel"});
  CHECK(target->Query("by") == "ann b");
  CHECK(target->Query("missing").empty());
}

// Guards against a parameter that is read in two ways by two parts, and against
// reading past the end of a truncated escape.
TEST_CASE("malformed escapes and repeated parameters are refused") {
  for (const char* text : {"/%", "/%4", "/%zz", "/a?x=%1", "/a?x=1&x=2"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseTarget(text));
  }
}

// Guards against a name that an operator typed and that reaches another path
// than the one meant, for instance one with a slash or a question mark.
TEST_CASE("any escaped name comes back as one segment") {
  CHECK(rc::check([](const std::string& name) {
    RC_PRE(!name.empty());
    const auto target =
        ParseTarget("/v1/jobs/" + EscapeUrl(name) + "?by=" + EscapeUrl(name));
    RC_ASSERT(target.has_value());
    RC_ASSERT(target->segments.size() == 3u);
    RC_ASSERT(target->segments[2] == name);
    RC_ASSERT(target->Query("by") == name);
  }));
}

}  // namespace chiveglade::app
