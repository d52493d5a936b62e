#include "src/store/http_caller.h"
#include "chiveglade/net/coroutine_stack.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

namespace chiveglade::store {

namespace {

namespace asio = net::asio;

constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
// An answer that keeps arriving may take this many times the timeout.
constexpr int kTotalTimeoutFactor = 8;
// Larger than any transaction or scan of this project.
constexpr uint64_t kMaxAnswerBytes = 256UL * 1024 * 1024;

bool PassesOn(const net::http_outcome& outcome) {
  return outcome.delivery == verdict::kNotRun ||
         (outcome.reply && outcome.reply->status == kUnavailable);
}

net::http_client_options ClientOptions(const http_store_options& in) {
  net::http_client_options out;
  out.connect_timeout = in.connect_timeout;
  out.max_body_bytes = kMaxAnswerBytes;
  out.max_idle_connections = std::max(1U, in.max_in_flight / 4);
  return out;
}

}  // namespace

result<std::shared_ptr<http_caller>> http_caller::Make(
    asio::io_context& loop,
    asio::any_io_executor callbacks,
    const http_store_options& options) {
  if (options.endpoints.empty()) {
    return reason{"bad_settings", "a store needs at least one endpoint"};
  }
  return std::shared_ptr<http_caller>(
      new http_caller(loop, std::move(callbacks), options));
}

http_caller::http_caller(asio::io_context& loop,
                         asio::any_io_executor callbacks,
                         const http_store_options& options)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      options_(options),
      patience_(options.call_timeout, options.slow_call_timeout) {
  for (const auto& [ip, port] : options.endpoints) {
    endpoints_.push_back(
        {net::http_client::Make(loop, ip, port, ClientOptions(options)), {}});
  }
}

void http_caller::Call(net::http_request request, callback then, millis wait) {
  {
    const std::lock_guard lock(mutex_);
    if (in_flight_ >= options_.max_in_flight) {
      Refuse({"store_busy", "too many calls in flight"}, std::move(then));
      return;
    }
    ++in_flight_;
  }
  asio::spawn(
      asio::make_strand(loop_), std::allocator_arg, net::coroutine_stack(),
      [self = shared_from_this(), request = std::move(request), wait,
       then = std::move(then)](const net::yield& yield) mutable {
        auto outcome = self->Try(request, wait, yield);
        self->Finish();
        self->Post(std::move(outcome), std::move(then));
      },
      asio::detached);
}

void http_caller::Refuse(const reason& why, callback then) {
  Post({verdict::kNotRun, why}, std::move(then));
}

net::http_outcome http_caller::Send(net::http_client& client,
                                    const net::http_request& request,
                                    millis wait,
                                    const net::yield& yield) {
  millis timeout;
  {
    const std::lock_guard lock(mutex_);
    timeout = patience_.timeout();
  }
  const auto began = steady::now();
  auto out = client.Send(
      request, {wait + timeout, wait + kTotalTimeoutFactor * timeout}, yield);
  const auto took = std::chrono::duration_cast<millis>(steady::now() - began);
  const std::lock_guard lock(mutex_);
  if (out.reply) {
    // Before the end of the wait an answer does not show the service's pace.
    if (took >= wait) {
      patience_.OnAnswer(took - wait);
    }
  } else if (out.delivery == verdict::kMayHaveRun) {
    patience_.OnSilence(timeout);
  }
  return out;
}

net::http_outcome http_caller::Try(const net::http_request& request,
                                   millis wait,
                                   const net::yield& yield) {
  net::http_outcome out;
  for (const size_t index : Order()) {
    out = Send(*endpoints_[index].client, request, wait, yield);
    if (!PassesOn(out)) {
      break;
    }
    if (out.delivery == verdict::kNotRun) {
      Skip(index);
    }
  }
  return out;
}

std::vector<size_t> http_caller::Order() {
  std::vector<size_t> out(endpoints_.size());
  for (size_t i = 0; i < out.size(); ++i) {
    out[i] = i;
  }
  const auto now = steady::now();
  const std::lock_guard lock(mutex_);
  // Skipped ones come last, so that they are tried only if no other takes the
  // call, those first whose time is over first.
  std::stable_sort(out.begin(), out.end(), [&](size_t a, size_t b) {
    return std::max(now, endpoints_[a].skipped_until) <
           std::max(now, endpoints_[b].skipped_until);
  });
  return out;
}

void http_caller::Skip(size_t index) {
  const std::lock_guard lock(mutex_);
  endpoints_[index].skipped_until = steady::now() + options_.skip_after_refusal;
}

void http_caller::Finish() {
  const std::lock_guard lock(mutex_);
  --in_flight_;
}

void http_caller::Post(net::http_outcome outcome, callback then) {
  asio::post(callbacks_,
             [outcome = std::move(outcome), then = std::move(then)]() mutable {
               then(std::move(outcome));
             });
}

bool IsWithoutEffect(const net::http_outcome& outcome) {
  if (outcome.delivery == verdict::kNotRun) {
    return true;
  }
  // The service answers 4xx and 503 only before any effect. Other 5xx answers
  // may come from something between, after the service has acted.
  return outcome.reply && outcome.reply->status != kConflict &&
         ((outcome.reply->status >= 400 && outcome.reply->status < 500) ||
          outcome.reply->status == kUnavailable);
}

reason FailureOf(const net::http_outcome& outcome) {
  const std::string detail =
      outcome.reply ? "status " + std::to_string(outcome.reply->status)
                    : outcome.reply.last_reason().code + ": " +
                          outcome.reply.last_reason().detail;
  return {IsWithoutEffect(outcome) ? "store_refused" : "store_answer_lost",
          detail};
}

}  // namespace chiveglade::store
