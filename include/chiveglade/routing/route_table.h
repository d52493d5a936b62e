// Finds the service and the request class of a request.
#ifndef CHIVEGLADE_ROUTING_ROUTE_TABLE_H_
#define CHIVEGLADE_ROUTING_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "chiveglade/config/manifest.h"
#include "chiveglade/core/result.h"

namespace chiveglade::routing {

// A route of the manifest with the request class and the workspace that it
// resolves to.
struct route {
  config::route_spec spec;
  config::request_class klass;
  std::string workspace;  // that owns the service
  friend bool operator==(const route&, const route&) = default;
};

// The routes of one manifest. Immutable and safe to share between threads.
class route_table {
 public:
  // Fails with "unknown_service" or "unknown_class" if a route names one that
  // the manifest does not define; a validated manifest has no such route.
  static result<std::shared_ptr<const route_table>> Make(
      const config::manifest& in);

  // Returns the route with the longest prefix of `path` whose method matches;
  // null if there is none. Of two routes with the same prefix, one that names
  // the method precedes one that accepts any method. Valid for the table's
  // lifetime.
  const route* Find(std::string_view method, std::string_view path) const;

 private:
  struct view_hash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  std::
      unordered_map<std::string, std::vector<route>, view_hash, std::equal_to<>>
          by_prefix_;
  std::vector<size_t>
      prefix_lengths_;  // distinct prefix lengths, longest first
};

// Returns the path of a request target in origin form ("/a/b?c"), without the
// query. Fails with "bad_target" for any other form, for control characters,
// for invalid percent escapes, and for dot segments, escaped or not, since a
// worker could resolve those to a path of another route.
result<std::string_view> PathOf(std::string_view target);

// Returns whether a worker could interpret the target as its control interface
// (/tasks). Such a request must never be forwarded, even if a route matches it.
bool IsControlPath(std::string_view target);

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_ROUTING_ROUTE_TABLE_H_
