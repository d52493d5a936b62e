#include "chiveglade/routing/route_table.h"

#include <catch2/catch.hpp>

namespace chiveglade::routing {

namespace {

config::manifest Example() {
  config::manifest out;
  out.tenants = {{"ladder", {}}};
  config::service_spec service;
  service.name = "bookings";
  service.tenant = "ladder";
  out.services = {service};
  out.request_classes = {{"interactive"}, {"archive", 5}};
  out.routes = {{"/", "", "bookings", "interactive", true},
                {"/standings", "", "bookings", "interactive", true},
                {"/standings", "POST", "bookings", "interactive", false},
                {"/standings/old", "GET", "bookings", "archive", true}};
  return out;
}

}  // namespace

// Guards against the class or the idempotence of another route; the latter
// decides whether a request may be sent twice.
TEST_CASE("the longest prefix with a matching method wins") {
  const auto table = route_table::Make(Example());
  REQUIRE(table);
  const auto prefix = [&](const char* method, const char* path) {
    const auto* found = (*table)->Find(method, path);
    REQUIRE(found != nullptr);
    return std::pair(found->spec.prefix, found->spec.idempotent);
  };
  using expected = std::pair<std::string, bool>;
  CHECK(prefix("GET", "/x") == expected("/", true));
  CHECK(prefix("GET", "/standings/7") == expected("/standings", true));
  CHECK(prefix("POST", "/standings/7") == expected("/standings", false));
  CHECK(prefix("GET", "/standings/old/1") == expected("/standings/old", true));
  CHECK(prefix("POST", "/standings/old/1") == expected("/standings", false));
  CHECK((*table)->Find("GET", "/x")->workspace == "ladder");
  auto only_post = Example();
  only_post.routes = {{"/b", "POST", "bookings", "interactive"}};
  CHECK((*route_table::Make(only_post))->Find("GET", "/b") == nullptr);
}

// Guards against a crash of the entry on a manifest that was not validated.
TEST_CASE("a route to an unknown service or class is an error") {
  auto broken = Example();
  broken.routes[0].service = "none";
  CHECK(route_table::Make(broken).last_reason().code == "unknown_service");
  broken = Example();
  broken.routes[0].klass = "none";
  CHECK(route_table::Make(broken).last_reason().code == "unknown_class");
}

// Guards against request targets that a worker resolves to a path other than
// the routed one, through which callers could reach its control interface.
TEST_CASE("unsafe request targets are refused") {
  CHECK(*PathOf("/a/b?c=../d") == "/a/b");
  for (const char* bad :
       {"", "a", "*", "http://h/a", "/a/../b", "/a/%2e%2E/b", "/./a", "/%",
        "/%g0", "/a b", "/a\x01", "/a%00", "/a\\..\\b", "/a%2f..%2fb"}) {
    CAPTURE(bad);
    CHECK_FALSE(PathOf(bad));
  }
  for (const char* control :
       {"/tasks", "/tasks/start", "//tasks/stop", "/%74asks", "/Tasks?x",
        "/tasks%2fstart", "/\\tasks"}) {
    CAPTURE(control);
    CHECK(IsControlPath(control));
  }
  CHECK_FALSE(IsControlPath("/tasksheet"));
  CHECK_FALSE(IsControlPath("/a/tasks"));
}

}  // namespace chiveglade::routing
