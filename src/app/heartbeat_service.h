// Answers the messages that agents and other entries send to an entry.
#ifndef CHIVEGLADE_APP_HEARTBEAT_SERVICE_H_
#define CHIVEGLADE_APP_HEARTBEAT_SERVICE_H_

#include <functional>
#include <string>

#include "chiveglade/net/h2_server.h"
#include "chiveglade/net/http_message.h"
#include "entry_context.h"

namespace chiveglade::app {

// Paths served on the peer address.
constexpr char kHeartbeatPath[] = "/heartbeat";
// Operators' questions that only the scheduler can answer.
constexpr char kSchedulerPrefix[] = "/scheduler";

// Thread-safe. `answer_question` answers a path below kSchedulerPrefix.
class heartbeat_service {
 public:
  using question_fn =
      std::function<net::http_reply(const std::string& path, net::yield)>;

  heartbeat_service(entry_context& context, question_fn answer_question);

  // The handler for the entry's h2_server.
  void Handle(const net::h2_stream_ptr& stream, const net::yield& yield);

 private:
  void HandleHeartbeat(const net::h2_stream_ptr& stream,
                       const net::yield& yield);
  void FillIn(const state::heartbeat& message,
              state::heartbeat_answer& answer) const;
  // Fetches the manifest from an agent that has a newer one, for the time when
  // the store cannot be read.
  void AdoptNewer(const state::heartbeat& message, const net::yield& yield);

  entry_context& context_;
  question_fn answer_question_;
};

// Whether a data centre's row says that it is out of service.
bool IsOut(const store::row& data_centre);

// Reads the body of a stream; fails if it is longer than `max_bytes`.
result<std::string> ReadBody(net::h2_stream& stream,
                             size_t max_bytes,
                             const net::yield& yield);

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_HEARTBEAT_SERVICE_H_
