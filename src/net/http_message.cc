#include "chiveglade/net/http_message.h"

#include <nlohmann/json.hpp>

namespace chiveglade::net {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

http_reply MakeRefusal(int status,
                       verdict effect,
                       const std::string& reason_code,
                       const std::string& detail) {
  const nlohmann::json body = {{"verdict", std::string(ToString(effect))},
                               {"reason", reason_code},
                               {"detail", detail}};
  http_reply out;
  out.status = status;
  out.headers = {{"content-type", "application/json"}};
  // Bytes that are not UTF-8 are replaced, since dump would throw.
  out.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return out;
}

}  // namespace chiveglade::net
