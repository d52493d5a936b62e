// Files of the source tree, for tests.
#ifndef CHIVEGLADE_TESTS_CONFIG_READ_FILE_H_
#define CHIVEGLADE_TESTS_CONFIG_READ_FILE_H_

#include <fstream>
#include <sstream>
#include <string>

namespace chiveglade::config {

// The whole file at a path relative to the root of the source tree.
inline std::string ReadFile(const std::string& path) {
  std::ifstream in(std::string(SOURCE_DIR) + "/" + path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace chiveglade::config

#endif  // CHIVEGLADE_TESTS_CONFIG_READ_FILE_H_
