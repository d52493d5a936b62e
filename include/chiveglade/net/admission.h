// Admission control of the connections and bodies of one process.
#ifndef CHIVEGLADE_NET_ADMISSION_H_
#define CHIVEGLADE_NET_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chiveglade/core/clock.h"

namespace chiveglade::net {

// Connections of one listening port.
struct port_limits {
  uint32_t max_connections = 1'024;  // open at once
  uint32_t max_per_address = 0;      // of one client address; 0: not counted
  friend bool operator==(const port_limits&, const port_limits&) = default;
};

// Why a client was refused or cut off.
enum class limit_kind {
  kBodySize,         // 413: declared or received length of a body
  kHeaderSize,       // 431: request line and fields
  kFieldCount,       // 431: number of fields
  kChunkHeader,      // 431: header or extensions of the chunks of a body
  kReceiveTime,      // 408: the request did not arrive in time
  kSendTime,         // the answer was not read in time
  kConnections,      // 503: connections of a port
  kAddress,          // 429: connections of one address
  kMemory,           // 503: the memory budget
  kIdleConnections,  // an idle connection made room for a new one
};
constexpr int kLimitKinds = 10;

// The name in metrics and logs.
const char* ToString(limit_kind kind);

// One for each process, shared by its servers. Thread-safe.
class admission : public std::enable_shared_from_this<admission> {
 public:
  struct hooks {
    clock_fn clock;
    // Called for each limit that a client reached. From any thread.
    std::function<void(limit_kind)> count;
    // Called at most once in 10 s for each kind, with how often it happened
    // since and the address of the last client.
    std::function<void(limit_kind, uint64_t times, const std::string& address)>
        log;
  };

  // The account of one connection; closed when destroyed.
  class account;

  // `budget_bytes` bounds what all connections together hold: headers and
  // bodies being received or handled, and answers waiting to be sent.
  static std::shared_ptr<admission> Make(uint64_t budget_bytes, hooks to);

  virtual ~admission() = default;

  // Tells the ports of a process apart.
  virtual uint32_t AddPort() = 0;

  // Asks for a connection; null if it has to be refused, and then `why` says
  // for what. `close` is called, from any thread and at most once, to close it
  // for the sake of others.
  virtual std::unique_ptr<account> Open(uint32_t port,
                                        const port_limits& limits,
                                        const std::string& address,
                                        std::function<void()> close,
                                        limit_kind& why) = 0;

  virtual void Report(limit_kind kind, const std::string& address) = 0;

  virtual uint64_t budget_bytes() const = 0;
  virtual uint64_t held_bytes() const = 0;
  virtual size_t connections() const = 0;
};

class admission::account {
 public:
  virtual ~account() = default;

  // The connection made progress and holds `bytes`. With `is_protected` its
  // request is being handled, and it is not closed for the sake of others.
  // False: there is no room, the request is to be refused.
  virtual bool Set(uint64_t bytes, bool is_protected) = 0;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_NET_ADMISSION_H_
