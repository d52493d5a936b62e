// The HTTP/2 protocol of one connection, without its socket.
#ifndef CHIVEGLADE_SRC_NET_H2_SESSION_H_
#define CHIVEGLADE_SRC_NET_H2_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "chiveglade/core/result.h"
#include "chiveglade/net/h2_server.h"
#include "src/net/h2_stream_state.h"

struct nghttp2_session;

namespace chiveglade::net {

// Wraps one nghttp2 session: bytes in, bytes out. Not thread-safe; its owner
// calls it on the strand of the connection and sends what Collect returns after
// each other call.
class h2_session {
 public:
  enum class side { kClient, kServer };

  // `on_request` gets each stream whose request headers are complete and
  // within the limits (server only).
  h2_session(side which,
             const h2_options& options,
             std::function<void(const h2_stream_state_ptr&)> on_request);
  ~h2_session();
  h2_session(const h2_session&) = delete;
  h2_session& operator=(const h2_session&) = delete;

  // Takes received bytes. A reason is a connection error; what Collect returns
  // next (a GOAWAY) should still be sent.
  result<done> Feed(std::string_view bytes);

  // Appends frames to `out` until none is left or `out` holds `limit` bytes.
  result<done> Collect(std::string& out, size_t limit);

  // Client: opens a stream. A reason means that nothing will be sent. Without
  // `end`, the request headers are queued by the first Write, Read or
  // ReadHeaders, so that a request given up before that is known not to have
  // run.
  result<h2_stream_state_ptr> Open(const header_list& fields, bool end);

  // The calls of h2_stream. Each resumes `then` once, now or later.
  void ReadHeaders(const h2_stream_state_ptr& of,
                   resume_fn<result<header_list>> then);
  void WriteHeaders(const h2_stream_state_ptr& of,
                    const header_list& fields,
                    bool end,
                    const resume_fn<result<done>>& then);
  void Read(const h2_stream_state_ptr& of,
            char* into,
            size_t size,
            resume_fn<result<size_t>> then);
  void Write(const h2_stream_state_ptr& of,
             std::string_view bytes,
             bool end,
             resume_fn<result<done>> then);
  void Reset(const h2_stream_state_ptr& of, uint32_t code);

  // Nobody uses the stream any more: ends whatever is still open of it.
  void Abandon(const h2_stream_state_ptr& of);

  // Refuses a request that was just received.
  void Refuse(const h2_stream_state_ptr& of);

  void Ping();
  // Sends GOAWAY with the last stream accepted; open streams go on.
  void Goaway();
  // Fails every open stream: the connection is lost.
  void FailAll(const reason& why);
  // Destroys every suspended call without resuming it.
  void DropCalls();

  // Frames received that the peer sends only after it has read from this side.
  uint64_t answers() const { return answers_; }
  bool goaway_received() const { return goaway_received_; }
  // False once the protocol has ended, by an error or by both GOAWAYs.
  bool is_alive() const;
  bool can_open() const;
  size_t open_streams() const { return streams_.size(); }
  // Header and body bytes that open streams have received; their handlers may
  // hold them.
  size_t received_bytes() const { return received_bytes_; }

 private:
  friend struct h2_callbacks;

  h2_stream_state* Find(int32_t id);
  // Queues the request headers if they have not been; on an error, calls of the
  // stream fail from now on.
  void Submit(const h2_stream_state_ptr& of);
  void SubmitSettings();
  void SubmitReset(int32_t id, uint32_t code);
  void Consume(int32_t id, size_t size);
  void ConsumeConnection(size_t size);
  void DropInbox(h2_stream_state& of);
  void FailCalls(h2_stream_state& of, const reason& why);

  // Events of nghttp2.
  void OnBeginHeaders(int32_t id);
  void OnHeader(h2_stream_state& of,
                bool is_trailer,
                std::string_view name,
                std::string_view value);
  void OnRequest(int32_t id);
  void OnResponse(h2_stream_state& of);
  void OnData(h2_stream_state& of, std::string_view bytes);
  void OnBodyRead(h2_stream_state& of, size_t size);
  void OnRemoteEnd(h2_stream_state& of);
  void OnLocalEnd(h2_stream_state& of);
  void OnClose(int32_t id, uint32_t code);
  // Moves bytes of the suspended Write into a frame; -1 if there are none yet.
  // `ends` is set if END_STREAM follows.
  ptrdiff_t FillFrame(h2_stream_state& of,
                      uint8_t* into,
                      size_t size,
                      bool& ends);
  void RefuseHeaders(h2_stream_state& of);

  const side side_;
  const h2_options options_;
  const std::function<void(const h2_stream_state_ptr&)> on_request_;
  nghttp2_session* session_ = nullptr;
  bool goaway_received_ = false;
  bool goaway_sent_ = false;
  uint64_t answers_ = 0;
  std::optional<reason> lost_;  // set by FailAll
  size_t received_bytes_ = 0;
  std::unordered_map<int32_t, h2_stream_state_ptr> streams_;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_H2_SESSION_H_
