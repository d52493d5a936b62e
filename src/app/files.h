// Reading of small files named on the command line.
#ifndef CHIVEGLADE_APP_FILES_H_
#define CHIVEGLADE_APP_FILES_H_

#include <string>

#include "chiveglade/core/result.h"

namespace chiveglade::app {

// The whole file, or standard input for "-". Refuses more than `max_bytes`.
result<std::string> ReadFile(const std::string& path, size_t max_bytes);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_FILES_H_
