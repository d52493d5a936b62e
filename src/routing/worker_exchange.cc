#include "worker_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <utility>

#include "http_fields.h"

namespace chiveglade::routing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Size of the buffer for each direction, and of the first part of the body.
constexpr size_t kPartBytes = 16'384;

std::string ChunkHead(size_t size) {
  std::array<char, 16> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), size, 16).ptr;
  return std::string(text.data(), end) + "\r\n";
}

}  // namespace

worker_exchange::worker_exchange(const proxy_options& options,
                                 const clock_fn& clock,
                                 worker_connection_pool& pool,
                                 const net::h2_stream_ptr& entry,
                                 boot_time deadline,
                                 hooks hooks)
    : options_(options),
      clock_(clock),
      pool_(pool),
      entry_(entry),
      deadline_(deadline),
      hooks_(std::move(hooks)),
      method_(net::FindHeader(entry->request_headers(), ":method")) {}

millis worker_exchange::TimeLeft() const {
  return std::max(deadline_ - clock_(), millis(1));
}

worker_exchange::report worker_exchange::Run(const net::yield& yield) {
  if (!ReadFirstPart(yield)) {
    return {verdict::kNotRun, "cancelled",
            "the entry's stream was reset or lost", true};
  }
  auto out = Send(yield);
  if (out.code.empty()) {
    out = Receive(yield);
  }
  if (!out.code.empty() && !out.response_started) {
    hooks_.refuse(out, yield);
  }
  if (upload_.running()) {
    // The response came before the end of the body, or there is none. The entry
    // resets the stream when it has the end of the response, which ends the
    // upload.
    worker_->close();
    upload_.Join(yield);
  }
  if (out.code.empty() && parser_->keep_alive() && body_sent_ &&
      buffer_.size() == 0) {
    pool_.Put(std::move(worker_));
  }
  return out;
}

bool worker_exchange::ReadFirstPart(const net::yield& yield) {
  const auto length =
      net::FindHeader(entry_->request_headers(), "content-length");
  first_part_.resize(kPartBytes);
  size_t bytes_read = 0;
  while (bytes_read < first_part_.size()) {
    const auto got = entry_->Read(first_part_.data() + bytes_read,
                                  first_part_.size() - bytes_read, yield);
    if (!got) {
      return false;
    }
    body_whole_ = *got == 0;
    bytes_read += *got;
    // Without a content length, sends what has arrived without waiting for
    // more.
    if (body_whole_ || length.empty()) {
      break;
    }
  }
  first_part_.resize(bytes_read);
  first_part_.shrink_to_fit();
  chunked_ = !body_whole_ && length.empty();
  return true;
}

std::string worker_exchange::RequestHead() const {
  const auto& fields = entry_->request_headers();
  const auto value = [&](std::string_view name) {
    return std::string(net::FindHeader(fields, name));
  };
  std::string out = method_ + " " + value(":path") + " HTTP/1.1\r\n";
  out += "host: " + value(":authority") + "\r\n";
  AppendFields(fields, out);
  if (chunked_) {
    out += "transfer-encoding: chunked\r\n";
  } else if (body_whole_ &&
             (!first_part_.empty() || !value("content-length").empty())) {
    out += "content-length: " + std::to_string(first_part_.size()) + "\r\n";
  } else if (!body_whole_) {
    out += "content-length: " + value("content-length") + "\r\n";
  }
  return out + "\r\n";
}

size_t worker_exchange::SendFirstPart(const net::yield& yield,
                                      error_code& error) {
  const std::string head = RequestHead();
  const std::string_view part(first_part_.data(), first_part_.size());
  const bool as_chunk = chunked_ && !part.empty();
  const std::string before = as_chunk ? ChunkHead(part.size()) : "";
  const std::string_view after = as_chunk ? "\r\n" : "";
  const std::array<asio::const_buffer, 4> parts = {
      asio::buffer(head), asio::buffer(before), asio::buffer(part),
      asio::buffer(after)};
  worker_->expires_after(TimeLeft());
  return asio::async_write(*worker_, parts, yield[error]);
}

worker_exchange::report worker_exchange::Send(const net::yield& yield) {
  worker_ = pool_.TakeIdle(yield);
  const bool reused = worker_ != nullptr;
  for (int round = 0; round < 2; ++round) {
    if (!worker_) {
      auto made = pool_.Connect(yield);
      if (!made) {
        return {verdict::kNotRun, made.last_reason().code,
                made.last_reason().detail};
      }
      worker_ = std::move(*made);
    }
    error_code error;
    const size_t sent = SendFirstPart(yield, error);
    if (!error) {
      break;
    }
    if (sent > 0) {
      return Lost(error);
    }
    if (!reused || round > 0) {
      return {verdict::kNotRun, "worker_unreachable", error.message()};
    }
    // The worker closed the idle connection. No byte was sent, so the request
    // can go over a new one.
    worker_.reset();
  }
  body_sent_ = body_whole_;
  if (!body_whole_) {
    upload_.Start(yield, [this](const net::yield& inner) { SendRest(inner); });
  }
  return {verdict::kMayHaveRun};
}

