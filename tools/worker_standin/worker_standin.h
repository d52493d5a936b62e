// A program, or part of a test, that stands in for a worker.
#ifndef CHIVEGLADE_TOOLS_WORKER_STANDIN_WORKER_STANDIN_H_
#define CHIVEGLADE_TOOLS_WORKER_STANDIN_WORKER_STANDIN_H_

#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "checkpoint_store.h"
#include "chiveglade/config/settings.h"
#include "chiveglade/core/random.h"
#include "history.h"
#include "request_server.h"
#include "task_table.h"

namespace chiveglade::standin {

struct standin_options {
  server_options server;
  table_options table;
  std::optional<config::endpoint> object_store;  // none: in memory
  uint64_t seed = 1;
};

// Runs on one thread of `loop`, which must outlive it.
class worker_standin {
 public:
  // Listens and starts; a reason if the address cannot be used.
  static result<std::unique_ptr<worker_standin>> Make(
      net::asio::io_context& loop,
      standin_options options);

  // Ends the simulation and accepts no more connections.
  void Stop();

  uint16_t port() const { return server_->port(); }
  const history& past() const { return past_; }
  task_table& tasks() { return tasks_; }

 private:
  worker_standin(net::asio::io_context& loop, standin_options options);

  void Run(const net::yield& yield);

  net::asio::io_context& loop_;
  random_engine random_;
  history past_;
  task_table tasks_;
  checkpoint_store checkpoints_;
  std::shared_ptr<request_server> server_;
  net::asio::steady_timer timer_;
  bool stopped_ = false;
};

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_WORKER_STANDIN_WORKER_STANDIN_H_
