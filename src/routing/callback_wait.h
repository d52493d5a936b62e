// Suspends a coroutine until a callback is called.
#ifndef CHIVEGLADE_SRC_ROUTING_CALLBACK_WAIT_H_
#define CHIVEGLADE_SRC_ROUTING_CALLBACK_WAIT_H_

#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

#include "chiveglade/net/executor.h"

namespace chiveglade::routing {

// Calls `start` with a callback that takes a T, suspends the coroutine until
// the callback is called and returns its argument. The callback must be called
// exactly once; it may be called from any thread and before `start` returns.
template <typename T, typename Start>
T WaitFor(net::yield yield, Start start) {
  return net::asio::async_initiate<net::yield, void(T)>(
      [](auto handler, Start run) {
        using handler_type = decltype(handler);
        struct suspended_call {
          explicit suspended_call(handler_type resumed)
              : work(net::asio::get_associated_executor(resumed)),
                handler(std::move(resumed)) {}
          net::asio::executor_work_guard<
              net::asio::associated_executor_t<handler_type>>
              work;
          handler_type handler;
        };
        auto call = std::make_shared<suspended_call>(std::move(handler));
        run([call](T value) {
          net::asio::post(call->work.get_executor(),
                          [call, value = std::move(value)]() mutable {
                            std::move(call->handler)(std::move(value));
                          });
        });
      },
      yield, std::move(start));
}

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_CALLBACK_WAIT_H_
