#include "request_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <xxhash.h>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "chiveglade/core/clock.h"
#include "control.h"

namespace chiveglade::standin {

namespace asio = net::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t kChunkBytes = size_t{16} * 1024;
constexpr uint64_t kMaxHeaderBytes = uint64_t{64} * 1024;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr char kRequestId[] = "chiveglade-request-id";

std::string Field(const auto& request, const char* name) {
  const auto at = request.find(name);
  return at == request.end() ? std::string() : std::string(at->value());
}

// The number in a header, or `otherwise`.
uint64_t Number(const auto& request, const char* name, uint64_t otherwise) {
  const auto text = Field(request, name);
  uint64_t out = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && !text.empty() ? out : otherwise;
}

std::string Hexadecimal(uint64_t value) {
  std::array<char, 17> text{};
  const int size = std::snprintf(text.data(), text.size(), "%016llx",
                                 static_cast<unsigned long long>(value));
  return {text.data(), static_cast<size_t>(size)};
}

}  // namespace

request_server::connection::~connection() {
  if (counted) {
    --counted->open_connections;
  }
}

result<std::shared_ptr<request_server>> request_server::Make(
    asio::io_context& loop,
    server_options options,
    task_table& tasks,
    history& past,
    random_fn random) {
  std::shared_ptr<request_server> out(new request_server(
      loop, std::move(options), tasks, past, std::move(random)));
  error_code error;
  const auto ip = asio::ip::make_address(out->options_.ip, error);
  if (error) {
    return reason{"bad_address", out->options_.ip + " is no IP address"};
  }
  const tcp::endpoint at(ip, out->options_.port);
  (void)out->acceptor_.open(at.protocol(), error);
  if (!error) {
    out->acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    (void)out->acceptor_.bind(at, error);
  }
  if (!error) {
    (void)out->acceptor_.listen(asio::socket_base::max_listen_connections,
                                error);
  }
  if (error) {
    return reason{"listen", error.message()};
  }
  out->port_ = out->acceptor_.local_endpoint().port();
  return out;
}

request_server::request_server(asio::io_context& loop,
                               server_options options,
                               task_table& tasks,
                               history& past,
                               random_fn random)
    : loop_(loop),
      options_(std::move(options)),
      tasks_(tasks),
      past_(past),
      random_(std::move(random)),
      acceptor_(loop) {}

void request_server::Start() {
  asio::spawn(
      loop_,
      [self = shared_from_this()](const net::yield& yield) {
        self->Accept(yield);
      },
      asio::detached);
}

void request_server::Stop() {
  error_code ignored;
  (void)acceptor_.close(ignored);
}

