#include "chiveglade/routing/claim.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace chiveglade::routing {

namespace {

using nlohmann::json;

std::string Hex(const XXH128_hash_t& hash) {
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, hash);
  std::string out;
  for (const unsigned char each : bytes.digest) {
    constexpr char kDigits[] = "0123456789abcdef";
    out.push_back(kDigits[each >> 4]);
    out.push_back(kDigits[each & 15]);
  }
  return out;
}

json ToJson(const stored_response& in) {
  auto headers = json::array();
  for (const auto& [name, value] : in.headers) {
    // Header values need not be valid UTF-8, so they are stored as bytes.
    headers.push_back({name, json::binary({value.begin(), value.end()})});
  }
  return {{"status", in.status},
          {"headers", std::move(headers)},
          {"body", json::binary({in.body.begin(), in.body.end()})},
          {"whole", in.whole}};
}

std::string Bytes(const json& in) {
  const auto& bytes = in.get_binary();
  return {bytes.begin(), bytes.end()};
}

stored_response ResponseFromJson(const json& in) {
  stored_response out{in.at("status").get<int>(),
                      {},
                      Bytes(in.at("body")),
                      in.at("whole").get<bool>()};
  for (const auto& each : in.at("headers")) {
    out.headers.emplace_back(each.at(0).get<std::string>(), Bytes(each.at(1)));
  }
  return out;
}

}  // namespace

std::string EncodeClaim(const claim_value& value) {
  json out = {{"fingerprint", value.fingerprint},
              {"entry", value.entry},
              {"nonce", value.nonce},
              {"at", value.unix_ms}};
  if (value.response) {
    out["answer"] = ToJson(*value.response);
  }
  std::string bytes;
  json::to_cbor(out, bytes);
  return bytes;
}

std::optional<claim_value> DecodeClaim(const std::string& bytes) {
  try {
    const auto in = json::from_cbor(bytes);
    claim_value out{in.at("fingerprint").get<std::string>(),
                    in.at("entry").get<std::string>(),
                    in.at("nonce").get<uint64_t>(), in.at("at").get<int64_t>(),
                    std::nullopt};
    if (const auto at = in.find("answer"); at != in.end()) {
      out.response = ResponseFromJson(*at);
    }
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string ClaimKey(std::string_view workspace,
                     std::string_view idempotency_key) {
  return "claim/" + std::string(workspace) + "/" +
         Hex(XXH3_128bits(idempotency_key.data(), idempotency_key.size()));
}

std::string Fingerprint(std::string_view method,
                        std::string_view target,
                        std::string_view body) {
  // Neither a method nor a target can contain a space.
  return std::string(method) + " " +
         Hex(XXH3_128bits(target.data(), target.size())) + " " +
         Hex(XXH3_128bits(body.data(), body.size()));
}

}  // namespace chiveglade::routing
