// Decides which connections are accepted and which are closed for memory.
#ifndef CHIVEGLADE_SRC_NET_ADMISSION_LEDGER_H_
#define CHIVEGLADE_SRC_NET_ADMISSION_LEDGER_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "chiveglade/core/clock.h"
#include "chiveglade/net/admission.h"

namespace chiveglade::net {

// The account of one process: what each connection holds and when it last made
// progress. Charging takes constant time; connections are compared only when
// the budget or a port is exhausted. No I/O, no clock of its own; not
// thread-safe.
class admission_ledger {
 public:
  using ticket = uint32_t;

  enum class decision { kAccepted, kTooManyConnections, kTooManyOfAddress };
  struct opening {
    decision outcome = decision::kAccepted;
    ticket account = 0;  // if accepted
    // Idle connections that make room for others; close them.
    std::vector<ticket> victims;
  };
  struct charge {
    // False: this connection is to be refused or closed, because it was chosen
    // itself or because nothing else can be closed to make room.
    bool admitted = true;
    std::vector<ticket> victims;  // close them; never this connection
  };

  explicit admission_ledger(uint64_t budget_bytes)
      : budget_bytes_(budget_bytes) {}

  // Opens an account for a connection from `address` to a port with `limits`;
  // `port` tells ports apart. A refused connection has no account.
  opening Open(uint32_t port,
               const port_limits& limits,
               const std::string& address,
               boot_time now);

  void Close(ticket account);

  // The connection made progress and holds `bytes` from now on. With
  // `is_protected` its request is being handled: it is not chosen, because its
  // outcome would be unknown to the client.
  charge Set(ticket account, uint64_t bytes, bool is_protected, boot_time now);

  uint64_t held_bytes() const { return held_bytes_; }
  size_t connections() const { return open_; }

 private:
  struct entry {
    bool open = false;
    bool closing = false;
    bool is_protected = false;
    uint32_t port = 0;
    uint64_t bytes = 0;
    boot_time progress{};
    std::string address;  // empty if addresses are not counted
  };

  std::vector<ticket> TakeLargestStalled(boot_time now);
  std::vector<ticket> TakeIdlest(uint32_t port, boot_time now);

  const uint64_t budget_bytes_;
  uint64_t held_bytes_ = 0;
  // Of connections that were chosen and have not been closed yet.
  uint64_t closing_bytes_ = 0;
  size_t open_ = 0;
  std::vector<entry> entries_;
  std::vector<ticket> free_;
  std::unordered_map<uint32_t, uint32_t> by_port_;
  std::unordered_map<std::string, uint32_t> by_address_;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_ADMISSION_LEDGER_H_
