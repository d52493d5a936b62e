// The HTTP/1.1 side of the worker stand-in: control calls and replicas.
#ifndef CHIVEGLADE_TOOLS_WORKER_STANDIN_REQUEST_SERVER_H_
#define CHIVEGLADE_TOOLS_WORKER_STANDIN_REQUEST_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "chiveglade/core/random.h"
#include "chiveglade/core/result.h"
#include "chiveglade/net/executor.h"
#include "history.h"
#include "task_table.h"

namespace chiveglade::standin {

struct server_options {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;
  // Percent of control calls whose answer is lost after they took effect.
  uint32_t lose_answers_pct = 0;
};

// A request with the header chiveglade-service goes to that replica: it takes a
// slot, runs for the replica's execution time (or chiveglade-execution-ms) and
// answers with the request id and a digest of the body; with the header
// chiveglade-answer-bytes the answer is a stream of that many bytes. Other
// requests are control calls. All on one thread.
class request_server : public std::enable_shared_from_this<request_server> {
 public:
  static result<std::shared_ptr<request_server>> Make(
      net::asio::io_context& loop,
      server_options options,
      task_table& tasks,
      history& past,
      random_fn random);

  void Start();
  // Accepts no more connections; open ones end with the loop.
  void Stop();
  uint16_t port() const { return port_; }

 private:
  using tcp = net::asio::ip::tcp;
  using parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  struct connection {
    explicit connection(tcp::socket in) : socket(std::move(in)) {}
    ~connection();
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<replica> counted;  // holds one of its connections
  };
  struct received {
    std::string digest;
    uint64_t bytes = 0;
    std::string text;  // only of control calls
  };

  request_server(net::asio::io_context& loop,
                 server_options options,
                 task_table& tasks,
                 history& past,
                 random_fn random);

  void Accept(const net::yield& yield);
  void Serve(connection& on, const net::yield& yield);
  bool ServeOne(connection& on, const net::yield& yield);
  bool ReadBody(connection& on,
                parser& request,
                bool keep,
                received& out,
                const net::yield& yield);
  bool ServeControl(connection& on,
                    const parser& request,
                    const std::string& body,
                    const net::yield& yield);
  bool ServeReplica(connection& on, parser& request, const net::yield& yield);
  bool Execute(connection& on,
               parser& request,
               const std::shared_ptr<replica>& by,
               const net::yield& yield);
  bool CountConnection(connection& on, const std::shared_ptr<replica>& by);
  bool Answer(connection& on,
              const parser& request,
              int status,
              const std::string& body,
              const received& in,
              const net::yield& yield);
  bool Stream(connection& on,
              const parser& request,
              uint64_t bytes,
              const received& in,
              const net::yield& yield);
  bool Refuse(connection& on,
              const parser& request,
              const std::string& code,
              const net::yield& yield);

  net::asio::io_context& loop_;
  server_options options_;
  task_table& tasks_;
  history& past_;
  random_fn random_;
  tcp::acceptor acceptor_;
  uint16_t port_ = 0;
};

}  // namespace chiveglade::standin

#endif  // CHIVEGLADE_TOOLS_WORKER_STANDIN_REQUEST_SERVER_H_
