#include "lifecycle.h"

#include <csignal>
#include <thread>
#include <utility>

#include "chiveglade/observe/log.h"

namespace chiveglade::app {

namespace {

struct repeated_work : std::enable_shared_from_this<repeated_work> {
  repeated_work(const strand& on, millis every, std::function<void()> what)
      : timer(on), interval(every), work(std::move(what)) {}

  void Schedule() {
    timer.expires_after(interval);
    timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->work();
            self->Schedule();
          }
        });
  }

  net::asio::steady_timer timer;
  millis interval;
  std::function<void()> work;
};

}  // namespace

void RunEvery(const strand& on, millis interval, std::function<void()> work) {
  auto repeated =
      std::make_shared<repeated_work>(on, interval, std::move(work));
  net::asio::post(on, [repeated] {
    repeated->work();
    repeated->Schedule();
  });
}

lifecycle::lifecycle(net::asio::io_context& loop, millis grace)
    : loop_(loop),
      strand_(net::asio::make_strand(loop)),
      signals_(strand_, SIGTERM, SIGINT, SIGHUP),
      deadline_(strand_),
      delay_(strand_),
      grace_(grace) {}

void lifecycle::AddStopStep(std::string name, stop_step step) {
  steps_.push_back({std::move(name), std::move(step)});
}

void lifecycle::AddStopDelay(std::string name, millis time) {
  AddStopStep(std::move(name), [this, time](std::function<void()> done) {
    delay_.expires_at(stop_began_ + time);
    delay_.async_wait(
        [done = std::move(done)](const boost::system::error_code&) { done(); });
  });
}

void lifecycle::AwaitSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal != SIGHUP) {
          Begin();
          return;
        }
        if (reload_) {
          reload_();
        }
        AwaitSignal();
      });
}

bool lifecycle::Run(uint32_t threads) {
  AwaitSignal();
  std::vector<std::thread> pool;
  for (uint32_t i = 1; i < threads; ++i) {
    pool.emplace_back([this] { loop_.run(); });
  }
  loop_.run();
  for (auto& thread : pool) {
    thread.join();
  }
  return graceful_;
}

void lifecycle::Begin() {
  stop_began_ = std::chrono::steady_clock::now();
  observe::LogInfo("stopping", {{"grace_ms", std::to_string(grace_.count())}});
  deadline_.expires_after(grace_);
  deadline_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      observe::LogWarning("stop_forced", {{"reason", "grace_passed"}});
      loop_.stop();
    }
  });
  RunStep(0);
}

void lifecycle::RunStep(size_t index) {
  if (index == steps_.size()) {
    graceful_ = true;
    deadline_.cancel();
    observe::LogInfo("stopped", {});
    loop_.stop();
    return;
  }
  steps_[index].run([this, index] {
    net::asio::post(strand_, [this, index] {
      observe::LogInfo("stop_step_done", {{"step", steps_[index].name}});
      RunStep(index + 1);
    });
  });
}

}  // namespace chiveglade::app
