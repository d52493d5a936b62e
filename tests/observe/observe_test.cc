#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "chiveglade/observe/log.h"
#include "chiveglade/observe/metrics.h"

namespace chiveglade::observe {

// Guards against a value that a caller chose and that breaks a line in two or
// forges a field.
TEST_CASE("log values cannot forge lines or fields") {
  CHECK(FormatLine("started", {{"vm", "a-1"}}) == "event=started vm=a-1");
  CHECK(FormatLine("x", {{"why", "a b=c\n\"d\""}}) ==
        "event=x why=\"a b=c\\n\\\"d\\\"\"");
  CHECK(FormatLine("x", {{"why", "\xff"}}).find('\xff') == std::string::npos);
}

TEST_CASE("metrics appear in the Prometheus text with their labels") {
  metrics out;
  out.Increment("chiveglade_requests_total",
                {{"tenant", "ladder"}, {"class", "b"}, {"verdict", "ran"}}, 2);
  out.Observe("chiveglade_request_seconds",
              {{"tenant", "ladder"}, {"class", "b"}}, 0.002);
  out.Set("chiveglade_scheduler", {}, 1);
  const auto text = out.Text();
  CHECK(text.find("chiveglade_requests_total{class=\"b\",tenant=\"ladder\","
                  "verdict=\"ran\"} 2") != std::string::npos);
  CHECK(text.find("le=\"0.0025\"} 1") != std::string::npos);
  CHECK(text.find("chiveglade_scheduler 1") != std::string::npos);
}

// Guards against a metrics page that operators read and the code left behind.
TEST_CASE("docs/metrics.md matches the catalogue") {
  std::ifstream in(std::string(SOURCE_DIR) + "/docs/metrics.md");
  std::stringstream text;
  text << in.rdbuf();
  CHECK(text.str().find(CatalogueMarkdown()) != std::string::npos);
}

}  // namespace chiveglade::observe
