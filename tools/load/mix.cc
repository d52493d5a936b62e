#include "tools/load/mix.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <set>

namespace chiveglade::load {

namespace {

using nlohmann::json;

// Largest body that is generated.
constexpr size_t kMaxBodyBytes = 64 << 20;

request_kind KindFrom(const json& in) {
  static const std::set<std::string> names = {"method",     "path", "class",
                                              "body_bytes", "key",  "weight"};
  for (const auto& [name, value] : in.items()) {
    if (names.count(name) == 0) {
      throw std::invalid_argument("unknown member " + name);
    }
  }
  request_kind out;
  out.method = in.value("method", out.method);
  out.path = in.value("path", out.path);
  out.klass = in.value("class", out.klass);
  out.body_bytes = in.value("body_bytes", out.body_bytes);
  out.key = in.value("key", out.key);
  out.weight = in.value("weight", out.weight);
  if (out.weight == 0 || out.body_bytes > kMaxBodyBytes || out.path.empty() ||
      out.path[0] != '/') {
    throw std::invalid_argument("weight, body_bytes or path is out of range");
  }
  return out;
}

}  // namespace

result<mix> ParseMix(const std::string& text) {
  try {
    mix out;
    const auto parsed = json::parse(text);
    if (!parsed.is_array() || parsed.empty()) {
      throw std::invalid_argument("must be an array with at least one request");
    }
    for (const auto& each : parsed) {
      out.push_back(KindFrom(each));
    }
    return out;
  } catch (const std::exception& error) {
    return reason{"bad_mix", error.what()};
  }
}

const request_kind& KindOf(const mix& in, uint64_t number) {
  uint64_t total = 0;
  for (const auto& each : in) {
    total += each.weight;
  }
  assert(total > 0);
  // A step that is coprime to most totals spreads the kinds over time.
  uint64_t left = number * 7'919 % total;
  for (const auto& each : in) {
    if (left < each.weight) {
      return each;
    }
    left -= each.weight;
  }
  return in.back();
}

}  // namespace chiveglade::load
