// Structured lines on standard output, one for each decision.
#ifndef CHIVEGLADE_OBSERVE_EVENT_LOG_H_
#define CHIVEGLADE_OBSERVE_EVENT_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/observe/log.h"

namespace chiveglade::observe {

// Collects lines and writes them when asked to, never waiting for the reader: a
// line that finds no room is dropped and counted. Lines have the form of
// FormatLine, led by the time of day in milliseconds since 1970. Single thread.
class event_log {
 public:
  struct limits {
    size_t max_buffered_bytes = 256UL * 1024;
    // Lines of one event in a second; more are counted and summed up.
    uint32_t lines_per_event = 200;
  };

  // `write_fd` is a file descriptor, 1 for standard output.
  event_log(int write_fd, limits bounds, clock_fn clock);

  void Write(const std::string& event, const log_fields& fields);

  // Writes what the reader takes without blocking; to be called often.
  void Flush();

  uint64_t dropped() const { return dropped_; }

 private:
  struct rate {
    uint32_t lines = 0;
    uint32_t suppressed = 0;
  };

  void Append(const std::string& line);
  void EndSecond();

  int fd_;
  limits limits_;
  clock_fn clock_;
  std::string buffer_;
  std::map<std::string, rate> rates_;
  boot_time second_{};
  uint64_t dropped_ = 0;
};

}  // namespace chiveglade::observe

#endif  // CHIVEGLADE_OBSERVE_EVENT_LOG_H_
