#include "src/app/admission_options.h"

#include <utility>

#include <catch2/catch.hpp>

namespace chiveglade::app {

// Guards against limits that refuse clients of the platform's smallest VMs.
TEST_CASE("the limits derived from a VM leave room for its clients") {
  constexpr uint64_t kMebi = 1024UL * 1024;
  // The default of `connections`, on the VM with the fewest descriptors.
  CHECK(ConnectionShare(port_use::kClients, 4'100) >= 2'000);
  CHECK(ConnectionShare(port_use::kPeers, 4'096) >= 800);
  // The longest heartbeat, twice while its buffer grows.
  CHECK(ReceiveBudget(128 * kMebi) >= 16 * kMebi);
}

// Guards against ports that together take the descriptors of files and calls.
TEST_CASE("the ports of a process leave descriptors for its own calls") {
  for (const uint64_t fds : {512UL, 4'096UL, 8'192UL}) {
    uint64_t sum = 0;
    for (const auto use : {port_use::kClients, port_use::kPeers,
                           port_use::kReadiness, port_use::kOperators}) {
      sum += ConnectionShare(use, fds);
    }
    CHECK(sum + 200 + (fds - 200) / 8 <= fds);
  }
}

// Guards against clients that do not read, or send what is not read yet: the
// kernel's buffers of all sockets were together as large as the machine.
TEST_CASE("the kernel's buffers of all ports fit into a quarter of a VM") {
  constexpr uint64_t kMebi = 1024UL * 1024;
  for (const auto& [memory, fds] :
       {std::pair{32 * kMebi, 512UL}, std::pair{128 * kMebi, 4'096UL},
        std::pair{160 * kMebi, 4'100UL}, std::pair{260 * kMebi, 4'100UL},
        std::pair{512 * kMebi, 8'192UL}}) {
    uint64_t sum = 0;
    for (const auto use : {port_use::kClients, port_use::kPeers,
                           port_use::kReadiness, port_use::kOperators}) {
      const auto sockets = SocketsOf(use, memory, fds);
      CHECK(sockets.connections <= ConnectionShare(use, fds));
      CHECK(sockets.connections > 0);
      sum += uint64_t{sockets.connections} * 4 * sockets.buffer_bytes;
    }
    CHECK(sum <= memory / 4);
  }
  // Far more than the deployments' clients of one gateway, and all runners.
  CHECK(SocketsOf(port_use::kClients, 160 * kMebi, 4'100).connections >= 1'000);
  CHECK(SocketsOf(port_use::kPeers, 128 * kMebi, 4'096).connections >= 670);
}

// Guards against a share of a large machine that is no limit.
TEST_CASE("the budget is bounded on both sides") {
  CHECK(ReceiveBudget(0) > 0);
  CHECK(ReceiveBudget(uint64_t{1} << 40) <= uint64_t{256} * 1024 * 1024);
}

}  // namespace chiveglade::app
