#include "files.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace chiveglade::app {

namespace {

result<std::string> ReadAll(std::istream& in,
                            const std::string& path,
                            size_t max_bytes) {
  std::string text;
  char buffer[64 * 1024];
  while (in.read(buffer, sizeof(buffer)) || in.gcount() > 0) {
    text.append(buffer, static_cast<size_t>(in.gcount()));
    if (text.size() > max_bytes) {
      return reason{"file_too_large", path + " is larger than " +
                                          std::to_string(max_bytes) + " bytes"};
    }
  }
  return text;
}

}  // namespace

result<std::string> ReadFile(const std::string& path, size_t max_bytes) {
  if (path == "-") {
    return ReadAll(std::cin, "standard input", max_bytes);
  }
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return reason{"cannot_read_file", "cannot read " + path};
  }
  return ReadAll(in, path, max_bytes);
}

}  // namespace chiveglade::app
