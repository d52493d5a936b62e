// Reads and writes checkpoints at the platform's object store.
#ifndef CHIVEGLADE_TOOLS_WORKER_STANDIN_CHECKPOINT_STORE_H_
#define CHIVEGLADE_TOOLS_WORKER_STANDIN_CHECKPOINT_STORE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "chiveglade/config/settings.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/net/http_client.h"
#include "task_table.h"

namespace chiveglade::standin {

// PUT and GET of /objects/<key> at one address, or in memory without one. Used
// from one thread.
class checkpoint_store {
 public:
  checkpoint_store(net::asio::io_context& loop,
                   const std::optional<config::endpoint>& at);

  // Carries out one job; the work that the checkpoint holds, or none if the
  // store did not answer.
  std::optional<millis> Run(const checkpoint_job& job, const net::yield& yield);

 private:
  std::optional<millis> Write(const checkpoint_job& job,
                              const net::yield& yield);
  std::optional<millis> Read(const checkpoint_job& job,
                             const net::yield& yield);

  std::shared_ptr<net::http_client> client_;  // null: in memory
  std::map<std::string, std::string> objects_;
};

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_WORKER_STANDIN_CHECKPOINT_STORE_H_
