#include "chiveglade/observe/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <string_view>

#include "chiveglade/core/wall_clock.h"

namespace chiveglade::observe {

event_log::event_log(int write_fd, limits bounds, clock_fn clock)
    : fd_(write_fd), limits_(bounds), clock_(std::move(clock)) {}

void event_log::Write(const std::string& event, const log_fields& fields) {
  constexpr millis kSecond{1'000};
  if (clock_() - second_ >= kSecond) {
    EndSecond();
  }
  auto& used = rates_[event];
  if (used.lines >= limits_.lines_per_event) {
    ++used.suppressed;
    return;
  }
  ++used.lines;
  Append(FormatLine(event, fields));
}

void event_log::Append(const std::string& line) {
  const std::string stamped =
      "time_ms=" + std::to_string(UnixMillis()) + " " + line + "\n";
  if (buffer_.size() + stamped.size() > limits_.max_buffered_bytes) {
    ++dropped_;
    return;
  }
  buffer_ += stamped;
}

void event_log::EndSecond() {
  second_ = clock_();
  for (auto& [event, used] : rates_) {
    if (used.suppressed > 0) {
      Append(FormatLine(
          "lines_suppressed",
          {{"of", event}, {"count", std::to_string(used.suppressed)}}));
    }
    used = {};
  }
}

void event_log::Flush() {
  while (!buffer_.empty()) {
    pollfd ready{fd_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    // A pipe that is ready takes PIPE_BUF bytes without blocking; whole lines
    // of at most that length are not mixed with those of other writers.
    size_t size = std::min(buffer_.size(), size_t{PIPE_BUF});
    if (size < buffer_.size()) {
      const auto end = std::string_view(buffer_).substr(0, size).rfind('\n');
      size = end == std::string_view::npos ? size : end + 1;
    }
    const auto written = ::write(fd_, buffer_.data(), size);
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace chiveglade::observe
