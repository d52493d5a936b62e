// Fetching of the manifest from another process of the system.
#ifndef CHIVEGLADE_APP_MANIFEST_FETCH_H_
#define CHIVEGLADE_APP_MANIFEST_FETCH_H_

#include <cstdint>
#include <memory>
#include <string>

#include "chiveglade/config/manifest.h"
#include "chiveglade/core/result.h"
#include "chiveglade/net/h2_client.h"

namespace chiveglade::app {

// Path served on peer addresses, and the header of its answer.
constexpr char kManifestPath[] = "/manifest";
constexpr char kManifestVersionHeader[] = "chiveglade-manifest-version";

// A manifest as a peer holds it. Immutable.
struct held_manifest {
  uint64_t version = 0;  // 0: none
  std::shared_ptr<const std::string> text;
  std::shared_ptr<const config::manifest> value;
};

// Asks a peer for its manifest and checks it.
result<held_manifest> FetchManifest(net::h2_client& peer,
                                    const net::yield& yield);

// Answers kManifestPath; 404 if none is held.
void ServeManifest(const held_manifest& held,
                   net::h2_stream& stream,
                   const net::yield& yield);

// The header fields of a GET to another process of the system. The peer is
// known by its connection, so the authority is a fixed word.
net::header_list PeerGet(const std::string& path);

// Sends a whole answer.
void Reply(net::h2_stream& stream,
           int status,
           const net::header_list& headers,
           const std::string& body,
           const net::yield& yield);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_MANIFEST_FETCH_H_