void request_server::Accept(const net::yield& yield) {
  while (acceptor_.is_open()) {
    error_code error;
    auto socket = acceptor_.async_accept(yield[error]);
    if (error) {
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto on = std::make_shared<connection>(std::move(socket));
    asio::spawn(
        loop_,
        [self = shared_from_this(), on](const net::yield& inner) {
          self->Serve(*on, inner);
        },
        asio::detached);
  }
}

void request_server::Serve(connection& on, const net::yield& yield) {
  while (ServeOne(on, yield)) {
  }
}

// Whether the connection can be used again.
bool request_server::ServeOne(connection& on, const net::yield& yield) {
  parser request;
  request.body_limit(boost::none);
  request.header_limit(kMaxHeaderBytes);
  error_code error;
  http::async_read_header(on.socket, on.buffer, request, yield[error]);
  if (error) {
    return false;
  }
  if (!Field(request.get(), "chiveglade-service").empty()) {
    return ServeReplica(on, request, yield);
  }
  received body;
  return ReadBody(on, request, true, body, yield) &&
         ServeControl(on, request, body.text, yield);
}

bool request_server::ReadBody(connection& on,
                              parser& request,
                              bool keep,
                              received& out,
                              const net::yield& yield) {
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> digest(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(digest.get(), 0);
  std::array<char, 4096> chunk{};
  while (!request.is_done()) {
    auto& body = request.get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    error_code error;
    http::async_read(on.socket, on.buffer, request, yield[error]);
    if (error && error != http::error::need_buffer) {
      return false;
    }
    const size_t size = chunk.size() - body.size;
    XXH64_update(digest.get(), chunk.data(), size);
    out.bytes += size;
    if (keep) {
      out.text.append(chunk.data(), size);
    }
  }
  out.digest = Hexadecimal(XXH64_digest(digest.get()));
  return true;
}

bool request_server::ServeControl(connection& on,
                                  const parser& request,
                                  const std::string& body,
                                  const net::yield& yield) {
  const auto reply = HandleControl(std::string(request.get().method_string()),
                                   std::string(request.get().target()), body,
                                   tasks_, past_, boot_clock::now());
  if (random_() % 100 < options_.lose_answers_pct) {
    return false;
  }
  return Answer(on, request, reply.status, reply.body, {}, yield);
}

bool request_server::ServeReplica(connection& on,
                                  parser& request,
                                  const net::yield& yield) {
  const auto by =
      tasks_.FindReplica(Field(request.get(), "chiveglade-service"));
  if (!by) {
    return Refuse(on, request, "no_replica", yield);
  }
  if (!CountConnection(on, by)) {
    past_.AddViolation(boot_clock::now(),
                       "too many connections to " + by->service);
    return Refuse(on, request, "connections", yield);
  }
  if (by->in_use >= by->slots) {
    past_.AddViolation(boot_clock::now(),
                       "too many requests at once at " + by->service);
    return Refuse(on, request, "slots", yield);
  }
  ++by->in_use;
  const bool keep = Execute(on, request, by, yield);
  --by->in_use;
  return keep;
}

bool request_server::CountConnection(connection& on,
                                     const std::shared_ptr<replica>& by) {
  if (on.counted == by) {
    return true;
  }
  if (by->open_connections >= by->max_connections) {
    return false;
  }
  if (on.counted) {
    --on.counted->open_connections;
  }
  on.counted = by;
  ++by->open_connections;
  return true;
}

bool request_server::Execute(connection& on,
                             parser& request,
                             const std::shared_ptr<replica>& by,
                             const net::yield& yield) {
  received in;
  if (!ReadBody(on, request, false, in, yield)) {
    return false;
  }
  const auto& head = request.get();
  const size_t index = past_.AddRequest({by->service,
                                         by->attempt,
                                         Field(head, kRequestId),
                                         Field(head, "idempotency-key"),
                                         std::string(head.method_string()),
                                         std::string(head.target()),
                                         in.digest,
                                         boot_clock::now(),
                                         {},
                                         false});
  const auto undisturbed = Number(head, "chiveglade-execution-ms",
                                  static_cast<uint64_t>(by->execution.count()));
  asio::steady_timer timer(loop_);
  timer.expires_after(
      std::chrono::microseconds(undisturbed * 10 * by->slowdown_pct));
  error_code ignored;
  timer.async_wait(yield[ignored]);
  bool keep = by->live;
  if (keep) {
    const auto bytes = Number(head, "chiveglade-answer-bytes", UINT64_MAX);
    const auto body =
        nlohmann::json{{"request_id", Field(head, kRequestId)},
                       {"service", by->service},
                       {"body_digest", in.digest},
                       {"body_bytes", in.bytes}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    keep = bytes == UINT64_MAX ? Answer(on, request, kOk, body, in, yield)
                               : Stream(on, request, bytes, in, yield);
    past_.Request(index).answered = keep;
  }
  past_.Request(index).ended = boot_clock::now();
  return keep;
}

bool request_server::Answer(connection& on,
                            const parser& request,
                            int status,
                            const std::string& body,
                            const received& in,
                            const net::yield& yield) {
  http::response<http::string_body> reply(static_cast<http::status>(status),
                                          request.get().version(), body);
  reply.set(http::field::content_type, "application/json");
  if (!in.digest.empty()) {
    reply.set(kRequestId, Field(request.get(), kRequestId));
    reply.set("chiveglade-body-digest", in.digest);
  }
  reply.keep_alive(request.get().keep_alive());
  reply.prepare_payload();
  error_code error;
  http::async_write(on.socket, reply, yield[error]);
  return !error && reply.keep_alive();
}

bool request_server::Stream(connection& on,
                            const parser& request,
                            uint64_t bytes,
                            const received& in,
                            const net::yield& yield) {
  http::response<http::empty_body> head(http::status::ok,
                                        request.get().version());
  head.set(kRequestId, Field(request.get(), kRequestId));
  head.set("chiveglade-body-digest", in.digest);
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  error_code error;
  http::async_write_header(on.socket, serializer, yield[error]);
  std::string chunk(kChunkBytes, '\0');
  for (uint64_t sent = 0; sent < bytes && !error;) {
    const auto size = std::min<uint64_t>(kChunkBytes, bytes - sent);
    for (size_t i = 0; i < size; ++i) {
      chunk[i] = static_cast<char>('a' + (sent + i) % 26);
    }
    asio::async_write(on.socket, http::make_chunk(asio::buffer(chunk, size)),
                      yield[error]);
    sent += size;
  }
  if (!error) {
    asio::async_write(on.socket, http::make_chunk_last(), yield[error]);
  }
  return !error && request.get().keep_alive();
}

bool request_server::Refuse(connection& on,
                            const parser& request,
                            const std::string& code,
                            const net::yield& yield) {
  // The body was not read, so the connection cannot be used again.
  http::response<http::string_body> reply(
      static_cast<http::status>(kUnavailable), request.get().version(),
      nlohmann::json{{"verdict", "not_run"}, {"reason", code}}.dump());
  reply.set(http::field::content_type, "application/json");
  reply.set("chiveglade-verdict", "not_run");
  reply.keep_alive(request.is_done() && request.get().keep_alive());
  reply.prepare_payload();
  error_code error;
  http::async_write(on.socket, reply, yield[error]);
  return !error && reply.keep_alive();
}

}  // namespace chiveglade::standin
