// Waiting in a coroutine for work on another executor.
#ifndef CHIVEGLADE_APP_AWAIT_H_
#define CHIVEGLADE_APP_AWAIT_H_

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "chiveglade/net/executor.h"

namespace chiveglade::app {

using strand = net::asio::strand<net::asio::io_context::executor_type>;

// Runs `start` on `on` and suspends the coroutine until the callback that it
// was given is called; returns the value passed to it. `start` must call its
// callback exactly once, from any thread. T must be default-constructible.
template <typename T>
T AwaitCallback(const strand& on,
                std::function<void(std::function<void(T)>)> start,
                const net::yield& yield) {
  net::yield token = yield;  // async_initiate takes a mutable reference.
  return net::asio::async_initiate<net::yield, void(T)>(
      [on](auto handler, std::function<void(std::function<void(T)>)> begin) {
        auto resume = net::asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        net::asio::post(on, [resume, shared, begin = std::move(begin)] {
          begin([resume, shared](T value) {
            net::asio::post(resume,
                            [shared, value = std::move(value)]() mutable {
                              (*shared)(std::move(value));
                            });
          });
        });
      },
      token, std::move(start));
}

// Runs `work` on `on` and returns its value.
template <typename T>
T RunOn(const strand& on, std::function<T()> work, const net::yield& yield) {
  return AwaitCallback<T>(
      on,
      [work = std::move(work)](const std::function<void(T)>& then) {
        then(work());
      },
      yield);
}

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_AWAIT_H_
