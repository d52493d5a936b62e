// Calls one service at the first of its endpoints that takes the call.
#ifndef CHIVEGLADE_SRC_STORE_HTTP_CALLER_H_
#define CHIVEGLADE_SRC_STORE_HTTP_CALLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "chiveglade/net/http_client.h"
#include "chiveglade/store/call_patience.h"
#include "chiveglade/store/http_store_options.h"

namespace chiveglade::store {

// Thread-safe.
class http_caller : public std::enable_shared_from_this<http_caller> {
 public:
  using callback = std::function<void(net::http_outcome)>;

  static result<std::shared_ptr<http_caller>> Make(
      net::asio::io_context& loop,
      net::asio::any_io_executor callbacks,
      const http_store_options& options);

  // Sends the request and posts the outcome to the executor of the callbacks.
  // An endpoint that did not get a byte or answered 503 passes the call on to
  // the next one. The service may hold its answer back for `wait`, which adds
  // to the timeout.
  void Call(net::http_request request, callback then, millis wait = millis(0));

  // Posts an outcome that never left this process.
  void Refuse(const reason& why, callback then);

 private:
  using steady = std::chrono::steady_clock;
  struct endpoint {
    std::shared_ptr<net::http_client> client;
    steady::time_point skipped_until;
  };

  http_caller(net::asio::io_context& loop,
              net::asio::any_io_executor callbacks,
              const http_store_options& options);

  // Sends to one endpoint within the present timeout, and learns from it.
  net::http_outcome Send(net::http_client& client,
                         const net::http_request& request,
                         millis wait,
                         const net::yield& yield);
  net::http_outcome Try(const net::http_request& request,
                        millis wait,
                        const net::yield& yield);
  // Indexes in the order in which to try them.
  std::vector<size_t> Order();
  void Skip(size_t index);
  void Finish();
  void Post(net::http_outcome outcome, callback then);

  net::asio::io_context& loop_;
  const net::asio::any_io_executor callbacks_;
  const http_store_options options_;

  std::mutex mutex_;  // guards what follows
  uint32_t in_flight_ = 0;
  std::vector<endpoint> endpoints_;
  call_patience patience_;
};

// The reason with which reads fail: "store_refused" if the call had no effect,
// else "store_answer_lost".
reason FailureOf(const net::http_outcome& outcome);

// True if the call is known to have had no effect: nothing was sent, or the
// service refused it.
bool IsWithoutEffect(const net::http_outcome& outcome);

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_SRC_STORE_HTTP_CALLER_H_
