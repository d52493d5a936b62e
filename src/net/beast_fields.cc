#include "src/net/beast_fields.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace chiveglade::net {

namespace {

bool IsFraming(std::string_view name) {
  return name == "content-length" || name == "transfer-encoding" ||
         name == "connection" || name == "keep-alive";
}

bool IsTokenCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsValueCharacter(char c) {
  return static_cast<unsigned char>(c) >= 0x20 ? c != 0x7f : c == '\t';
}

}  // namespace

header_list FromFields(const boost::beast::http::fields& in) {
  header_list out;
  for (const auto& field : in) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    out.emplace_back(std::move(name), std::string(field.value()));
  }
  return out;
}

void AddFields(const header_list& in, boost::beast::http::fields& out) {
  for (const auto& [name, value] : in) {
    if (!IsFraming(name)) {
      out.insert(name, value);
    }
  }
}

bool AreFieldsValid(const header_list& in) {
  return std::all_of(in.begin(), in.end(), [](const auto& field) {
    return !field.first.empty() &&
           std::all_of(field.first.begin(), field.first.end(),
                       IsTokenCharacter) &&
           std::all_of(field.second.begin(), field.second.end(),
                       IsValueCharacter);
  });
}

}  // namespace chiveglade::net
