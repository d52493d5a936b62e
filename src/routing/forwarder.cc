#include "forwarder.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

#include "callback_wait.h"
#include "http_fields.h"

namespace chiveglade::routing {

namespace {

// Longest request ID and Idempotency-Key taken from a caller.
constexpr size_t kMaxTokenBytes = 255;

// How long a caller waits before it tries again after an overload, which ends
// within a queue's length, and after an outage of the store.
constexpr uint32_t kOverloadRetryS = 1;
constexpr uint32_t kStoreRetryS = 5;

bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTokenBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

// Whether the receiver of an HTTP/2 request accepts the host as :authority. One
// that it does not accept would look like a fault of the target.
bool IsHost(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 ||
           std::string_view("-._~:[]").find(static_cast<char>(c)) !=
               std::string_view::npos;
  });
}

std::string MakeId(const front_state& front) {
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

std::string RefusalBody(verdict ran,
                        const std::string& code,
                        const std::string& detail,
                        const std::string& id) {
  const nlohmann::json out = {{"verdict", ToString(ran)},
                              {"reason", code},
                              {"detail", detail},
                              {"request_id", id}};
  // Details may repeat bytes of a caller that are not UTF-8.
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

forwarder::forwarder(front_state& front, caller_exchange& caller)
    : front_(front), caller_(caller), started_(front.hooks().clock()) {}

forwarder::~forwarder() {
  if (opened_) {
    front_.CloseRequest();
  }
  front_.ReleaseBody(reserved_);
}

void forwarder::RunMalformed(bool header_too_large, const net::yield& yield) {
  request_.id = MakeId(front_);
  caller_.CloseAfter();
  if (header_too_large) {
    Refuse({431, verdict::kNotRun, "header_too_large",
            "the header is above the limit"},
           yield);
  } else {
    Refuse({400, verdict::kNotRun, "malformed", "the request is not HTTP/1.1"},
           yield);
  }
}

void forwarder::Run(const net::yield& yield) {
  auto why = Check();
  if (!why) {
    why = ReadStart(yield);
  }
  if (!why && !key_.empty()) {
    why = TakeClaim(yield);
    if (why && why->code.empty()) {
      return;  // answered from the claim
    }
  }
  if (why) {
    Refuse(*why, yield);
    return;
  }
  Forward(yield);
}

forwarder::refused forwarder::Check() {
  const auto id = caller_.Field(kRequestIdHeader);
  request_.id = IsToken(id) ? std::string(id) : MakeId(front_);
  const auto path = PathOf(caller_.target());
  if (!path) {
    return refusal{400, verdict::kNotRun, path.last_reason().code,
                   path.last_reason().detail};
  }
  if (caller_.fields().count("host") > 1 || !IsHost(caller_.Field("host"))) {
    return refusal{400, verdict::kNotRun, "bad_host",
                   "Host must be one name or address"};
  }
  if (caller_.method() == "CONNECT") {
    return refusal{400, verdict::kNotRun, "bad_method",
                   "CONNECT is not accepted"};
  }
  if (caller_.has_unknown_encoding()) {
    return refusal{501, verdict::kNotRun, "bad_encoding",
                   "only chunked transfer encoding is accepted"};
  }
  if (caller_.body_too_large()) {
    return BodyRefusal({"body_too_large", "the body is above the limit"});
  }
  routes_ = front_.routes();
  route_ = routes_ ? routes_->Find(caller_.method(), *path) : nullptr;
  if (route_ == nullptr || IsControlPath(caller_.target())) {
    route_ = nullptr;
    return refusal{routes_ ? 404 : 503, verdict::kNotRun, "no_route",
                   "no route leads to a service"};
  }
  if (opened_ = front_.OpenRequest(); !opened_) {
    return refusal{503, verdict::kNotRun, "overloaded",
                   "the entry has too many open requests", kOverloadRetryS};
  }
  millis left = route_->klass.deadline;
  if (const auto asked = NumberHeader(caller_.Field(kDeadlineHeader))) {
    left = millis(
        std::min<uint64_t>(*asked, front_.options().longest_deadline.count()));
  }
  request_.deadline = started_ + left;
  return CheckKey();
}

forwarder::refused forwarder::CheckKey() {
  const auto key = caller_.Field("idempotency-key");
  if (route_->spec.idempotent ||
      caller_.fields().count("idempotency-key") == 0) {
    return std::nullopt;
  }
  if (!IsToken(key)) {
    return refusal{400, verdict::kNotRun, "bad_key",
                   "Idempotency-Key must be 1 to 255 visible characters"};
  }
  key_ = std::string(key);
  return std::nullopt;
}

forwarder::refusal forwarder::BodyRefusal(const reason& why) const {
  const int status = why.code == "body_too_large" ? 413
                     : why.code == "body_timeout" ? 408
                                                  : 400;
  return {status, verdict::kNotRun, why.code, why.detail};
}

forwarder::refused forwarder::ReadStart(const net::yield& yield) {
  const auto& options = front_.options();
  if (key_.empty()) {
    const size_t wanted =
        std::min<uint64_t>(caller_.content_length().value_or(
                               caller_.body_done() ? 0 : options.replay_bytes),
                           options.replay_bytes);
    if (wanted <= options.least_replay_bytes || !front_.ReserveBody(wanted)) {
      return ReadUpTo(options.least_replay_bytes, yield);
    }
    reserved_ = wanted;
    return ReadUpTo(options.replay_bytes, yield);
  }
  const auto declared =
      caller_.content_length().value_or(options.max_claimed_body_bytes);
  const refusal too_large{
      413, verdict::kNotRun, "body_too_large",
      "the body is above the limit for requests with a key"};
  if (declared > options.max_claimed_body_bytes) {
    return too_large;
  }
  if (!front_.ReserveBody(declared)) {
    return refusal{503, verdict::kNotRun, "overloaded",
                   "the entry holds too many bodies", kOverloadRetryS};
  }
  reserved_ = declared;
  if (auto why = ReadUpTo(options.max_claimed_body_bytes, yield)) {
    return why;
  }
  return request_.body_whole ? std::nullopt : refused(too_large);
}

forwarder::refused forwarder::ReadUpTo(size_t limit, const net::yield& yield) {
  constexpr size_t kStep = 16'384;
  auto& body = request_.body;
  while (body.size() < limit && !caller_.body_done()) {
    const size_t had = body.size();
    body.resize(std::min(had + kStep, limit));
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

forwarder::refused forwarder::TakeClaim(const net::yield& yield) {
  const auto& claims = front_.hooks().claims;
  if (!claims) {
    return refusal{503, verdict::kNotRun, "store_unavailable",
                   "requests with a key are not accepted now", kStoreRetryS};
  }
  claim_request asked{
      route_->tenant, key_,
      Fingerprint(caller_.method(), caller_.target(), request_.body),
      request_.deadline};
  auto reply = WaitFor<claim_reply>(yield, [&](auto then) {
    claims->Claim(std::move(asked), std::move(then));
  });
  return OnClaim(std::move(reply), yield);
}

forwarder::refused forwarder::OnClaim(claim_reply reply,
                                      const net::yield& yield) {
  switch (reply.status) {
    case claim_status::kClaimed:
      claim_ = std::move(reply.held);
      request_.keep_answer = true;
      return std::nullopt;
    case claim_status::kAnswered: {
      auto fields = std::move(reply.answer.headers);
      fields.emplace_back(kRequestIdHeader, request_.id);
      if (!reply.answer.whole) {
        fields.emplace_back("chiveglade-answer", "status_only");
      }
      caller_.WriteAnswer(reply.answer.status, fields, reply.answer.body,
                          yield);
      Record(verdict::kRan, reply.answer.status, "repeated");
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
                 "the key could not be claimed", kStoreRetryS};
}

void forwarder::MakeFields() {
  auto& out = request_.fields;
  const auto host = caller_.Field("host");
  out = {{":method", std::string(caller_.method())},
         {":scheme", "http"},
         {":authority", host.empty() ? "unknown" : std::string(host)},
         {":path", std::string(caller_.target())}};
  for (auto& field : EndToEnd(caller_.fields())) {
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
  MakeFields();
  if (front_.hooks().clock() >= request_.deadline) {
    EndClaim({}, verdict::kNotRun);
    Refuse({504, verdict::kNotRun, "deadline", "no time was left"}, yield);
    return;
  }
  front_.budget().OnRequest();
  const auto last = TryTargets(yield);
  if (last) {
    Finish(*last, yield);
    return;
  }
  EndClaim({}, verdict::kNotRun);
  Refuse({503, verdict::kNotRun, "no_target",
          "no target of the service is in service", kOverloadRetryS},
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
    const auto agent = front_.AgentAt(chosen->address());
    if (!agent) {
      continue;
    }
    last = agent_try(front_.options(), hooks.clock, request_, caller_)
               .Run(*agent, chosen->at(), yield);
    if (last->target_failed) {
      chosen->at().OnFailure(hooks.clock());
    } else if (last->end == try_end::kAnswered) {
      chosen->at().OnSuccess();
    }
    const auto judged = Judge(last->end, route_->spec.idempotent);
    ran_ = Combine(ran_, judged.ran);
    if (last->caller_gone || !MayTryAgain(judged)) {
      return last;
    }
  }
}

bool forwarder::MayTryAgain(const outcome& judged) {
  return judged.retry && !request_.body_consumed &&
         tries_ <= front_.options().other_targets &&
         front_.hooks().clock() < request_.deadline &&
         front_.budget().TryRetry();
}

void forwarder::EndClaim(const try_report& last, verdict ran) {
  if (!claim_) {
    return;
  }
  const auto& claims = front_.hooks().claims;
  if (ran == verdict::kRan) {
    claims->Settle(*claim_, last.answer, [](const result<done>&) {});
  } else if (ran == verdict::kNotRun) {
    claims->Release(*claim_, [](const result<done>&) {});
  }
  claim_.reset();
}

void forwarder::Finish(const try_report& last, const net::yield& yield) {
  EndClaim(last, ran_);
  if (last.end == try_end::kAnswered) {
    Record(verdict::kRan, last.status, "");
    return;
  }
  if (caller_.answer_sent() || last.caller_gone) {
    caller_.Abort();
    Record(ran_, 0, last.code);
    return;
  }
  Refuse(RefusalOf(last), yield);
}

forwarder::refusal forwarder::RefusalOf(const try_report& last) const {
  refusal out = BodyRefusal({last.code, last.detail});
  out.ran = ran_;
  if (last.deadline_passed || last.code == "deadline") {
    out.status = 504;
  } else if (out.status == 400) {
    out.status = 502;
  }
  if (out.status == 502 && ran_ == verdict::kNotRun) {
    out.status = 503;
  }
  if (out.status >= 503 && ran_ == verdict::kNotRun) {
    out.retry_after_s = kOverloadRetryS;
  }
  return out;
}

void forwarder::Refuse(const refusal& why, const net::yield& yield) {
  net::header_list fields = {
      {"content-type", "application/json"},
      {std::string(kVerdictHeader), std::string(ToString(why.ran))},
      {std::string(kRequestIdHeader), request_.id}};
  if (why.retry_after_s > 0) {
    fields.emplace_back("retry-after", std::to_string(why.retry_after_s));
  }
  caller_.WriteAnswer(why.status, fields,
                      RefusalBody(why.ran, why.code, why.detail, request_.id),
                      yield);
  Record(why.ran, why.status, why.code);
}

void forwarder::Record(verdict ran, int status, const std::string& code) {
  if (!front_.hooks().record) {
    return;
  }
  front_.hooks().record({route_ == nullptr ? "" : route_->tenant,
                         route_ == nullptr ? "" : route_->klass.name, ran,
                         status, code, front_.hooks().clock() - started_,
                         tries_});
}

}  // namespace chiveglade::routing
