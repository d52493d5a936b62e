#include <algorithm>
#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <charconv>
#include <utility>

#include "chiveglade/net/h2_client.h"
#include "src/net/await.h"
#include "src/net/h2_stream_state.h"

namespace chiveglade::net {

namespace {

using exchanged = result<h2_reply>;

// One exchange and its timer, both on one strand.
struct exchange {
  explicit exchange(const asio::any_io_executor& on) : timer(on) {}

  asio::steady_timer timer;
  header_list fields;
  std::string body;
  size_t max_bytes = 0;
  h2_stream_ptr stream;
  resume_fn<exchanged> then;  // empty once the caller has been answered
};

result<done> ReadBody(h2_stream& from,
                      size_t max_bytes,
                      std::string& into,
                      const yield& yield) {
  std::array<char, 4'096> chunk;
  for (;;) {
    const auto size = from.Read(chunk.data(), chunk.size(), yield);
    if (!size) {
      return size.last_reason();
    }
    if (*size == 0) {
      return done{};
    }
    if (into.size() + *size > max_bytes) {
      from.Reset(h2_error::kCancel);
      return reason{"answer_too_large", "the answer exceeds the limit"};
    }
    into.append(chunk.data(), *size);
  }
}

exchanged Receive(h2_stream& from, size_t max_bytes, const yield& yield) {
  auto headers = from.ReadHeaders(yield);
  if (!headers) {
    return headers.last_reason();
  }
  h2_reply out;
  out.headers = *std::move(headers);
  const auto status = FindHeader(out.headers, ":status");
  std::from_chars(status.data(), status.data() + status.size(), out.status);
  if (const auto read = ReadBody(from, max_bytes, out.body, yield); !read) {
    return read.last_reason();
  }
  return out;
}

exchanged Run(h2_client& client, exchange& call, const yield& yield) {
  auto stream = client.Open(call.fields, call.body.empty(), yield);
  if (!stream) {
    return stream.last_reason();
  }
  call.stream = *stream;
  if (!call.then) {
    call.stream->Reset(h2_error::kCancel);
    return reason{"exchange_timeout", "the time was over"};
  }
  if (!call.body.empty()) {
    // A peer may answer without reading the whole body, so a failure to send
    // is judged by what it answers.
    (void)call.stream->Write(call.body, true, yield);
  }
  return Receive(*call.stream, call.max_bytes, yield);
}

void AwaitTimeout(const std::shared_ptr<exchange>& call, millis timeout) {
  call->timer.expires_after(timeout);
  call->timer.async_wait([call](const boost::system::error_code& error) {
    if (error || !call->then) {
      return;
    }
    Resume(call->then,
           exchanged(reason{"exchange_timeout", "no whole answer in time"}));
    if (call->stream) {
      call->stream->TimeOut();
    }
  });
}

// Half of the time is left for the acknowledgement of a PING, which tells a
// slow handler from a connection that has gone silent.
void StartTimer(const std::shared_ptr<exchange>& call, millis timeout) {
  const millis probe_after = timeout / 2;
  call->timer.expires_after(probe_after);
  call->timer.async_wait([call, rest = timeout - probe_after](
                             const boost::system::error_code& error) {
    if (error || !call->then) {
      return;
    }
    if (call->stream) {
      call->stream->Probe();
    }
    AwaitTimeout(call, rest);
  });
}

}  // namespace

result<h2_reply> Exchange(h2_client& client,
                          const header_list& fields,
                          const std::string& body,
                          size_t max_bytes,
                          millis timeout,
                          yield yield) {
  return Await<exchanged>(yield, [&](resume_fn<exchanged> then) {
    const asio::any_io_executor strand =
        asio::make_strand(yield.get_executor());
    const auto call = std::make_shared<exchange>(strand);
    call->fields = fields;
    call->body = body;
    call->max_bytes = max_bytes;
    call->then = std::move(then);
    StartTimer(call, timeout);
    asio::spawn(
        strand,
        [&client, call](const net::yield& inner) {
          // The caller, and so the client, is there until it is answered, and
          // Open does not use the client after it has been suspended.
          if (call->then) {
            auto outcome = Run(client, *call, inner);
            call->timer.cancel();
            Resume(call->then, std::move(outcome));
          }
        },
        asio::detached);
  });
}

}  // namespace chiveglade::net
