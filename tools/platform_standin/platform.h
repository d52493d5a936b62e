// Serves the platform's table and object store from memory, over HTTP/1.1.
#ifndef CHIVEGLADE_TOOLS_PLATFORM_STANDIN_PLATFORM_H_
#define CHIVEGLADE_TOOLS_PLATFORM_STANDIN_PLATFORM_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/net/http_server.h"
#include "tests/support/memory_store.h"
#include "tools/platform_standin/fault_plan.h"
#include "tools/platform_standin/rate_limit.h"

namespace chiveglade::standin {

struct platform_options {
  uint16_t port = 0;
  double writes_per_second = 600;   // rows or objects, of each service
  double reads_per_second = 2'000;  // calls, of each service
  millis latency{0};                // added to each call
  fault_plan faults;
};

// The table's messages are those of src/store/table_codec.h, objects are raw
// bodies of PUT and GET /objects/<percent-encoded key>. Also:
//   POST /faults   sets the faults, answers with those in force
//   GET /stats     counts since the start
//   GET /history   accepted mutations of rows below dc/ and manifest/, oldest
//                  first: {"commits": [{"key", "value" (base64, null if
//                  deleted), "version", "boot_ms", "unix_ms"}]}
// The event loop must run on one thread.
class platform {
 public:
  static result<std::shared_ptr<platform>> Make(net::asio::io_context& loop,
                                                const platform_options& options,
                                                clock_fn clock);

  uint16_t port() const { return server_->port(); }
  void Stop() { server_->Stop(); }

 private:
  struct past_mutation {
    store::mutation change;
    uint64_t version;
    boot_time at;
    std::chrono::system_clock::time_point at_utc;
  };
  // Executes one call; runs once its delays and faults have let it.
  using call_fn = std::function<net::http_reply()>;

  platform(const platform_options& options, clock_fn clock);

  net::http_reply Handle(const net::http_request& request,
                         const net::yield& yield);
  net::http_reply Route(const net::http_request& request,
                        const net::yield& yield);
  net::http_reply RouteObject(const net::http_request& request,
                              const net::yield& yield);
  net::http_reply WithFaults(rate_limit& limit,
                             double amount,
                             const call_fn& call,
                             const net::yield& yield);
  net::http_reply Commit(const store::transaction& change);
  void Record(const store::transaction& change, uint64_t version);
  net::http_reply SetFaults(const std::string& body);
  std::string Stats() const;
  std::string History() const;
  bool Draw(uint32_t pct);

  const platform_options options_;
  const clock_fn clock_;
  std::shared_ptr<net::http_server> server_;
  testing::memory_store store_;
  std::map<std::string, std::string> objects_;
  fault_plan faults_;
  random_engine random_;
  rate_limit table_writes_;
  rate_limit table_reads_;
  rate_limit object_writes_;
  rate_limit object_reads_;
  std::map<std::string, uint64_t> counts_;
  std::deque<past_mutation> history_;
};

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_PLATFORM_STANDIN_PLATFORM_H_
