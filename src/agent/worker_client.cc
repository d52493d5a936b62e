#include "chiveglade/agent/worker_client.h"

#include <utility>

namespace chiveglade::agent {

namespace {

constexpr millis kAnswerTimeout = 2 * kStartCallLimit;
constexpr uint64_t kMaxListingBytes = 16UL * 1024 * 1024;
constexpr int kOk = 200;
constexpr int kFirstRefusal = 400;
constexpr int kFirstServerError = 500;

worker_call_outcome OutcomeOf(const net::http_outcome& answer) {
  if (!answer.reply) {
    return {answer.delivery == verdict::kNotRun ? worker_call_status::kNotSent
                                                : worker_call_status::kUnknown,
            answer.reply.last_reason()};
  }
  const auto& reply = *answer.reply;
  if (reply.status == kOk) {
    return {worker_call_status::kDone, {}};
  }
  // An error inside the worker says nothing about the effect of the call.
  const bool refused =
      reply.status >= kFirstRefusal && reply.status < kFirstServerError;
  return {refused ? worker_call_status::kRefused : worker_call_status::kUnknown,
          DecodeReason(reply.body)};
}

}  // namespace

worker_client::worker_client(net::asio::io_context& loop,
                             const std::string& ip,
                             uint16_t port) {
  net::http_client_options options;
  options.connect_timeout = kStartCallLimit;
  options.answer_timeout = kAnswerTimeout;
  options.max_body_bytes = kMaxListingBytes;
  client_ = net::http_client::Make(loop, ip, port, options);
}

worker_reply worker_client::Call(const worker_call& call,
                                 const net::yield& yield) {
  const bool list = call.kind == worker_call_kind::kList;
  net::http_request request;
  request.method = list ? "GET" : "POST";
  request.target = PathOf(call.kind);
  request.body = EncodeCall(call);
  if (!list) {
    request.headers.emplace_back("content-type", "application/json");
  }
  const auto answer = client_->Send(request, yield);
  worker_reply out{OutcomeOf(answer), std::nullopt};
  if (!list || out.outcome.status != worker_call_status::kDone) {
    return out;
  }
  auto listing = DecodeListing(answer.reply->body);
  if (listing) {
    out.listing = std::move(*listing);
  } else {
    out.outcome = {worker_call_status::kUnknown, listing.last_reason()};
  }
  return out;
}

void worker_client::Close() {
  client_->Close();
}

}  // namespace chiveglade::agent
