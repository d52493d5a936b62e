#include "task_payload.h"

#include <nlohmann/json.hpp>

namespace chiveglade::standin {

namespace {

void Read(const nlohmann::json& in, const char* key, millis& out) {
  out = millis(in.value(key, out.count()));
}

template <typename T>
void Read(const nlohmann::json& in, const char* key, T& out) {
  out = in.value(key, out);
}

}  // namespace

result<task_payload> ParsePayload(const std::string& text) {
  task_payload out;
  if (text.empty()) {
    return out;
  }
  try {
    const auto in = nlohmann::json::parse(text);
    Read(in, "run_ms", out.run);
    Read(in, "fail", out.fail);
    Read(in, "fail_share", out.fail_share);
    Read(in, "never_ends", out.never_ends);
    Read(in, "ignores_stop", out.ignores_stop);
    Read(in, "checkpoint_ms", out.checkpoint);
    Read(in, "used_pct", out.used_pct);
    Read(in, "service", out.service);
    Read(in, "slots", out.slots);
    Read(in, "connections", out.connections);
    Read(in, "execution_ms", out.execution);
  } catch (const nlohmann::json::exception& error) {
    return reason{"bad_payload", error.what()};
  }
  return out;
}

}  // namespace chiveglade::standin
