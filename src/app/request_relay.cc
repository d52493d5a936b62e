#include "request_relay.h"

#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>

#include "lifecycle.h"
#include "peer_call.h"
#include "src/state/cbor.h"

namespace chiveglade::app {

namespace {

// An outage of a few seconds is noticed within a small part of it.
constexpr millis kProbeInterval{200};
constexpr millis kProbeTimeout{180};
// Unanswered probes until the peer counts as out of reach.
constexpr uint32_t kUnansweredUntilIsolated = 3;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

const char* ToString(store_access in) {
  switch (in) {
    case store_access::kDirect:
      return "direct";
    case store_access::kThroughPeer:
      return "through_peer";
    case store_access::kAwayForAll:
      return "away_for_all";
    case store_access::kIsolated:
      return "isolated";
  }
  return "unknown";
}

request_relay::request_relay(strand on, hooks hooks)
    : on_(std::move(on)), hooks_(std::move(hooks)) {}

void request_relay::Start() {
  RunEvery(on_, kProbeInterval, [this] {
    if (!hooks_.cut_off()) {
      EndOutage();
      return;
    }
    net::asio::spawn(
        on_, [this](const net::yield& yield) { Probe(yield); },
        net::asio::detached);
  });
}

void request_relay::Probe(const net::yield& yield) {
  if (!hooks_.cut_off()) {
    EndOutage();
    return;
  }
  const auto peer = hooks_.coordinator();
  if (peer.empty()) {
    SetAccess(hooks_.hears_others() ? store_access::kAwayForAll
                                    : store_access::kIsolated);
    return;
  }
  const auto reply = hooks_.call(peer, kStorePath, "", kProbeTimeout, yield);
  if (!reply) {
    if (++unanswered_ >= kUnansweredUntilIsolated) {
      SetAccess(store_access::kIsolated);
    } else if (away_access_ == store_access::kThroughPeer) {
      SetAccess(store_access::kAwayForAll);
    }
    return;
  }
  unanswered_ = 0;
  SetAccess(reply->status == kOk ? store_access::kThroughPeer
                                 : store_access::kAwayForAll);
}

void request_relay::EndOutage() {
  away_access_ = store_access::kAwayForAll;
  unanswered_ = 0;
}

void request_relay::SetAccess(store_access next) {
  if (next != away_access_ && hooks_.cut_off()) {
    hooks_.log("store_access_changed", {{"access", ToString(next)},
                                        {"before", ToString(away_access_)},
                                        {"coordinator", hooks_.coordinator()}});
  }
  away_access_ = next;
}

store_access request_relay::access() const {
  return hooks_.cut_off() ? away_access_ : store_access::kDirect;
}

result<net::http_reply> request_relay::Forward(const net::http_request& request,
                                               millis timeout,
                                               const net::yield& yield) {
  auto reply = hooks_.call(hooks_.coordinator(), kRequestPath,
                           EncodeRequest(request), timeout, yield);
  if (!reply) {
    return reply.last_reason();
  }
  if (reply->status < kOk || reply->status > kUnavailable) {
    return reason{"bad_answer", "status " + std::to_string(reply->status)};
  }
  net::http_reply out{reply->status, {}, std::move(reply->body)};
  for (auto& [name, value] : reply->headers) {
    if (!name.starts_with(':') && name != "content-length") {
      out.headers.emplace_back(std::move(name), std::move(value));
    }
  }
  return out;
}

std::string EncodeRequest(const net::http_request& in) {
  std::vector<std::string> headers;
  for (const auto& [name, value] : in.headers) {
    headers.push_back(name);
    headers.push_back(value);
  }
  return state::WriteCbor(
      state::Row(in.method, in.target, state::ToCbor(headers), in.body));
}

result<net::http_request> DecodeRequest(std::string_view bytes) {
  const std::string what = "a caller's request";
  auto parsed = state::ParseCborArray(bytes, what);
  if (!parsed) {
    return parsed.last_reason();
  }
  state::cbor_reader in(*parsed);
  net::http_request out;
  out.method = in.Text();
  out.target = in.Text();
  const auto headers = in.Texts();
  out.body = in.Text();
  if (!in.Finished() || headers.size() % 2 != 0) {
    return reason{"corrupt", what + " has the wrong fields"};
  }
  for (size_t i = 0; i < headers.size(); i += 2) {
    out.headers.emplace_back(headers[i], headers[i + 1]);
  }
  return out;
}

}  // namespace chiveglade::app
