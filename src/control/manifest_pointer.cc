#include "chiveglade/control/manifest_pointer.h"

#include <xxhash.h>
#include <nlohmann/json.hpp>

namespace chiveglade::control {

using nlohmann::json;

std::string EncodePointer(const manifest_pointer& in) {
  json list = json::array();
  for (const auto& item : in.newest_first) {
    list.push_back({{"version", item.version},
                    {"hash", item.hash},
                    {"by", item.by},
                    {"nonce", item.nonce}});
  }
  return json{{"publications", list}}.dump();
}

result<manifest_pointer> DecodePointer(const std::string& text) {
  manifest_pointer out;
  try {
    const json value = json::parse(text);
    for (const auto& item : value.at("publications")) {
      out.newest_first.push_back({item.at("version").get<uint64_t>(),
                                  item.at("hash").get<std::string>(),
                                  item.at("by").get<std::string>(),
                                  item.at("nonce").get<std::string>()});
    }
  } catch (const json::exception& error) {
    return reason{"bad_manifest_pointer", error.what()};
  }
  if (out.newest_first.empty()) {
    return reason{"bad_manifest_pointer",
                  "the pointer row has no publications"};
  }
  return out;
}

std::string ManifestObjectKey(const std::string& hash) {
  return "manifest/" + hash;
}

std::string HashManifest(const std::string& text) {
  constexpr char kDigits[] = "0123456789abcdef";
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
  std::string out;
  for (const unsigned char byte : canonical.digest) {
    out += kDigits[byte >> 4];
    out += kDigits[byte & 0xf];
  }
  return out;
}

}  // namespace chiveglade::control
