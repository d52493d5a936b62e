// Serves callers through another gateway while this one is cut off from the
// store.
#ifndef CHIVEGLADE_APP_REQUEST_RELAY_H_
#define CHIVEGLADE_APP_REQUEST_RELAY_H_

#include <functional>
#include <string>

#include "await.h"
#include "chiveglade/core/clock.h"
#include "chiveglade/core/result.h"
#include "chiveglade/net/h2_client.h"
#include "chiveglade/net/http_message.h"
#include "chiveglade/observe/event_log.h"

namespace chiveglade::app {

// How a gateway can serve callers at present.
enum class store_access {
  kDirect,       // it reaches the store and has the settings in force
  kThroughPeer,  // the coordinator's gateway does, and answers
  kAwayForAll,   // nobody is known to reach it
  kIsolated,     // neither the store nor the coordinator's gateway is reached
};

const char* ToString(store_access in);

// Answers cuts between single VMs and the store, and changes of the operators'
// settings that do not arrive: while this process is cut off, asks the
// coordinator's gateway whether it is well, which it must be to keep its role.
// Everything runs on `on`.
class request_relay {
 public:
  struct hooks {
    // True while this process does not reach the store, or does not know the
    // settings in force.
    std::function<bool()> cut_off;
    // Peer address of the coordinator; empty if there is none, or if it is
    // this process.
    std::function<std::string()> coordinator;
    // True if this process has heard of others lately; asked only if it
    // coordinates itself.
    std::function<bool()> hears_others;
    std::function<result<net::h2_reply>(const std::string& address,
                                        const char* path,
                                        const std::string& body,
                                        millis timeout,
                                        const net::yield& yield)>
        call;
    std::function<void(const char*, const observe::log_fields&)> log;
  };

  request_relay(strand on, hooks hooks);

  // Asks from time to time from now on.
  void Start();
  // Asks once, if this process is cut off.
  void Probe(const net::yield& yield);

  store_access access() const;

  // The peer's reply to a caller's request. A reason if there was none: the
  // peer may have acted on it.
  result<net::http_reply> Forward(const net::http_request& request,
                                  millis timeout,
                                  const net::yield& yield);

 private:
  void SetAccess(store_access next);
  // Forgets what was found out: the next outage is judged anew.
  void EndOutage();

  strand on_;
  hooks hooks_;
  store_access away_access_ = store_access::kAwayForAll;
  uint32_t unanswered_ = 0;  // probes in a row
};

// A caller's request as handed to a peer. Reading gives "corrupt" as the
// reason.
std::string EncodeRequest(const net::http_request& in);
result<net::http_request> DecodeRequest(std::string_view bytes);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_REQUEST_RELAY_H_
