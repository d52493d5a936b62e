#include "forwarder.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

#include "callback_wait.h"
#include "http_fields.h"

namespace chiveglade::routing {

namespace {

// Longest request ID and Idempotency-Key that is accepted from a caller.
constexpr size_t kMaxTokenBytes = 255;

// Values of Retry-After. An overload ends within the time that a queue takes to
// empty; an outage of the store lasts longer.
constexpr uint32_t kOverloadRetryAfterSeconds = 1;
constexpr uint32_t kStoreRetryAfterSeconds = 5;

bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTokenBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

// Returns whether an HTTP/2 peer accepts the host as :authority. A request that
// the peer rejects for its host would look like a failure of the target.
bool IsValidAuthority(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 ||
           std::string_view("-._~:[]").find(static_cast<char>(c)) !=
               std::string_view::npos;
  });
}

std::string MakeRequestId(const front_state& front) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out = front.options().entry + "-";
  for (int part = 0; part < 2; ++part) {
    uint64_t bits = front.hooks().random();
    for (int i = 0; i < 16; ++i, bits >>= 4) {
      out.push_back(kDigits[bits & 15]);
    }
  }
  return out;
}

std::string RefusalBody(verdict execution,
                        const std::string& code,
                        const std::string& detail,
                        const std::string& id) {
  const nlohmann::json out = {{"verdict", ToString(execution)},
                              {"reason", code},
                              {"detail", detail},
                              {"request_id", id}};
  // Details may quote bytes from the caller that are not valid UTF-8.
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

forwarder::forwarder(front_state& front, caller_exchange& caller)
    : front_(front), caller_(caller), started_(front.hooks().clock()) {}

forwarder::~forwarder() {
  if (counted_open_) {
    front_.CloseRequest();
  }
  front_.ReleaseBody(reserved_body_bytes_);
}

void forwarder::RefuseMalformed(bool header_too_large,
                                const net::yield& yield) {
  request_.id = MakeRequestId(front_);
  caller_.CloseAfterResponse();
  if (header_too_large) {
    Refuse({431, verdict::kNotRun, "header_too_large",
            "the header exceeds the size limit"},
           yield);
  } else {
    Refuse({400, verdict::kNotRun, "malformed", "the request is not HTTP/1.1"},
           yield);
  }
}

void forwarder::Run(const net::yield& yield) {
  auto why = CheckRequest();
  if (!why) {
    why = ReadBodyPrefix(yield);
  }
  if (!why && !idempotency_key_.empty()) {
    why = ClaimRequest(yield);
    if (why && why->code.empty()) {
      return;  // the stored response was sent
    }
  }
  if (why) {
    Refuse(*why, yield);
    return;
  }
  Forward(yield);
}

forwarder::maybe_refusal forwarder::CheckRequest() {
  const auto id = caller_.Field(kRequestIdHeader);
  request_.id = IsToken(id) ? std::string(id) : MakeRequestId(front_);
  const auto path = PathOf(caller_.target());
  if (!path) {
    return refusal{400, verdict::kNotRun, path.last_reason().code,
                   path.last_reason().detail};
  }
  if (caller_.fields().count("host") > 1 ||
      !IsValidAuthority(caller_.Field("host"))) {
    return refusal{400, verdict::kNotRun, "bad_host",
                   "Host must be a single name or address"};
  }
  if (caller_.method() == "CONNECT") {
    return refusal{400, verdict::kNotRun, "bad_method",
                   "method CONNECT is not supported"};
  }
  if (caller_.has_unsupported_encoding()) {
    return refusal{501, verdict::kNotRun, "bad_encoding",
                   "only the chunked transfer encoding is supported"};
  }
  if (caller_.body_too_large()) {
    return BodyRefusal({"body_too_large", "the body exceeds the size limit"});
  }
  routes_ = front_.routes();
  route_ = routes_ ? routes_->Find(caller_.method(), *path) : nullptr;
  if (route_ == nullptr || IsControlPath(caller_.target())) {
    route_ = nullptr;
    return refusal{routes_ ? 404 : 503, verdict::kNotRun, "no_route",
                   "no route matches the request"};
  }
  if (counted_open_ = front_.TryOpenRequest(); !counted_open_) {
    return refusal{503, verdict::kNotRun, "overloaded",
                   "the entry has too many open requests",
                   kOverloadRetryAfterSeconds};
  }
  millis left = route_->klass.deadline;
  if (const auto asked = ParseDecimalHeader(caller_.Field(kDeadlineHeader))) {
    left = millis(
        std::min<uint64_t>(*asked, front_.options().max_deadline.count()));
  }
  request_.deadline = started_ + left;
  return CheckIdempotencyKey();
}

forwarder::maybe_refusal forwarder::CheckIdempotencyKey() {
  const auto key = caller_.Field("idempotency-key");
  if (route_->spec.idempotent ||
      caller_.fields().count("idempotency-key") == 0) {
    return std::nullopt;
  }
  if (!IsToken(key)) {
    return refusal{400, verdict::kNotRun, "bad_key",
                   "Idempotency-Key must be 1 to 255 visible characters"};
  }
  idempotency_key_ = std::string(key);
  return std::nullopt;
}

forwarder::refusal forwarder::BodyRefusal(const reason& why) const {
  const int status = why.code == "body_too_large" ? 413
                     : why.code == "body_timeout" ? 408
                                                  : 400;
  return {status, verdict::kNotRun, why.code, why.detail};
}

forwarder::maybe_refusal forwarder::ReadBodyPrefix(const net::yield& yield) {
  const auto& options = front_.options();
  if (idempotency_key_.empty()) {
    const size_t wanted =
        std::min<uint64_t>(caller_.content_length().value_or(
                               caller_.body_done() ? 0 : options.replay_bytes),
                           options.replay_bytes);
    if (wanted <= options.min_replay_bytes || !front_.TryReserveBody(wanted)) {
      return ReadBodyUpTo(options.min_replay_bytes, yield);
    }
    reserved_body_bytes_ = wanted;
    return ReadBodyUpTo(options.replay_bytes, yield);
  }
  const auto declared =
      caller_.content_length().value_or(options.max_claimed_body_bytes);
  const refusal too_large{
      413, verdict::kNotRun, "body_too_large",
      "the body exceeds the size limit for requests with a key"};
  if (declared > options.max_claimed_body_bytes) {
    return too_large;
  }
  if (!front_.TryReserveBody(declared)) {
    return refusal{503, verdict::kNotRun, "overloaded",
                   "the entry has no memory left for request bodies",
                   kOverloadRetryAfterSeconds};
  }
  reserved_body_bytes_ = declared;
  if (auto why = ReadBodyUpTo(options.max_claimed_body_bytes, yield)) {
    return why;
  }
  return request_.body_whole ? std::nullopt : maybe_refusal(too_large);
}

forwarder::maybe_refusal forwarder::ReadBodyUpTo(size_t limit,
                                                 const net::yield& yield) {
  constexpr size_t kReadChunkBytes = 16'384;
  auto& body = request_.body;
  while (body.size() < limit && !caller_.body_done()) {
    const size_t had = body.size();
    body.resize(std::min(had + kReadChunkBytes, limit));
    const auto got =
        caller_.ReadBody(body.data() + had, body.size() - had, yield);
    if (!got) {
      return BodyRefusal(got.last_reason());
    }
    body.resize(had + *got);
  }
  body.shrink_to_fit();
  request_.body_whole = caller_.body_done();
  return std::nullopt;
}

forwarder::maybe_refusal forwarder::ClaimRequest(const net::yield& yield) {
  const auto& claims = front_.hooks().claims;
  if (!claims) {
    return refusal{503, verdict::kNotRun, "store_unavailable",
                   "requests with a key are not accepted at present",
                   kStoreRetryAfterSeconds};
  }
  claim_request asked{
      route_->workspace, idempotency_key_,
      Fingerprint(caller_.method(), caller_.target(), request_.body),
      request_.deadline};
  auto result = WaitFor<claim_result>(yield, [&](auto then) {
    claims->Claim(std::move(asked), std::move(then));
  });
  return HandleClaimResult(std::move(result), yield);
}

forwarder::maybe_refusal forwarder::HandleClaimResult(claim_result result,
                                                      const net::yield& yield) {
  switch (result.status) {
    case claim_status::kClaimed:
      claim_ = std::move(result.held);
      request_.keep_response = true;
      return std::nullopt;
    case claim_status::kHasResponse: {
      auto fields = std::move(result.response.headers);
      fields.emplace_back(kRequestIdHeader, request_.id);
      if (!result.response.whole) {
        fields.emplace_back("chiveglade-answer", "status_only");
      }
      caller_.WriteResponse(result.response.status, fields,
                            result.response.body, yield);
      RecordResult(verdict::kRan, result.response.status, "repeated");
      return refusal{};
    }
    case claim_status::kMayHaveRun:
      return refusal{409, verdict::kMayHaveRun, "claimed",
                     "a request with this key was forwarded and its outcome "
                     "is not known"};
    case claim_status::kMismatch:
      return refusal{422, verdict::kNotRun, "key_mismatch",
                     "the key belongs to a different request"};
    case claim_status::kUnavailable:
      break;
  }
  return refusal{503, verdict::kNotRun, "store_unavailable",
                 "the key could not be claimed", kStoreRetryAfterSeconds};
}

void forwarder::BuildForwardedFields() {
  auto& out = request_.fields;
  const auto host = caller_.Field("host");
  out = {{":method", std::string(caller_.method())},
         {":scheme", "http"},
         {":authority", host.empty() ? "unknown" : std::string(host)},
         {":path", std::string(caller_.target())}};
  for (auto& field : EndToEndFields(caller_.fields())) {
    out.push_back(std::move(field));
  }
  if (request_.body_whole) {
    if (!request_.body.empty() || caller_.content_length()) {
      out.emplace_back("content-length", std::to_string(request_.body.size()));
    }
  } else if (const auto length = caller_.content_length()) {
    out.emplace_back("content-length", std::to_string(*length));
  }
  out.emplace_back(kClassHeader, route_->klass.name);
  out.emplace_back(kServiceHeader, route_->spec.service);
  out.emplace_back(kRequestIdHeader, request_.id);
}

void forwarder::Forward(const net::yield& yield) {
  BuildForwardedFields();
  if (front_.hooks().clock() >= request_.deadline) {
    ResolveClaim({}, verdict::kNotRun);
    Refuse({504, verdict::kNotRun, "deadline",
            "the deadline passed before the request was sent"},
           yield);
    return;
  }
  front_.budget().OnRequest();
  const auto last = TryTargets(yield);
  if (last) {
    Finish(*last, yield);
    return;
  }
  ResolveClaim({}, verdict::kNotRun);
  Refuse({503, verdict::kNotRun, "no_target",
          "no target of the service is in service", kOverloadRetryAfterSeconds},
         yield);
}

std::optional<try_report> forwarder::TryTargets(const net::yield& yield) {
  const auto& hooks = front_.hooks();
  std::vector<std::string> tried;
  std::optional<try_report> last;
  for (;;) {
    auto chosen =
        hooks.directory->Choose(route_->spec.service, tried, hooks.random);
    if (!chosen) {
      return last;
    }
    ++tries_;
    tried.push_back(chosen->vm());
    const auto agent = front_.ConnectionTo(chosen->address());
    if (!agent) {
      continue;
    }
    last = agent_try(front_.options(), hooks.clock, request_, caller_)
               .Run(*agent, chosen->get(), yield);
    if (last->target_failed) {
      chosen->get().OnFailure(hooks.clock());
    } else if (last->end == try_end::kResponseComplete) {
      chosen->get().OnSuccess();
    }
    const auto try_outcome = ClassifyTry(last->end, route_->spec.idempotent);
    execution_ = Combine(execution_, try_outcome.execution);
    if (last->caller_gone || !MayRetry(try_outcome)) {
      return last;
    }
  }
}

bool forwarder::MayRetry(const outcome& try_outcome) {
  return try_outcome.retry && !request_.body_consumed &&
         tries_ <= front_.options().max_retries &&
         front_.hooks().clock() < request_.deadline &&
         front_.budget().TryRetry();
}

void forwarder::ResolveClaim(const try_report& last, verdict execution) {
  if (!claim_) {
    return;
  }
  const auto& claims = front_.hooks().claims;
  if (execution == verdict::kRan) {
    claims->StoreResponse(*claim_, last.response, [](const result<done>&) {});
  } else if (execution == verdict::kNotRun) {
    claims->Release(*claim_, [](const result<done>&) {});
  }
  claim_.reset();
}

void forwarder::Finish(const try_report& last, const net::yield& yield) {
  ResolveClaim(last, execution_);
  if (last.end == try_end::kResponseComplete) {
    RecordResult(verdict::kRan, last.status, "");
    return;
  }
  if (caller_.response_started() || last.caller_gone) {
    caller_.Abort();
    RecordResult(execution_, 0, last.code);
    return;
  }
  Refuse(RefusalFor(last), yield);
}

forwarder::refusal forwarder::RefusalFor(const try_report& last) const {
  refusal out = BodyRefusal({last.code, last.detail});
  out.execution = execution_;
  if (last.deadline_passed || last.code == "deadline") {
    out.status = 504;
  } else if (out.status == 400) {
    out.status = 502;
  }
  if (out.status == 502 && execution_ == verdict::kNotRun) {
    out.status = 503;
  }
  if (out.status >= 503 && execution_ == verdict::kNotRun) {
    out.retry_after_s = kOverloadRetryAfterSeconds;
  }
  return out;
}

void forwarder::Refuse(const refusal& why, const net::yield& yield) {
  net::header_list fields = {
      {"content-type", "application/json"},
      {std::string(kVerdictHeader), std::string(ToString(why.execution))},
      {std::string(kRequestIdHeader), request_.id}};
  if (why.retry_after_s > 0) {
    fields.emplace_back("retry-after", std::to_string(why.retry_after_s));
  }
  caller_.WriteResponse(
      why.status, fields,
      RefusalBody(why.execution, why.code, why.detail, request_.id), yield);
  RecordResult(why.execution, why.status, why.code);
}

void forwarder::RecordResult(verdict execution,
                             int status,
                             const std::string& code) {
  if (!front_.hooks().record) {
    return;
  }
  front_.hooks().record({route_ == nullptr ? "" : route_->workspace,
                         route_ == nullptr ? "" : route_->klass.name, execution,
                         status, code, front_.hooks().clock() - started_,
                         tries_});
}

}  // namespace chiveglade::routing
