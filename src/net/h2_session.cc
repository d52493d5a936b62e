#include "src/net/h2_session.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <utility>
#include <vector>

#include "src/net/h2_callbacks.h"

namespace chiveglade::net {

namespace {

// Read bytes at the front of the inbox are dropped in steps of this size, so
// that each byte is moved at most a few times.
constexpr size_t kInboxStepBytes = 32UL * 1024;

constexpr uint32_t kNoErrorCode = static_cast<uint32_t>(h2_error::kNoError);

reason ResetReason(uint32_t code) {
  if (code == NGHTTP2_REFUSED_STREAM) {
    return {"stream_refused", "the peer did not process the request"};
  }
  return {"stream_reset",
          std::string("the stream was reset: ") + nghttp2_http2_strerror(code)};
}

bool IsInformational(const header_list& fields) {
  const auto status = FindHeader(fields, ":status");
  return status.size() == 3 && status[0] == '1';
}

}  // namespace

h2_session::h2_session(
    side which,
    const h2_options& options,
    std::function<void(const h2_stream_state_ptr&)> on_request)
    : side_(which),
      options_(options),
      on_request_(std::move(on_request)),
      session_(NewNghttp2Session(*this, which, options)) {
  SubmitSettings();
}

h2_session::~h2_session() {
  nghttp2_session_del(session_);
}

void h2_session::SubmitSettings() {
  const std::vector<nghttp2_settings_entry> entries = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options_.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, options_.stream_window_bytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, options_.max_header_bytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  };
  // A server must not send ENABLE_PUSH with any value but 0; nghttp2 as a
  // client rejects it only if it is 1.
  int error = nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE,
                                      entries.data(), entries.size());
  assert(error == 0);
  error = nghttp2_session_set_local_window_size(
      session_, NGHTTP2_FLAG_NONE, 0,
      static_cast<int32_t>(options_.connection_window_bytes));
  assert(error == 0);
}

result<done> h2_session::Feed(std::string_view bytes) {
  const auto used = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (used >= 0) {
    return done{};
  }
  const auto code = static_cast<int>(used);
  nghttp2_session_terminate_session(session_, code == NGHTTP2_ERR_FLOODED
                                                  ? NGHTTP2_ENHANCE_YOUR_CALM
                                                  : NGHTTP2_PROTOCOL_ERROR);
  return reason{"protocol_error", nghttp2_strerror(code)};
}

result<done> h2_session::Collect(std::string& out, size_t limit) {
  while (out.size() < limit) {
    const uint8_t* bytes = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &bytes);
    if (size < 0) {
      return reason{"protocol_error", nghttp2_strerror(static_cast<int>(size))};
    }
    if (size == 0) {
      return done{};
    }
    out.append(reinterpret_cast<const char*>(bytes), static_cast<size_t>(size));
  }
  return done{};
}

result<h2_stream_state_ptr> h2_session::Open(const header_list& fields,
                                             bool end) {
  const auto checked = ToFields(fields, options_.max_header_bytes);
  if (!checked) {
    return checked.last_reason();
  }
  auto out = std::make_shared<h2_stream_state>();
  out->request_headers = fields;
  out->local_end_queued = end;
  if (end) {
    Submit(out);
    if (out->failure) {
      return *out->failure;
    }
  }
  return out;
}

void h2_session::Submit(const h2_stream_state_ptr& of) {
  if (of->id != 0 || of->failure) {
    return;
  }
  if (lost_) {
    of->failure = lost_;
    return;
  }
  if (!can_open()) {
    of->failure = {"connection_closing", "the connection takes no new streams"};
    return;
  }
  if (streams_.size() >= options_.max_streams) {
    of->failure = {"too_many_streams", "the connection has no stream left"};
    return;
  }
  const auto fields = ToFields(of->request_headers, options_.max_header_bytes);
  const auto provider = OutboxProvider();
  const auto id = nghttp2_submit_request(
      session_, nullptr, fields->data(), fields->size(),
      of->local_end_queued ? nullptr : &provider, nullptr);
  if (id < 0) {
    of->failure = {"open_failed", nghttp2_strerror(id)};
    return;
  }
  of->id = id;
  of->answers_before = answers_;
  streams_.emplace(id, of);
}

void h2_session::ReadHeaders(const h2_stream_state_ptr& of,
                             resume_fn<result<header_list>> then) {
  assert(!of->on_headers && "one call at a time");
  Submit(of);
  if (of->has_response) {
    then(of->response_headers);
  } else if (of->failure) {
    then(*of->failure);
  } else {
    of->on_headers = std::move(then);
  }
}

void h2_session::WriteHeaders(const h2_stream_state_ptr& of,
                              const header_list& fields,
                              bool end,
                              const resume_fn<result<done>>& then) {
  if (of->failure) {
    then(*of->failure);
    return;
  }
  if (of->closed || of->has_response) {
    then(reason{"headers_already_sent", "the response has begun"});
    return;
  }
  auto converted = ToFields(fields, options_.max_header_bytes);
  if (!converted) {
    then(converted.last_reason());
    return;
  }
  const auto provider = OutboxProvider();
  const int error =
      nghttp2_submit_response(session_, of->id, converted->data(),
                              converted->size(), end ? nullptr : &provider);
  if (error != 0) {
    then(reason{"write_failed", nghttp2_strerror(error)});
    return;
  }
  of->has_response = true;
  of->local_end_queued = end;
  then(done{});
}

