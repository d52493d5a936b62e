// Lets a coroutine wait for a callback.
#ifndef CHIVEGLADE_SRC_ROUTING_CALLBACK_WAIT_H_
#define CHIVEGLADE_SRC_ROUTING_CALLBACK_WAIT_H_

#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

#include "chiveglade/net/executor.h"

namespace chiveglade::routing {

// Calls `start` with a callback that takes a T, suspends the coroutine until it
// is called, from any thread and possibly before `start` returns, and returns
// its argument. The callback must be called exactly once.
template <typename T, typename Start>
T WaitFor(net::yield yield, Start start) {
  return net::asio::async_initiate<net::yield, void(T)>(
      [](auto handler, Start run) {
        using handler_type = decltype(handler);
        struct waiting {
          explicit waiting(handler_type of)
              : work(net::asio::get_associated_executor(of)),
                handler(std::move(of)) {}
          net::asio::executor_work_guard<
              net::asio::associated_executor_t<handler_type>>
              work;
          handler_type handler;
        };
        auto kept = std::make_shared<waiting>(std::move(handler));
        run([kept](T value) {
          net::asio::post(kept->work.get_executor(),
                          [kept, value = std::move(value)]() mutable {
                            std::move(kept->handler)(std::move(value));
                          });
        });
      },
      yield, std::move(start));
}

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_CALLBACK_WAIT_H_
