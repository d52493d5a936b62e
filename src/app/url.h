// Paths and queries of operators' requests.
#ifndef CHIVEGLADE_APP_URL_H_
#define CHIVEGLADE_APP_URL_H_

#include <map>
#include <string>
#include <vector>

#include "chiveglade/core/result.h"

namespace chiveglade::app {

// A request target taken apart, with percent-encoding removed.
struct parsed_target {
  std::vector<std::string> segments;  // of the path
  std::map<std::string, std::string> query;

  friend bool operator==(const parsed_target&, const parsed_target&) = default;

  // The value of a query parameter, or empty.
  std::string Query(const std::string& name) const;
};

// Refuses malformed percent-encoding and repeated parameters.
result<parsed_target> ParseTarget(const std::string& target);

// Escapes one path segment or query value.
std::string EscapeUrl(const std::string& text);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_URL_H_
