// Reading and checking of a settings file named on the command line.
#ifndef CHIVEGLADE_APP_SETTINGS_FILE_H_
#define CHIVEGLADE_APP_SETTINGS_FILE_H_

#include <iostream>
#include <optional>
#include <string>

#include "chiveglade/config/problem.h"
#include "files.h"

namespace chiveglade::app {

constexpr size_t kMaxSettingsBytes = size_t{1024} * 1024;

// The settings, or nothing after every problem was written to standard error.
template <typename T>
std::optional<T> LoadSettings(const std::string& path,
                              config::checked<T> (*parse)(const std::string&,
                                                          const std::string&)) {
  const auto text = ReadFile(path, kMaxSettingsBytes);
  if (!text) {
    std::cerr << text.last_reason().detail << "\n";
    return std::nullopt;
  }
  auto parsed = parse(*text, path);
  for (const auto& problem : parsed.problems) {
    std::cerr << config::ToString(problem) << "\n";
  }
  return parsed.value;
}

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_SETTINGS_FILE_H_
