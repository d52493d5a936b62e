// Short messages to other processes of the system.
#ifndef CHIVEGLADE_APP_PEER_CALL_H_
#define CHIVEGLADE_APP_PEER_CALL_H_

#include <string>

#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/net/h2_client.h"
#include "peer_pool.h"

namespace chiveglade::app {

// Paths served on peer addresses.
inline constexpr char kReportPath[] = "/report";
inline constexpr char kOrdersPath[] = "/orders";
inline constexpr char kLeaderPath[] = "/leader";    // a new coordinator
inline constexpr char kClaimPath[] = "/claim";      // body: a candidate
inline constexpr char kPhasePath[] = "/phase";      // body: a job's ID
inline constexpr char kPendingPath[] = "/pending";  // body: a queue's name
// Body: a room_question; answered with a job_room.
inline constexpr char kJobRoomPath[] = "/job-room";
inline constexpr char kStorePath[] = "/store";      // 200 if it is reached
inline constexpr char kRequestPath[] = "/request";  // body: a caller's request

// Connections between processes are closed after this long without a byte: a
// connection may go silent without a reset.
constexpr millis kPeerIdleTimeout{2'400};

net::h2_options PeerOptions();

// Sends `body` to a path of a process and returns its answer. A reason
// "bad_address" if there is no such address; other reasons if there was no
// whole answer in time.
result<net::h2_reply> CallPeer(peer_pool& peers,
                               const std::string& address,
                               const char* path,
                               const std::string& body,
                               millis timeout,
                               const net::yield& yield);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_PEER_CALL_H_
