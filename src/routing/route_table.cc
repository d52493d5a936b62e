#include "chiveglade/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>
#include <utility>

namespace chiveglade::routing {

namespace {

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::optional<std::string> PercentDecode(std::string_view path) {
  std::string out;
  out.reserve(path.size());
  for (size_t i = 0; i < path.size(); ++i) {
    if (path[i] != '%') {
      out.push_back(path[i]);
      continue;
    }
    if (i + 2 >= path.size()) {
      return std::nullopt;
    }
    const int high = HexValue(path[i + 1]);
    const int low = HexValue(path[i + 2]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    out.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return out;
}

std::vector<std::string_view> Segments(std::string_view path) {
  std::vector<std::string_view> out;
  for (size_t from = 0; from <= path.size();) {
    const size_t to = std::min(path.find_first_of("/\\", from), path.size());
    out.push_back(path.substr(from, to - from));
    from = to + 1;
  }
  return out;
}

std::string_view WithoutQuery(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

bool MethodMatches(const route& at, std::string_view method) {
  return at.spec.method.empty() || at.spec.method == method;
}

}  // namespace

result<std::shared_ptr<const route_table>> route_table::Make(
    const config::manifest& in) {
  auto out = std::make_shared<route_table>();
  std::set<size_t, std::greater<>> lengths;
  for (const auto& spec : in.routes) {
    const auto* service = config::FindService(in, spec.service);
    if (service == nullptr) {
      return reason{"unknown_service", "no service named " + spec.service};
    }
    const auto* klass = config::FindRequestClass(in, spec.klass);
    if (klass == nullptr) {
      return reason{"unknown_class", "no request class named " + spec.klass};
    }
    out->by_prefix_[spec.prefix].push_back({spec, *klass, service->tenant});
    lengths.insert(spec.prefix.size());
  }
  for (auto& [prefix, routes] : out->by_prefix_) {
    std::stable_partition(routes.begin(), routes.end(), [](const route& each) {
      return !each.spec.method.empty();
    });
  }
  out->prefix_lengths_.assign(lengths.begin(), lengths.end());
  return std::shared_ptr<const route_table>(std::move(out));
}

const route* route_table::Find(std::string_view method,
                               std::string_view path) const {
  for (const size_t length : prefix_lengths_) {
    if (length > path.size()) {
      continue;
    }
    const auto at = by_prefix_.find(path.substr(0, length));
    if (at == by_prefix_.end()) {
      continue;
    }
    for (const auto& each : at->second) {
      if (MethodMatches(each, method)) {
        return &each;
      }
    }
  }
  return nullptr;
}

result<std::string_view> PathOf(std::string_view target) {
  const reason bad{"bad_target", "the request target is not a plain path"};
  if (target.empty() || target[0] != '/') {
    return bad;
  }
  const auto visible = [](char c) { return c > ' ' && c < 0x7f; };
  if (!std::all_of(target.begin(), target.end(), visible)) {
    return bad;
  }
  const std::string_view path = WithoutQuery(target);
  const auto decoded = PercentDecode(path);
  if (!decoded || decoded->find('\0') != std::string::npos) {
    return bad;
  }
  for (const auto segment : Segments(*decoded)) {
    if (segment == "." || segment == "..") {
      return bad;
    }
  }
  return path;
}

bool IsControlPath(std::string_view target) {
  const auto decoded = PercentDecode(WithoutQuery(target));
  if (!decoded) {
    return true;
  }
  for (const auto segment : Segments(*decoded)) {
    if (segment.empty()) {
      continue;
    }
    std::string lower(segment);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return lower == "tasks";
  }
  return false;
}

}  // namespace chiveglade::routing
