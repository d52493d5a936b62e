// A child coroutine that a parent coroutine starts and joins.
#ifndef CHIVEGLADE_SRC_ROUTING_SIDE_TASK_H_
#define CHIVEGLADE_SRC_ROUTING_SIDE_TASK_H_

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "chiveglade/net/executor.h"

namespace chiveglade::routing {

// Runs on the strand of the parent, which must call Join before anything that
// the task refers to is destroyed.
class side_task {
 public:
  template <typename Body>
  void Start(const net::yield& yield, Body body) {
    state_ = std::make_shared<state>(yield);
    net::asio::spawn(
        yield.get_executor(),
        [kept = state_,
         run = std::move(body)](const net::yield& inner) mutable {
          run(inner);
          kept->done = true;
          kept->finished.cancel();
        },
        net::asio::detached);
  }

  bool running() const { return state_ && !state_->done; }

  // Waits until the task has returned. Returns at once if none was started.
  void Join(const net::yield& yield) {
    while (running()) {
      boost::system::error_code ignored;
      state_->finished.async_wait(yield[ignored]);
    }
  }

 private:
  struct state {
    explicit state(const net::yield& yield)
        : finished(yield.get_executor(),
                   net::asio::steady_timer::time_point::max()) {}
    // Never expires; cancelled when the task ends.
    net::asio::steady_timer finished;
    bool done = false;
  };
  std::shared_ptr<state> state_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_SIDE_TASK_H_
