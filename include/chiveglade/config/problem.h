// Problems found in settings and manifests.
#ifndef CHIVEGLADE_CONFIG_PROBLEM_H_
#define CHIVEGLADE_CONFIG_PROBLEM_H_

#include <optional>
#include <string>
#include <vector>

namespace chiveglade::config {

// One problem, with everything needed to mend it.
struct problem {
  std::string source;    // file name
  std::string pointer;   // JSON pointer (RFC 6901) of the value
  std::string value;     // the value as JSON, shortened to 80 bytes
  std::string accepted;  // what would be accepted there

  friend bool operator==(const problem&, const problem&) = default;
};

// "FILE: /pointer: value V; accepted: A".
std::string ToString(const problem& what);

// A value, or all the problems that prevent one. Never both.
template <typename T>
struct checked {
  std::optional<T> value;
  std::vector<problem> problems;
};

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_CONFIG_PROBLEM_H_
