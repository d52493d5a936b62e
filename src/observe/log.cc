#include "chiveglade/observe/log.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace chiveglade::observe {

namespace {

std::string& ProcessName() {
  static std::string name;
  return name;
}

bool NeedsQuotes(const std::string& value) {
  if (value.empty()) {
    return true;
  }
  for (const unsigned char c : value) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f) {
      return true;
    }
  }
  return false;
}

std::string Quote(const std::string& value) {
  return NeedsQuotes(value)
             ? nlohmann::json(value).dump(
                   -1, ' ', true, nlohmann::json::error_handler_t::replace)
             : value;
}

}  // namespace

void InitLogging(const char* program, const std::string& process) {
  ProcessName() = process;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

std::string FormatLine(const std::string& event, const log_fields& fields) {
  std::string line = "event=" + Quote(event);
  if (!ProcessName().empty()) {
    line += " process=" + Quote(ProcessName());
  }
  for (const auto& [key, value] : fields) {
    line += " " + key + "=" + Quote(value);
  }
  return line;
}

void LogInfo(const std::string& event, const log_fields& fields) {
  LOG(INFO) << FormatLine(event, fields);
}

void LogWarning(const std::string& event, const log_fields& fields) {
  LOG(WARNING) << FormatLine(event, fields);
}

void LogError(const std::string& event, const log_fields& fields) {
  LOG(ERROR) << FormatLine(event, fields);
}

}  // namespace chiveglade::observe
