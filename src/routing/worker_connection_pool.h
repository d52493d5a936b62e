// Pool of reusable HTTP/1.1 connections to the worker.
#ifndef CHIVEGLADE_SRC_ROUTING_WORKER_CONNECTION_POOL_H_
#define CHIVEGLADE_SRC_ROUTING_WORKER_CONNECTION_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <mutex>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/net/executor.h"
#include "chiveglade/routing/agent_proxy.h"

namespace chiveglade::routing {

// Thread-safe. Has no limit of its own: a connection is only opened when none
// is idle, so there are never more than the class_queue has granted at once.
class worker_connection_pool {
 public:
  using stream = boost::beast::tcp_stream;

  worker_connection_pool(const proxy_options& options, clock_fn clock);
  ~worker_connection_pool();
  worker_connection_pool(const worker_connection_pool&) = delete;
  worker_connection_pool& operator=(const worker_connection_pool&) = delete;

  // Returns an idle connection that is within the idle timeout and that the
  // worker is not known to have closed; null if there is none.
  std::unique_ptr<stream> TakeIdle(const net::yield& yield);

  // Opens a connection. Fails with "worker_unreachable".
  result<std::unique_ptr<stream>> Connect(const net::yield& yield) const;

  // Takes back a connection whose last response was read to its end.
  void Put(std::unique_ptr<stream> used);

 private:
  struct idle_socket {
    int handle = -1;  // file descriptor, owned by the pool
    boot_time idle_since;
  };

  const boost::asio::ip::tcp::endpoint worker_;
  const millis connect_timeout_;
  const millis idle_timeout_;
  const clock_fn clock_;
  std::mutex mutex_;
  std::vector<idle_socket> idle_;  // most recently used last
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_WORKER_CONNECTION_POOL_H_
