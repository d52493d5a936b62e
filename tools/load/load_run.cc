#include "tools/load/load_run.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

namespace chiveglade::load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using steady = std::chrono::steady_clock;
using yield_context = asio::yield_context;

struct connection {
  explicit connection(asio::io_context& loop) : stream(loop) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool open = false;
};
using connection_ptr = std::unique_ptr<connection>;

class load_run {
 public:
  load_run(const run_options& options, load_report& report)
      : options_(options), report_(report) {}

  void Run() {
    end_ = steady::now() + options_.length;
    if (options_.rate > 0) {
      Spawn([this](const yield_context& yield) { SendAtRate(yield); });
    } else {
      for (uint32_t i = 0; i < options_.connections; ++i) {
        Spawn([this](const yield_context& yield) { SendInTurn(yield); });
      }
    }
    loop_.run();
  }

 private:
  template <typename Body>
  void Spawn(Body body) {
    asio::spawn(loop_, std::move(body), asio::detached);
  }

  bool MoreToSend() const {
    return next_ < options_.max_requests && steady::now() < end_;
  }

  void SendInTurn(const yield_context& yield) {
    auto at = std::make_unique<connection>(loop_);
    while (MoreToSend()) {
      Send(*at, next_++, steady::now(), yield);
    }
  }

  void SendAtRate(const yield_context& yield) {
    const auto start = steady::now();
    asio::steady_timer timer(loop_);
    while (MoreToSend()) {
      const auto due =
          start + std::chrono::duration_cast<steady::duration>(
                      std::chrono::duration<double>(static_cast<double>(next_) /
                                                    options_.rate));
      if (due > steady::now()) {
        error_code ignored;
        timer.expires_at(due);
        timer.async_wait(yield[ignored]);
      }
      const uint64_t number = next_++;
      if (open_ >= options_.connections) {
        report_.Add({IdOf(number), "", "", "not_sent"});
        continue;
      }
      ++open_;
      Spawn([this, number, due](const yield_context& inner) {
        SendOnIdle(number, due, inner);
      });
    }
  }

  void SendOnIdle(uint64_t number,
                  steady::time_point due,
                  const yield_context& yield) {
    connection_ptr at;
    if (idle_.empty()) {
      at = std::make_unique<connection>(loop_);
    } else {
      at = std::move(idle_.back());
      idle_.pop_back();
    }
    Send(*at, number, due, yield);
    --open_;
    if (at->open) {
      idle_.push_back(std::move(at));
    }
  }

  std::string IdOf(uint64_t number) const {
    return options_.id_prefix + "-" + std::to_string(number);
  }

  bool Connect(connection& at, uint64_t number, const yield_context& yield) {
    const auto& target = options_.targets[number % options_.targets.size()];
    error_code error;
    at.stream.expires_after(options_.timeout);
    at.stream.async_connect({asio::ip::make_address(target.ip), target.port},
                            yield[error]);
    at.buffer.clear();
    at.open = !error;
    if (at.open) {
      at.stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    return at.open;
  }

  http::request<http::string_body> MakeRequest(const request_kind& kind,
                                               const observation& seen) const {
    http::request<http::string_body> out{
        http::string_to_verb(kind.method),
        beast::string_view(kind.path.data(), kind.path.size()), 11};
    out.set(http::field::host, "load");
    out.set("chiveglade-request-id", seen.id);
    if (!seen.key.empty()) {
      out.set("idempotency-key", seen.key);
    }
    if (kind.method != "GET" && kind.method != "HEAD") {
      out.body() = seen.id + " " + std::string(kind.body_bytes, 'x');
      out.prepare_payload();
    }
    return out;
  }

  void Send(connection& at,
            uint64_t number,
            steady::time_point due,
            const yield_context& yield) {
    const auto& kind = KindOf(options_.requests, number);
    observation seen;
    seen.id = IdOf(number);
    seen.key = kind.key ? "key-" + seen.id : "";
    seen.klass = kind.klass;
    seen.verdict = "not_run";
    if (at.open || Connect(at, number, yield)) {
      seen.verdict = "may_have_run";
      Exchange(at, MakeRequest(kind, seen), seen, yield);
    }
    seen.latency = std::chrono::duration_cast<std::chrono::microseconds>(
        steady::now() - due);
    report_.Add(seen);
  }

  void Exchange(connection& at,
                const http::request<http::string_body>& request,
                observation& seen,
                const yield_context& yield) {
    error_code error;
    at.stream.expires_after(options_.timeout);
    http::async_write(at.stream, request, yield[error]);
    // Even if the write failed, the answer to what was sent may be there.
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(request.method() == http::verb::head);
    error = {};
    http::async_read(at.stream, at.buffer, parser, yield[error]);
    at.open = !error && parser.keep_alive();
    if (!at.open) {
      at.stream.close();
    }
    if (parser.is_header_done()) {
      Check(parser.get(), static_cast<bool>(error), seen);
    }
  }

  void Check(const http::response<http::string_body>& answer,
             bool broken,
             observation& seen) const {
    const auto verdict = answer["chiveglade-verdict"];
    const auto id = answer["chiveglade-request-id"];
    seen.broken = broken;
    if (broken) {
      return;  // an aborted answer is no answer
    }
    seen.status = static_cast<int>(answer.result_int());
    seen.verdict = verdict.empty() ? "ran" : std::string(verdict);
    const bool in_body = answer.body().find(seen.id) != std::string::npos ||
                         answer.body().empty() || !verdict.empty() ||
                         !options_.body_has_id;
    seen.wrong = beast::string_view(seen.id) != id || !in_body;
  }

  const run_options& options_;
  load_report& report_;
  asio::io_context loop_{1};
  std::vector<connection_ptr> idle_;
  steady::time_point end_;
  uint64_t next_ = 0;
  uint32_t open_ = 0;
};

}  // namespace

void RunLoad(const run_options& options, load_report& report) {
  load_run(options, report).Run();
}

}  // namespace chiveglade::load
