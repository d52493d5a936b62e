#include "admission_options.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace chiveglade::app {

namespace {

constexpr uint64_t kMebi = 1024UL * 1024;
// Descriptors for files, by the platform's rule.
constexpr uint64_t kFileDescriptors = 200;
// Share of the others for calls to the store, the worker and peers.
constexpr uint64_t kCallShare = 8;
// Share of those, and of the receive budget, for callers' requests that wait.
// The other calls are those of the coordinator.
constexpr uint64_t kWaitingShare = 2;
// A request that is passed on as it arrives: a coroutine, the buffers of both
// connections, and a window of its stream in each direction.
constexpr uint64_t kPassingStreamBytes = 160UL * 1024;
// Shares of the rest are given in sixteenths.
constexpr uint64_t kSixteenths = 16;
constexpr uint64_t kLeastConnections = 8;

// The heap of a process that places jobs, its code and the kernel's buffers for
// its sockets need the rest.
constexpr uint64_t kBudgetShare = 5;
constexpr uint64_t kLeastBudget = 1 * kMebi;
// Share of the memory for accepted jobs. Bounded, because the next coordinator
// may have a smaller VM and must hold what this one has accepted.
constexpr uint64_t kJobShare = 4;
constexpr uint64_t kMostJobBudget = 64 * kMebi;
// Enough for any number of requests that a process can work on; a share of a
// large development machine would be no limit.
constexpr uint64_t kMostBudget = 256 * kMebi;

// Share of the memory for the kernel's buffers of accepted sockets, which count
// against that of the process while they are full.
constexpr uint64_t kKernelShare = 4;
// The kernel holds up to twice the size asked for, in each direction.
constexpr uint64_t kBuffersPerSocket = 4;
// Takes a request of usual size at once.
constexpr uint64_t kLeastSocketBuffer = 4UL * 1024;
constexpr uint64_t kMostSocketBuffer = 64UL * 1024;

uint64_t MemoryOf(const config::admission_settings& in) {
  if (in.memory_mb > 0) {
    return static_cast<uint64_t>(in.memory_mb * static_cast<double>(kMebi));
  }
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long size = ::sysconf(_SC_PAGESIZE);
  return pages > 0 && size > 0
             ? static_cast<uint64_t>(pages) * static_cast<uint64_t>(size)
             : 0;
}

uint64_t DescriptorsOf(const config::admission_settings& in) {
  rlimit limit{};
  constexpr uint64_t kUnknown = 1'024;
  const uint64_t allowed = ::getrlimit(RLIMIT_NOFILE, &limit) == 0
                               ? static_cast<uint64_t>(limit.rlim_cur)
                               : kUnknown;
  return in.max_fds > 0 ? std::min(allowed, static_cast<uint64_t>(in.max_fds))
                        : allowed;
}

uint64_t BudgetOf(const config::admission_settings& in) {
  const uint64_t share = ReceiveBudget(MemoryOf(in));
  return in.receive_budget_kb > 0
             ? std::min(share, uint64_t{in.receive_budget_kb} * 1024)
             : share;
}

uint64_t UsableDescriptors(uint64_t max_fds) {
  return max_fds > kFileDescriptors ? max_fds - kFileDescriptors : 0;
}

}  // namespace

uint32_t ConnectionShare(port_use of, uint64_t max_fds) {
  const uint64_t usable = UsableDescriptors(max_fds);
  const uint64_t accepted = usable - usable / kCallShare;
  uint64_t sixteenths = 1;
  if (of == port_use::kClients) {
    sixteenths = 10;
  } else if (of == port_use::kPeers) {
    sixteenths = 4;
  }
  return static_cast<uint32_t>(std::clamp<uint64_t>(
      accepted * sixteenths / kSixteenths, kLeastConnections, UINT16_MAX));
}

