#include "tools/platform_standin/fault_plan.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace chiveglade::standin {

namespace {

using nlohmann::json;

outage OutageOf(const json& in) {
  if (in.is_boolean()) {
    return in.get<bool>() ? outage::kRefuse : outage::kNone;
  }
  const auto& name = in.get_ref<const std::string&>();
  if (name == "none") {
    return outage::kNone;
  }
  if (name == "refuse") {
    return outage::kRefuse;
  }
  if (name == "hang") {
    return outage::kHang;
  }
  throw std::invalid_argument("outage must be none, refuse or hang");
}

uint32_t PercentOf(const json& in) {
  const auto out = in.get<uint32_t>();
  if (!in.is_number_unsigned() || out > 100) {
    throw std::invalid_argument("a percentage must be between 0 and 100");
  }
  return out;
}

std::string NameOf(outage in) {
  switch (in) {
    case outage::kNone:
      return "none";
    case outage::kRefuse:
      return "refuse";
    case outage::kHang:
      return "hang";
  }
  return "none";
}

void Set(const std::string& name, const json& value, fault_plan& out) {
  if (name == "outage") {
    out.mode = OutageOf(value);
  } else if (name == "slow_ms") {
    out.slow = millis(value.get<uint32_t>());
  } else if (name == "lost_answer_pct") {
    out.lost_answer_pct = PercentOf(value);
  } else if (name == "lost_request_pct") {
    out.lost_request_pct = PercentOf(value);
  } else if (name == "seed") {
    out.seed = value.get<uint64_t>();
  } else {
    throw std::invalid_argument("unknown field " + name);
  }
}

}  // namespace

result<fault_plan> ParseFaults(const std::string& text, fault_plan current) {
  try {
    const auto message = json::parse(text);
    for (const auto& [name, value] : message.items()) {
      Set(name, value, current);
    }
    return current;
  } catch (const std::exception& error) {
    return reason{"bad_faults", error.what()};
  }
}

std::string WriteFaults(const fault_plan& in) {
  return json{{"outage", NameOf(in.mode)},
              {"slow_ms", in.slow.count()},
              {"lost_answer_pct", in.lost_answer_pct},
              {"lost_request_pct", in.lost_request_pct},
              {"seed", in.seed}}
      .dump();
}

}  // namespace chiveglade::standin
