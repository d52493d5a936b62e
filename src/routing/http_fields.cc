#include "http_fields.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>
#include <charconv>
#include <set>

namespace chiveglade::routing {

namespace {

namespace http = boost::beast::http;

std::string Lower(std::string_view in) {
  std::string out(in);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

bool IsPerConnection(std::string_view name) {
  constexpr std::string_view kNames[] = {
      "connection", "keep-alive",        "proxy-connection", "te",
      "trailer",    "transfer-encoding", "upgrade",          "expect",
      "host",       "content-length"};
  return std::find(std::begin(kNames), std::end(kNames), name) !=
         std::end(kNames);
}

bool IsInternal(std::string_view name) {
  return name.substr(0, 11) == "chiveglade-";
}

}  // namespace

net::header_list EndToEndFields(const http::fields& in) {
  std::set<std::string> nominated;
  const auto [first, last] = in.equal_range(http::field::connection);
  for (auto at = first; at != last; ++at) {
    for (const auto& token : http::token_list(at->value())) {
      nominated.insert(Lower({token.data(), token.size()}));
    }
  }
  net::header_list out;
  for (const auto& each : in) {
    auto name = Lower({each.name_string().data(), each.name_string().size()});
    if (IsPerConnection(name) || IsInternal(name) ||
        nominated.count(name) != 0) {
      continue;
    }
    out.emplace_back(std::move(name), std::string(each.value()));
  }
  return out;
}

void AppendFields(const net::header_list& in, std::string& out) {
  for (const auto& [name, value] : in) {
    if (name.empty() || name[0] == ':' || IsPerConnection(name) ||
        value.find_first_of(std::string_view("\r\n\0", 3)) !=
            std::string::npos) {
      continue;
    }
    out.append(name).append(": ").append(value).append("\r\n");
  }
}

void RemoveInternal(net::header_list& in) {
  std::erase_if(in, [](const auto& field) { return IsInternal(field.first); });
}

std::optional<uint64_t> ParseDecimalHeader(std::string_view value) {
  uint64_t out = 0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), out);
  if (value.empty() || error != std::errc() ||
      end != value.data() + value.size()) {
    return std::nullopt;
  }
  return out;
}

bool HasResponseBody(std::string_view method, int status) {
  return method != "HEAD" && status != 204 && status != 304 && status >= 200;
}

}  // namespace chiveglade::routing