bool worker_exchange::SendPart(std::string_view bytes,
                               const net::yield& yield) {
  const std::string before = chunked_ ? ChunkHead(bytes.size()) : "";
  const std::string_view after = chunked_ ? "\r\n" : "";
  const std::array<asio::const_buffer, 3> parts = {
      asio::buffer(before), asio::buffer(bytes), asio::buffer(after)};
  error_code error;
  worker_->expires_after(options_.stall_timeout);
  asio::async_write(*worker_, parts, yield[error]);
  return !error;
}

void worker_exchange::SendRest(const net::yield& yield) {
  std::vector<char> buffer(kPartBytes);
  for (;;) {
    const auto got = entry_->Read(buffer.data(), buffer.size(), yield);
    if (!got) {
      // Otherwise the worker could take the truncated body for a whole one.
      worker_->close();
      return;
    }
    if (*got == 0) {
      body_sent_ = !chunked_ || SendPart({}, yield);
      return;
    }
    if (!SendPart({buffer.data(), *got}, yield)) {
      return;
    }
  }
}

worker_exchange::report worker_exchange::Lost(const error_code& error) const {
  const bool late = error == beast::error::timeout;
  return {verdict::kMayHaveRun, late ? "deadline_passed" : "worker_lost",
          error.message()};
}

bool worker_exchange::ReadResponseHead(const net::yield& yield,
                                       error_code& error) {
  do {
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(options_.max_header_bytes));
    parser_->body_limit(boost::none);
    parser_->skip(method_ == "HEAD");
    worker_->expires_after(TimeLeft());
    http::async_read_header(*worker_, buffer_, *parser_, yield[error]);
    // Skips interim responses (1xx) other than 101.
  } while (!error && parser_->get().result_int() < 200 &&
           parser_->get().result_int() != 101);
  return !error;
}

net::header_list worker_exchange::ResponseHead() const {
  net::header_list out = {
      {":status", std::to_string(parser_->get().result_int())}};
  for (auto& field : EndToEndFields(parser_->get())) {
    out.push_back(std::move(field));
  }
  if (const auto length = parser_->get()[http::field::content_length];
      !length.empty()) {
    out.emplace_back("content-length", std::string(length));
  }
  const auto id = net::FindHeader(entry_->request_headers(), kRequestIdHeader);
  out.emplace_back(kRequestIdHeader, std::string(id));
  out.emplace_back(kLoadHeader, hooks_.load_header());
  return out;
}

worker_exchange::report worker_exchange::Receive(const net::yield& yield) {
  error_code error;
  if (!ReadResponseHead(yield, error)) {
    return Lost(error);
  }
  if (parser_->get().result_int() == 101) {
    return {verdict::kMayHaveRun, "bad_answer",
            "the worker switched protocols (status 101)"};
  }
  const bool end = parser_->is_done();
  if (!entry_->WriteHeaders(ResponseHead(), end, yield)) {
    return {verdict::kMayHaveRun, "entry_lost",
            "the entry's stream was reset or lost", true};
  }
  return end ? report{verdict::kRan, "", "", true} : PassOnBody(yield);
}

worker_exchange::report worker_exchange::PassOnBody(const net::yield& yield) {
  std::vector<char> buffer(kPartBytes);
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    error_code error;
    worker_->expires_after(options_.stall_timeout);
    http::async_read_some(*worker_, buffer_, *parser_, yield[error]);
    if (error && error != http::error::need_buffer) {
      entry_->Reset(net::h2_error::kInternal);
      return {verdict::kMayHaveRun, "answer_truncated", error.message(), true};
    }
    const size_t size = buffer.size() - body.size;
    if ((size > 0 || parser_->is_done()) &&
        !WriteToEntry({buffer.data(), size}, parser_->is_done(), yield)) {
      return {verdict::kMayHaveRun, "entry_lost",
              "the entry's stream was reset or lost", true};
    }
  }
  return {verdict::kRan, "", "", true};
}

bool worker_exchange::WriteToEntry(std::string_view bytes,
                                   bool end,
                                   const net::yield& yield) {
  // Shared with the timer's handlers, which may run after this function
  // returns; `stopped` then makes them do nothing.
  struct slow_timer {
    slow_timer(const net::yield& yield) : timer(yield.get_executor()) {}
    asio::steady_timer timer;
    bool stopped = false;
  };
  const auto slow = std::make_shared<slow_timer>(yield);
  slow->timer.expires_after(options_.slow_reader_timeout);
  slow->timer.async_wait([slow, entry = entry_,
                          release_slot = hooks_.release_slot,
                          stall = options_.stall_timeout](error_code error) {
    if (error || slow->stopped) {
      return;
    }
    release_slot();
    slow->timer.expires_after(stall);
    slow->timer.async_wait([slow, entry](error_code late) {
      if (!late && !slow->stopped) {
        entry->Reset(net::h2_error::kCancel);
      }
    });
  });
  const bool out = entry_->Write(bytes, end, yield).has_value();
  slow->stopped = true;
  slow->timer.cancel();
  return out;
}

}  // namespace chiveglade::routing
