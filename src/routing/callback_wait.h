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
        auto kept = std::make_shared<decltype(handler)>(std::move(handler));
        const auto executor = net::asio::get_associated_executor(*kept);
        run([kept, executor,
             work = net::asio::make_work_guard(executor)](T value) {
          net::asio::post(executor, [kept, value = std::move(value)]() mutable {
            std::move (*kept)(std::move(value));
          });
        });
      },
      yield, std::move(start));
}

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_CALLBACK_WAIT_H_
