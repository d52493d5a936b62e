// Suspends a coroutine until a callback is called.
#ifndef CHIVEGLADE_SRC_NET_AWAIT_H_
#define CHIVEGLADE_SRC_NET_AWAIT_H_

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "chiveglade/net/executor.h"

namespace chiveglade::net {

// Calls `start` with a callback and suspends the coroutine until the callback
// is called, once, from any thread; returns its argument. The coroutine goes on
// in its own executor. If the callback is destroyed instead, so is the
// coroutine.
template <typename T, typename Start>
T Await(yield yield, Start start) {
  return asio::async_initiate<net::yield, void(T)>(
      [&start](auto handler) {
        auto executor = asio::get_associated_executor(handler);
        auto work = asio::make_work_guard(executor);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(std::function<void(T)>([shared, work, executor](T value) mutable {
          asio::post(executor, [shared = std::move(shared),
                                value = std::move(value)]() mutable {
            (*shared)(std::move(value));
          });
          work.reset();
        }));
      },
      yield);
}

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_AWAIT_H_
