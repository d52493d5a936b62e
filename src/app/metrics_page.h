// The pages of a process for operators: metrics and its readiness.
#ifndef CHIVEGLADE_APP_METRICS_PAGE_H_
#define CHIVEGLADE_APP_METRICS_PAGE_H_

#include <functional>
#include <memory>
#include <string>

#include "admission_options.h"
#include "chiveglade/config/settings.h"
#include "chiveglade/net/http_server.h"
#include "chiveglade/observe/metrics.h"

namespace chiveglade::app {

// Serves /metrics and /status, which is JSON made by `status`.
result<std::shared_ptr<net::http_server>> ServeMetrics(
    net::asio::io_context& loop,
    const config::endpoint& at,
    const observe::metrics& metrics,
    std::function<std::string()> status,
    const admission_options& limits);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_METRICS_PAGE_H_
