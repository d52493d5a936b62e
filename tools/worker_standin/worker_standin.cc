#include "worker_standin.h"

#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>

namespace chiveglade::standin {

namespace asio = net::asio;

namespace {

// Precision of leases and simulated progress.
constexpr millis kStep{10};

}  // namespace

result<std::unique_ptr<worker_standin>> worker_standin::Make(
    asio::io_context& loop,
    standin_options options) {
  const auto server = options.server;
  std::unique_ptr<worker_standin> out(
      new worker_standin(loop, std::move(options)));
  auto* self = out.get();
  auto made = request_server::Make(loop, server, self->tasks_, self->past_,
                                   [self] { return self->random_(); });
  if (!made) {
    return made.last_reason();
  }
  self->server_ = std::move(*made);
  self->server_->Start();
  asio::spawn(
      loop, [self](const net::yield& yield) { self->Run(yield); },
      asio::detached);
  return out;
}

worker_standin::worker_standin(asio::io_context& loop, standin_options options)
    : loop_(loop),
      random_(options.seed),
      tasks_(std::move(options.table), past_, [this] { return random_(); }),
      checkpoints_(loop, options.object_store),
      timer_(loop) {}

void worker_standin::Run(const net::yield& yield) {
  while (!stopped_) {
    tasks_.Advance(boot_clock::now());
    for (const auto& job : tasks_.TakeCheckpointJobs()) {
      asio::spawn(
          loop_,
          [this, job](const net::yield& inner) {
            const auto work = checkpoints_.Run(job, inner);
            tasks_.OnCheckpoint(job, work, boot_clock::now());
          },
          asio::detached);
    }
    timer_.expires_after(kStep);
    boost::system::error_code cancelled;
    timer_.async_wait(yield[cancelled]);
  }
}

void worker_standin::Stop() {
  stopped_ = true;
  timer_.cancel();
  server_->Stop();
}

}  // namespace chiveglade::standin
