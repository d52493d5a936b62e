#include "store_link.h"

#include <utility>

namespace chiveglade::app {

namespace {

// Longer than a slow answer takes, shorter than what a caller can wait.
constexpr millis kSilence{700};
// A single call may fail by itself.
constexpr uint32_t kFailures = 2;

}  // namespace

store_link::store_link(clock_fn clock, log_fn log)
    : clock_(std::move(clock)), log_(std::move(log)), answered_at_(clock_()) {}

store::table_service store_link::Observe(const store::table_service& inner) {
  // Wraps a callback that gets a result.
  const auto noted = [this](auto then) {
    return [this, then = std::move(then)](auto found) {
      Note(found.has_value(), found ? "" : found.last_reason().detail);
      then(std::move(found));
    };
  };
  store::table_service out = inner;
  out.read = [inner, noted](std::string key, store::read_callback then) {
    inner.read(std::move(key), noted(std::move(then)));
  };
  out.commit = [this, inner](store::transaction change,
                             store::commit_callback then) {
    inner.commit(std::move(change),
                 [this, then = std::move(then)](store::commit_outcome outcome) {
                   Note(outcome.status == store::commit_status::kCommitted ||
                            outcome.status == store::commit_status::kConflict,
                        outcome.why.detail);
                   then(std::move(outcome));
                 });
  };
  if (inner.page) {
    out.page = [inner, noted](std::string prefix, std::string after,
                              size_t limit, store::page_callback then) {
      inner.page(std::move(prefix), std::move(after), limit,
                 noted(std::move(then)));
    };
  }
  if (inner.watch) {
    out.watch = [inner, noted](std::string prefix, uint64_t version,
                               millis wait, store::watch_callback then) {
      inner.watch(std::move(prefix), version, wait, noted(std::move(then)));
    };
  }
  return out;
}

void store_link::Note(bool answered, const std::string& why) {
  const auto now = clock_();
  const auto silent = std::chrono::duration_cast<millis>(now - answered_at_);
  if (answered) {
    if (away_) {
      log_("store_reached_again",
           {{"away_ms", std::to_string(silent.count())}});
    }
    away_ = false;
    failures_ = 0;
    answered_at_ = now;
    return;
  }
  ++failures_;
  if (!away_ && failures_ >= kFailures && silent >= kSilence) {
    away_ = true;
    log_("store_away", {{"silent_ms", std::to_string(silent.count())},
                        {"failures", std::to_string(failures_)},
                        {"reason", why}});
  }
}

}  // namespace chiveglade::app
