#include "manifest_fetch.h"

#include <utility>

namespace chiveglade::app {

namespace {

constexpr millis kFetchTimeout{3'000};
constexpr size_t kMaxVersionDigits = 18;

}  // namespace

net::header_list PeerGet(const std::string& path) {
  return {{":method", "GET"},
          {":scheme", "http"},
          {":authority", "chiveglade"},
          {":path", path}};
}

void Reply(net::h2_stream& stream,
           int status,
           const net::header_list& headers,
           const std::string& body,
           const net::yield& yield) {
  net::header_list fields = {{":status", std::to_string(status)}};
  fields.insert(fields.end(), headers.begin(), headers.end());
  if (stream.WriteHeaders(fields, body.empty(), yield) && !body.empty()) {
    // A peer that has gone needs no answer.
    (void)stream.Write(body, true, yield);
  }
}

result<held_manifest> FetchManifest(net::h2_client& peer,
                                    const net::yield& yield) {
  const auto reply =
      net::Exchange(peer, PeerGet(kManifestPath), "", config::kMaxManifestBytes,
                    kFetchTimeout, yield);
  if (!reply) {
    return reply.last_reason();
  }
  const std::string version(
      net::FindHeader(reply->headers, kManifestVersionHeader));
  if (reply->status != 200 || version.empty() ||
      version.size() > kMaxVersionDigits ||
      version.find_first_not_of("0123456789") != std::string::npos) {
    return reason{"no_manifest", "the peer holds no manifest"};
  }
  auto parsed = config::ParseManifest(reply->body, "manifest of a peer");
  if (!parsed.value) {
    return reason{"bad_manifest", config::ToString(parsed.problems.front())};
  }
  return held_manifest{
      std::stoull(version), std::make_shared<const std::string>(reply->body),
      std::make_shared<const config::manifest>(*std::move(parsed.value))};
}

void ServeManifest(const held_manifest& held,
                   net::h2_stream& stream,
                   const net::yield& yield) {
  if (held.version == 0) {
    Reply(stream, 404, {}, "", yield);
    return;
  }
  Reply(stream, 200, {{kManifestVersionHeader, std::to_string(held.version)}},
        *held.text, yield);
}

}  // namespace chiveglade::app
