// Structured log lines, written by glog to standard error.
#ifndef CHIVEGLADE_OBSERVE_LOG_H_
#define CHIVEGLADE_OBSERVE_LOG_H_

#include <string>
#include <utility>
#include <vector>

namespace chiveglade::observe {

using log_fields = std::vector<std::pair<std::string, std::string>>;

// Must be called once before the first line. Nothing is written to files, since
// the VMs have no disks. `process` is added to every line.
void InitLogging(const char* program, const std::string& process);

// "event=NAME process=P key=value ...". Values with spaces, quotes, '=' or
// control characters are quoted and escaped. One line for each change of state;
// what happens for each request is counted in metrics instead.
std::string FormatLine(const std::string& event, const log_fields& fields);
void LogInfo(const std::string& event, const log_fields& fields);
void LogWarning(const std::string& event, const log_fields& fields);
void LogError(const std::string& event, const log_fields& fields);

}  // namespace chiveglade::observe

#endif  // CHIVEGLADE_OBSERVE_LOG_H_