void h2_session::Read(const h2_stream_state_ptr& of,
                      char* into,
                      size_t size,
                      resume_fn<result<size_t>> then) {
  assert(!of->on_read && "one Read at a time");
  Submit(of);
  if (const size_t ready = std::min(size, of->unread()); ready > 0) {
    std::memcpy(into, of->inbox.data() + of->inbox_read, ready);
    of->inbox_read += ready;
    OnBodyRead(*of, ready);
    if (of->unread() == 0) {
      of->inbox.clear();
      of->inbox_read = 0;
    } else if (of->inbox_read >= kInboxStepBytes) {
      of->inbox.erase(0, of->inbox_read);
      of->inbox_read = 0;
    }
    Consume(of->id, ready);
    then(ready);
  } else if (of->remote_end && !of->discards) {
    then(size_t{0});
  } else if (of->failure) {
    then(*of->failure);
  } else {
    of->read_into = into;
    of->read_size = size;
    of->on_read = std::move(then);
  }
}

void h2_session::Write(const h2_stream_state_ptr& of,
                       std::string_view bytes,
                       bool end,
                       resume_fn<result<done>> then) {
  assert(!of->on_written && "one Write at a time");
  Submit(of);
  if (of->failure) {
    then(*of->failure);
    return;
  }
  if (of->closed || of->local_end_queued ||
      (side_ == side::kServer && !of->has_response)) {
    then(reason{"not_writable", "the stream has ended or has no headers yet"});
    return;
  }
  if (bytes.empty() && !end) {
    then(done{});
    return;
  }
  of->outbox = bytes;
  of->outbox_ends = end;
  of->local_end_queued = end;
  of->on_written = std::move(then);
  // Fails if the data provider is not deferred yet, and then it runs anyway.
  nghttp2_session_resume_data(session_, of->id);
}

ptrdiff_t h2_session::FillFrame(h2_stream_state& of,
                                uint8_t* into,
                                size_t size,
                                bool& ends) {
  if (!of.on_written) {
    return -1;
  }
  const size_t filled = std::min(size, of.outbox.size());
  if (filled > 0) {
    std::memcpy(into, of.outbox.data(), filled);
    of.outbox.remove_prefix(filled);
  }
  if (of.outbox.empty()) {
    ends = of.outbox_ends;
    Resume(of.on_written, result<done>(done{}));
  }
  return static_cast<ptrdiff_t>(filled);
}

void h2_session::Reset(const h2_stream_state_ptr& of, uint32_t code) {
  if (of->closed || of->discards) {
    return;
  }
  if (of->id != 0) {
    SubmitReset(of->id, code);
  }
  FailCalls(*of, {"stream_reset", "the stream was reset by this side"});
  DropInbox(*of);
}

void h2_session::Abandon(const h2_stream_state_ptr& of) {
  if (!of->closed && !of->discards &&
      (side_ == side::kClient || !of->local_end_queued)) {
    Reset(of, side_ == side::kClient ? NGHTTP2_CANCEL : NGHTTP2_INTERNAL_ERROR);
    return;
  }
  // The answer of a server that is still queued is sent to its end; what the
  // client still sends is not wanted.
  if (!of->failure) {
    of->failure = {"stream_ended", "the stream was abandoned by this side"};
  }
  Resume(of->on_read, result<size_t>(*of->failure));
  DropInbox(*of);
  if (!of->closed && !of->remote_end) {
    // nghttp2 would send a reset before the rest of the answer.
    of->reset_when_ended = true;
    if (of->local_end_sent) {
      OnLocalEnd(*of);
    }
  }
}

void h2_session::Refuse(const h2_stream_state_ptr& of) {
  Reset(of, NGHTTP2_REFUSED_STREAM);
}

void h2_session::Ping() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void h2_session::Goaway() {
  if (!std::exchange(goaway_sent_, true)) {
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_),
                          kNoErrorCode, nullptr, 0);
  }
}

void h2_session::FailAll(const reason& why) {
  if (!lost_) {
    lost_ = why;
  }
  const auto streams = std::exchange(streams_, {});
  received_bytes_ = 0;
  for (const auto& [id, stream] : streams) {
    stream->closed = true;
    FailCalls(*stream, why);
  }
}

void h2_session::DropCalls() {
  const auto streams = std::exchange(streams_, {});
  received_bytes_ = 0;
  for (const auto& [id, stream] : streams) {
    stream->closed = true;
    const auto headers = std::exchange(stream->on_headers, nullptr);
    const auto read = std::exchange(stream->on_read, nullptr);
    const auto written = std::exchange(stream->on_written, nullptr);
  }
}

bool h2_session::is_alive() const {
  return nghttp2_session_want_read(session_) != 0 ||
         nghttp2_session_want_write(session_) != 0;
}

