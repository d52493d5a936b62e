// One request and its answer between an entry's stream and the worker.
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
#include "worker_pool.h"

namespace chiveglade::routing {

// Forwards one request that holds a slot. Used once, on one strand.
class worker_exchange {
 public:
  // How it ended. `code` is empty if the whole answer was passed on. With
  // `answer_started` the stream has been reset, else nothing was answered yet.
  struct report {
    verdict ran = verdict::kNotRun;
    std::string code = {};
    std::string detail = {};
    bool answer_started = false;
  };

  struct hooks {
    std::function<std::string()> load_header;  // asked when the answer starts
    std::function<void()> slow_reader;         // gives the slot back early
    // Tells the entry what became of a request without an answer. It must do
    // so before the rest of the body is given up, since an entry that still
    // sends it stops only then.
    std::function<void(const report&, net::yield)> refuse;
  };

  worker_exchange(const proxy_options& options,
                  const clock_fn& clock,
                  worker_pool& pool,
                  const net::h2_stream_ptr& entry,
                  boot_time deadline,
                  hooks hooks);

  report Run(const net::yield& yield);

 private:
  using parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  bool ReadFirstPart(const net::yield& yield);
  std::string RequestHead() const;
  report Send(const net::yield& yield);
  // Sends head and first part of the body; the number of bytes sent.
  size_t SendStart(const net::yield& yield, boost::system::error_code& error);
  void SendRest(const net::yield& yield);
  bool SendPart(std::string_view bytes, const net::yield& yield);
  report Receive(const net::yield& yield);
  bool ReadAnswerHead(const net::yield& yield,
                      boost::system::error_code& error);
  report PassOnBody(const net::yield& yield);
  bool WriteToEntry(std::string_view bytes, bool end, const net::yield& yield);
  net::header_list AnswerHead() const;
  report Lost(const boost::system::error_code& error) const;
  millis TimeLeft() const;

  const proxy_options& options_;
  const clock_fn& clock_;
  worker_pool& pool_;
  const net::h2_stream_ptr& entry_;
  const boot_time deadline_;
  const hooks hooks_;
  std::string method_;
  std::unique_ptr<worker_pool::stream> worker_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  std::vector<char> part_;   // the first part of the body
  bool body_whole_ = false;  // `part_` is all of it
  bool body_sent_ = false;   // to its end
  bool chunked_ = false;
  side_task upload_;
};

}  // namespace chiveglade::routing

#endif  // CHIVEGLADE_SRC_ROUTING_WORKER_EXCHANGE_H_
