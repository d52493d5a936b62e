#include "src/store/table_codec.h"

#include <nlohmann/json.hpp>

#include "src/store/base64.h"

namespace chiveglade::store {

namespace {

using nlohmann::json;

// Thrown and caught in this file only.
struct bad_message : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string DecodeValue(const json& in) {
  auto out = DecodeBase64(in.get_ref<const std::string&>());
  if (!out) {
    throw bad_message("a value is not base64");
  }
  return *std::move(out);
}

uint64_t UnsignedOf(const json& in) {
  if (!in.is_number_unsigned()) {
    throw bad_message("not an unsigned integer");
  }
  return in.get<uint64_t>();
}

json ToJson(const row& in) {
  return {{"key", in.key},
          {"value", EncodeBase64(in.value)},
          {"version", in.version}};
}

row RowOf(const json& in) {
  return {in.at("key").get<std::string>(), DecodeValue(in.at("value")),
          UnsignedOf(in.at("version"))};
}

std::optional<std::string> Dump(const json& in) {
  try {
    return in.dump();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

// Rows come from a table that was written through this codec or holds any
// bytes; a key that is not UTF-8 is altered and not refused.
std::string DumpAlways(const json& in) {
  return in.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <typename T, typename Read>
result<T> Parse(const std::string& text, Read read) {
  try {
    return T(read(json::parse(text)));
  } catch (const std::exception& error) {
    return reason{"bad_message", error.what()};
  }
}

}  // namespace

std::optional<std::string> WriteReadRequest(const std::string& key) {
  return Dump({{"key", key}});
}

std::optional<std::string> WriteScanRequest(const scan_request& in) {
  return Dump({{"prefix", in.prefix}, {"limit", in.limit}});
}

std::optional<std::string> WriteTransaction(const transaction& in) {
  json out = {{"conditions", json::array()}, {"mutations", json::array()}};
  for (const auto& [key, version] : in.conditions) {
    out["conditions"].push_back({{"key", key}, {"version", version}});
  }
  for (const auto& [key, value] : in.mutations) {
    out["mutations"].push_back(
        {{"key", key}, {"value", value ? json(EncodeBase64(*value)) : json()}});
  }
  return Dump(out);
}

std::string WriteReadAnswer(const std::optional<row>& in) {
  return DumpAlways({{"row", in ? ToJson(*in) : json()}});
}

std::string WriteScanAnswer(const std::vector<row>& in) {
  json rows = json::array();
  for (const auto& one : in) {
    rows.push_back(ToJson(one));
  }
  return DumpAlways({{"rows", std::move(rows)}});
}

std::string WriteCommitted(uint64_t version) {
  return DumpAlways({{"version", version}});
}

std::string WriteConflict(const std::string& key) {
  return DumpAlways({{"conflict", key}});
}

result<std::string> ParseReadRequest(const std::string& text) {
  return Parse<std::string>(
      text, [](const json& in) { return in.at("key").get<std::string>(); });
}

result<scan_request> ParseScanRequest(const std::string& text) {
  return Parse<scan_request>(text, [](const json& in) {
    return scan_request{in.at("prefix").get<std::string>(),
                        UnsignedOf(in.at("limit"))};
  });
}

result<transaction> ParseTransaction(const std::string& text) {
  return Parse<transaction>(text, [](const json& in) {
    transaction out;
    for (const auto& one : in.at("conditions")) {
      out.conditions.push_back(
          {one.at("key").get<std::string>(), UnsignedOf(one.at("version"))});
    }
    for (const auto& one : in.at("mutations")) {
      const auto& value = one.at("value");
      out.mutations.push_back(
          {one.at("key").get<std::string>(),
           value.is_null() ? std::nullopt : std::optional(DecodeValue(value))});
    }
    return out;
  });
}

result<std::optional<row>> ParseReadAnswer(const std::string& text) {
  return Parse<std::optional<row>>(text, [](const json& in) {
    const auto& found = in.at("row");
    return found.is_null() ? std::nullopt : std::optional(RowOf(found));
  });
}

result<std::vector<row>> ParseScanAnswer(const std::string& text) {
  return Parse<std::vector<row>>(text, [](const json& in) {
    std::vector<row> out;
    for (const auto& one : in.at("rows")) {
      out.push_back(RowOf(one));
    }
    return out;
  });
}

result<uint64_t> ParseCommitted(const std::string& text) {
  return Parse<uint64_t>(
      text, [](const json& in) { return UnsignedOf(in.at("version")); });
}

result<std::string> ParseConflict(const std::string& text) {
  return Parse<std::string>(text, [](const json& in) {
    return in.at("conflict").get<std::string>();
  });
}

}  // namespace chiveglade::store