port_sockets SocketsOf(port_use of, uint64_t memory_bytes, uint64_t max_fds) {
  uint64_t sixteenths = 1;
  if (of == port_use::kClients) {
    sixteenths = 8;
  } else if (of == port_use::kPeers) {
    sixteenths = 6;
  }
  const uint64_t share = memory_bytes / kKernelShare * sixteenths / kSixteenths;
  const uint64_t most = std::max(
      share / (kBuffersPerSocket * kLeastSocketBuffer), kLeastConnections);
  port_sockets out;
  out.connections = static_cast<uint32_t>(
      std::min<uint64_t>(ConnectionShare(of, max_fds), most));
  out.buffer_bytes = static_cast<uint32_t>(
      std::clamp(share / (kBuffersPerSocket * out.connections),
                 kLeastSocketBuffer, kMostSocketBuffer));
  return out;
}

uint64_t ReceiveBudget(uint64_t memory_bytes) {
  return std::clamp(memory_bytes / kBudgetShare, kLeastBudget, kMostBudget);
}

uint64_t JobBudget(const config::admission_settings& in,
                   uint32_t lowered_to_kb) {
  const uint64_t share = std::min(MemoryOf(in) / kJobShare, kMostJobBudget);
  return lowered_to_kb > 0 ? std::min(share, uint64_t{lowered_to_kb} * 1024)
                           : share;
}

admission_options::admission_options(
    const config::admission_settings& settings,
    observe::metrics& metrics,
    std::function<void(const char*, const observe::log_fields&)> log)
    : settings_(settings),
      max_fds_(DescriptorsOf(settings)),
      metrics_(metrics),
      admit_(net::admission::Make(
          BudgetOf(settings),
          {&boot_clock::now,
           [&metrics](net::limit_kind kind) {
             metrics.Increment("chiveglade_admission_refusals_total",
                               {{"kind", ToString(kind)}});
           },
           [log = std::move(log)](net::limit_kind kind,
                                  uint64_t times,
                                  const std::string& address) {
             log("client_limited", {{"kind", ToString(kind)},
                                    {"times", std::to_string(times)},
                                    {"address", address}});
           }})) {
  // Bodies from this size on are mapped, so that their memory goes back when
  // they are dropped. The allocator would raise the threshold by itself after
  // the first such body, and keep the memory of the others.
  constexpr int kMappedBytes = 128 * 1024;
  constexpr int kKeptBytes = 1024 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

net::http_server_options admission_options::Http(
    port_use of,
    uint64_t max_body_bytes) const {
  net::http_server_options out;
  out.max_body_bytes = max_body_bytes;
  const auto sockets = SocketsOf(of, MemoryOf(settings_), max_fds_);
  out.max_connections = sockets.connections;
  if (of == port_use::kClients) {
    out.max_connections_per_address = settings_.connections_per_address;
  }
  out.max_header_fields = settings_.max_header_fields;
  out.max_chunk_extension_bytes = settings_.max_chunk_extension_bytes;
  out.receive_stall = settings_.receive_stall;
  out.request_timeout = settings_.request_time;
  out.write_timeout = settings_.send_time;
  out.socket_buffer_bytes = sockets.buffer_bytes;
  return out;
}

net::h2_options admission_options::Peers(net::h2_options base) const {
  const auto sockets =
      SocketsOf(port_use::kPeers, MemoryOf(settings_), max_fds_);
  base.max_connections = sockets.connections;
  base.socket_buffer_bytes = sockets.buffer_bytes;
  return base;
}

uint32_t admission_options::PassingStreams() const {
  return static_cast<uint32_t>(
      std::max(admit_->budget_bytes() / kPassingStreamBytes,
               uint64_t{kLeastConnections}));
}

request_limits admission_options::Waiting() const {
  const uint64_t calls = UsableDescriptors(max_fds_) / kCallShare;
  return {std::max(calls / kWaitingShare, kLeastConnections),
          admit_->budget_bytes() / kWaitingShare};
}

void admission_options::UpdateGauges() const {
  metrics_.Set("chiveglade_admission_held_bytes", {},
               static_cast<double>(admit_->held_bytes()));
  metrics_.Set("chiveglade_admission_budget_bytes", {},
               static_cast<double>(admit_->budget_bytes()));
  metrics_.Set("chiveglade_admission_connections", {},
               static_cast<double>(admit_->connections()));
}

}  // namespace chiveglade::app
