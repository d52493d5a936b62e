// Forwards one request from an entry's stream to the worker and the response
// back.
#ifndef CHIVEGLADE_SRC_ROUTING_WORKER_EXCHANGE_H_
#define CHIVEGLADE_SRC_ROUTING_WORKER_EXCHANGE_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chiveglade/net/h2_stream.h"
#include "side_task.h"
#include "worker_connection_pool.h"

namespace chiveglade::routing {

// Handles one request that holds a slot. Runs once, on a single strand.
class worker_exchange {
 public:
  // How the exchange ended.
  struct report {
    verdict ran = verdict::kNotRun;
    std::string code = {};    // empty if the whole response was passed on
    std::string detail = {};  // for a person
    // The entry can't be sent a refusal any more. If `code` is set too, the
    // entry's stream has been reset or is lost.
    bool response_started = false;
  };

  struct hooks {
    // Returns the value of the load header. Called when the response starts.
    std::function<std::string()> load_header;
    // Releases the slot early, since the entry reads the response too slowly.
    // May be called more than once.
    std::function<void()> release_slot;
    // Tells the entry how a request without a response ended. Called before the
    // upload of the body is stopped, because an entry that is still sending the
    // body stops only on this.
    std::function<void(const report&, net::yield)> refuse;
  };

  worker_exchange(const proxy_options& options,
                  const clock_fn& clock,
                  worker_connection_pool& pool,
                  const net::h2_stream_ptr& entry,
                  boot_time deadline,
                  hooks hooks);

  // Returns after the exchange has ended, including the upload of the body.
  report Run(const net::yield& yield);

 private:
  using parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  // Reads the start of the body and chooses the framing for the worker. False
  // if the entry's stream has ended early.
  bool ReadFirstPart(const net::yield& yield);
  std::string RequestHead() const;
  // Sends the start of the request and begins the upload of the rest. The code
  // of the result is empty on success.
  report Send(const net::yield& yield);
  // Sends the head and the first part of the body. Returns the number of bytes
  // sent, also on an error.
  size_t SendFirstPart(const net::yield& yield,
                       boost::system::error_code& error);
  void SendRest(const net::yield& yield);
  // Sends one part of the body, as a chunk if the body is chunked. Empty
  // `bytes` send the last chunk.
  bool SendPart(std::string_view bytes, const net::yield& yield);
  report Receive(const net::yield& yield);
  bool ReadResponseHead(const net::yield& yield,
                        boost::system::error_code& error);
  report PassOnBody(const net::yield& yield);
  // Writes to the entry. Releases the slot if this takes longer than
  // `slow_reader`, and resets the stream after a further `stall_timeout`.
  bool WriteToEntry(std::string_view bytes, bool end, const net::yield& yield);
  net::header_list ResponseHead() const;
  // The report for a worker connection that failed before a response started.
  report Lost(const boost::system::error_code& error) const;
  // Until the deadline, at least 1 ms.
  millis TimeLeft() const;

  const proxy_options& options_;
  const clock_fn& clock_;
  worker_connection_pool& pool_;
  const net::h2_stream_ptr& entry_;
  const boot_time deadline_;
  const hooks hooks_;
  std::string method_;
  std::unique_ptr<worker_connection_pool::stream> worker_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  std::vector<char> first_part_;  // of the body, read before it is sent
  bool body_whole_ = false;       // `first_part_` is the whole body
  bool body_sent_ = false;        // the whole body was sent
  bool chunked_ = false;          // the request uses chunked transfer coding
  side_task upload_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_WORKER_EXCHANGE_H_
