#include "metrics_page.h"

#include <utility>

namespace chiveglade::app {

namespace {

// The pages take no body.
constexpr uint64_t kMaxBodyBytes = 1'024;

}  // namespace

result<std::shared_ptr<net::http_server>> ServeMetrics(
    net::asio::io_context& loop,
    const config::endpoint& at,
    const observe::metrics& metrics,
    std::function<std::string()> status,
    const admission_options& limits) {
  return net::http_server::Make(
      loop, at.ip, at.port, limits.Http(port_use::kOperators, kMaxBodyBytes),
      [&metrics, status = std::move(status)](const net::http_request& request,
                                             const net::yield&) {
        const auto path = net::PathOf(request.target);
        if (path == "/metrics") {
          return net::http_reply{
              200,
              {{"content-type", "text/plain; version=0.0.4"}},
              metrics.Text()};
        }
        if (path == "/status") {
          return net::http_reply{
              200, {{"content-type", "application/json"}}, status()};
        }
        return net::MakeRefusal(404, verdict::kNotRun, "not_found",
                                "there are /metrics and /status");
      },
      {limits.admit(), nullptr});
}

}  // namespace chiveglade::app