bool h2_session::can_open() const {
  return !goaway_received_ && !goaway_sent_ &&
         nghttp2_session_check_request_allowed(session_) != 0;
}

h2_stream_state* h2_session::Find(int32_t id) {
  const auto at = streams_.find(id);
  return at == streams_.end() ? nullptr : at->second.get();
}

void h2_session::SubmitReset(int32_t id, uint32_t code) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, code);
}

void h2_session::Consume(int32_t id, size_t size) {
  nghttp2_session_consume(session_, id, size);
}

void h2_session::ConsumeConnection(size_t size) {
  nghttp2_session_consume_connection(session_, size);
}

void h2_session::DropInbox(h2_stream_state& of) {
  of.discards = true;
  if (of.unread() > 0) {
    ConsumeConnection(of.unread());
  }
  of.inbox = {};
  of.inbox_read = 0;
}

void h2_session::FailCalls(h2_stream_state& of, const reason& why) {
  if (!of.failure) {
    of.failure = why;
  }
  of.outbox = {};
  Resume(of.on_headers, result<header_list>(*of.failure));
  Resume(of.on_read, result<size_t>(*of.failure));
  Resume(of.on_written, result<done>(*of.failure));
}

void h2_session::OnBeginHeaders(int32_t id) {
  auto stream = std::make_shared<h2_stream_state>();
  stream->id = id;
  streams_.emplace(id, std::move(stream));
}

void h2_session::OnHeader(h2_stream_state& of,
                          bool is_trailer,
                          std::string_view name,
                          std::string_view value) {
  of.header_bytes += name.size() + value.size() + kFieldOverheadBytes;
  of.header_limit_exceeded |= of.header_bytes > options_.max_header_bytes;
  if (of.header_limit_exceeded || is_trailer) {
    return;  // trailers are accepted and ignored
  }
  of.received += name.size() + value.size() + kFieldOverheadBytes;
  received_bytes_ += name.size() + value.size() + kFieldOverheadBytes;
  auto& into =
      side_ == side::kServer ? of.request_headers : of.response_headers;
  into.emplace_back(name, value);
}

void h2_session::OnRequest(int32_t id) {
  const auto stream = streams_.at(id);
  if (goaway_sent_) {
    // The GOAWAY, which may still be queued, names a lower last stream and so
    // says that this one has not run.
    Refuse(stream);
  } else if (stream->header_limit_exceeded) {
    RefuseHeaders(*stream);
  } else {
    on_request_(stream);
  }
}

void h2_session::RefuseHeaders(h2_stream_state& of) {
  const auto stream = streams_.at(of.id);
  WriteHeaders(stream, {{":status", "431"}, {"chiveglade-verdict", "not_run"}},
               true, [](const result<done>&) {});
  Abandon(stream);
}

void h2_session::OnResponse(h2_stream_state& of) {
  if (of.header_limit_exceeded) {
    FailCalls(of, {"headers_too_large", "the response headers are too large"});
    SubmitReset(of.id, NGHTTP2_ENHANCE_YOUR_CALM);
    DropInbox(of);
  } else if (!of.has_response && IsInformational(of.response_headers)) {
    of.response_headers.clear();
  } else if (!of.has_response) {
    of.has_response = true;
    Resume(of.on_headers, result<header_list>(of.response_headers));
  }
}

void h2_session::OnData(h2_stream_state& of, std::string_view bytes) {
  if (of.discards) {
    ConsumeConnection(bytes.size());
    return;
  }
  of.received += bytes.size();
  received_bytes_ += bytes.size();
  if (of.on_read) {
    const size_t direct = std::min(bytes.size(), of.read_size);
    std::memcpy(of.read_into, bytes.data(), direct);
    Consume(of.id, direct);
    OnBodyRead(of, direct);
    Resume(of.on_read, result<size_t>(direct));
    bytes.remove_prefix(direct);
  }
  of.inbox.append(bytes);
}

void h2_session::OnBodyRead(h2_stream_state& of, size_t size) {
  if (!options_.keeps_bodies && !of.closed) {
    of.received -= size;
    received_bytes_ -= size;
  }
}

void h2_session::OnRemoteEnd(h2_stream_state& of) {
  // A failed stream delivers no answer to the client, even if one arrives.
  of.remote_end = side_ == side::kServer || !of.failure;
  Resume(of.on_read, result<size_t>(size_t{0}));
}

void h2_session::OnLocalEnd(h2_stream_state& of) {
  of.local_end_sent = true;
  if (of.reset_when_ended && !of.remote_end) {
    SubmitReset(of.id, NGHTTP2_NO_ERROR);
  }
}

void h2_session::OnClose(int32_t id, uint32_t code) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) {
    return;
  }
  const auto stream = at->second;
  streams_.erase(at);
  received_bytes_ -= stream->received;
  stream->closed = true;
  // A reset by this side does not tell what the peer did.
  if (code == NGHTTP2_REFUSED_STREAM && !stream->failure &&
      !stream->has_response) {
    stream->refused = true;
  }
  if (!stream->remote_end || !stream->local_end_sent) {
    FailCalls(*stream, ResetReason(code));
  }
}

}  // namespace chiveglade::net
