#include "src/net/h2_callbacks.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace chiveglade::net {

namespace {

// Resets that a peer may send at once and per second before nghttp2 ends the
// connection. The default of 33 a second is below what a wave of cancelled
// requests causes, and the peers are processes of this project.
constexpr uint64_t kResetBurst = 10'000;
constexpr uint64_t kResetsPerSecond = 2'000;

// SETTINGS, PING and RST_STREAM frames waiting to be sent to a peer that does
// not read, before the connection is ended.
constexpr size_t kMaxOutboundAcks = 500;

std::string_view View(const uint8_t* bytes, size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

h2_session& Self(void* user_data) {
  return *static_cast<h2_session*>(user_data);
}

bool IsConnectionField(std::string_view name) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "connection",        "keep-alive", "proxy-connection",
      "transfer-encoding", "upgrade",    "te"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

uint8_t* Bytes(const std::string& in) {
  // nghttp2_nv is not const-correct; nghttp2 copies the bytes.
  return reinterpret_cast<uint8_t*>(const_cast<char*>(in.data()));
}

}  // namespace

// A friend of h2_session, so that its event functions can stay private.
struct h2_callbacks {
  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user_data) {
    if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      Self(user_data).OnBeginHeaders(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* user_data) {
    auto& self = Self(user_data);
    if (auto* stream = self.Find(frame->hd.stream_id)) {
      const bool is_trailer =
          frame->headers.cat == NGHTTP2_HCAT_HEADERS &&
          (self.side_ == h2_session::side::kServer || stream->has_response);
      self.OnHeader(*stream, is_trailer, View(name, name_size),
                    View(value, value_size));
    }
    return 0;
  }

  // A peer that does not receive anything can still send SETTINGS, PING and
  // GOAWAY of its own accord.
  static bool IsAnswer(const nghttp2_frame_hd& in) {
    switch (in.type) {
      case NGHTTP2_SETTINGS:
      case NGHTTP2_PING:
        return (in.flags & NGHTTP2_FLAG_ACK) != 0;
      case NGHTTP2_GOAWAY:
        return false;
      default:
        return true;
    }
  }

  static int OnFrame(nghttp2_session*,
                     const nghttp2_frame* frame,
                     void* user_data) {
    auto& self = Self(user_data);
    self.answers_ += IsAnswer(frame->hd) ? 1 : 0;
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.goaway_received_ = true;
      return 0;
    }
    auto* stream = self.Find(frame->hd.stream_id);
    if (stream == nullptr ||
        (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)) {
      return 0;
    }
    if (frame->hd.type == NGHTTP2_HEADERS) {
      if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        self.OnRequest(frame->hd.stream_id);
      } else if (self.side_ == h2_session::side::kClient) {
        self.OnResponse(*stream);
      }
    }
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self.OnRemoteEnd(*stream);
    }
    return 0;
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t id,
                    const uint8_t* bytes,
                    size_t size,
                    void* user_data) {
    auto& self = Self(user_data);
    if (auto* stream = self.Find(id)) {
      self.OnData(*stream, View(bytes, size));
    } else {
      self.ConsumeConnection(size);
    }
    return 0;
  }

  static int OnClose(nghttp2_session*,
                     int32_t id,
                     uint32_t code,
                     void* user_data) {
    Self(user_data).OnClose(id, code);
    return 0;
  }

  static int BeforeSend(nghttp2_session*,
                        const nghttp2_frame* frame,
                        void* user_data) {
    if (frame->hd.type == NGHTTP2_HEADERS) {
      if (auto* stream = Self(user_data).Find(frame->hd.stream_id)) {
        stream->handed_over = true;
      }
    }
    return 0;
  }

  static int OnSent(nghttp2_session*,
                    const nghttp2_frame* frame,
                    void* user_data) {
    const bool ends =
        (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
        (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    auto& self = Self(user_data);
    if (auto* stream = ends ? self.Find(frame->hd.stream_id) : nullptr) {
      self.OnLocalEnd(*stream);
    }
    return 0;
  }

  static ssize_t FillFrame(nghttp2_session*,
                           int32_t id,
                           uint8_t* into,
                           size_t size,
                           uint32_t* flags,
                           nghttp2_data_source*,
                           void* user_data) {
    auto& self = Self(user_data);
    auto* stream = self.Find(id);
    if (stream == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    bool ends = false;
    const auto filled = self.FillFrame(*stream, into, size, ends);
    if (ends) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return filled < 0 ? ssize_t{NGHTTP2_ERR_DEFERRED} : filled;
  }

  static void Register(nghttp2_session_callbacks* to) {
    nghttp2_session_callbacks_set_on_begin_headers_callback(to, OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(to, OnHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(to, OnFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(to, OnData);
    nghttp2_session_callbacks_set_on_stream_close_callback(to, OnClose);
    nghttp2_session_callbacks_set_before_frame_send_callback(to, BeforeSend);
    nghttp2_session_callbacks_set_on_frame_send_callback(to, OnSent);
  }
};

nghttp2_session* NewNghttp2Session(h2_session& owner,
                                   h2_session::side which,
                                   const h2_options& options) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_option* option = nullptr;
  nghttp2_session* out = nullptr;
  int error = nghttp2_session_callbacks_new(&callbacks);
  error = error != 0 ? error : nghttp2_option_new(&option);
  assert(error == 0 && "out of memory");
  h2_callbacks::Register(callbacks);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_max_outbound_ack(option, kMaxOutboundAcks);
  nghttp2_option_set_stream_reset_rate_limit(option, kResetBurst,
                                             kResetsPerSecond);
  nghttp2_option_set_peer_max_concurrent_streams(option, options.max_streams);
  error = which == h2_session::side::kServer
              ? nghttp2_session_server_new2(&out, callbacks, &owner, option)
              : nghttp2_session_client_new2(&out, callbacks, &owner, option);
  assert(error == 0 && "out of memory");
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  return out;
}

nghttp2_data_provider OutboxProvider() {
  nghttp2_data_provider out{};
  out.read_callback = h2_callbacks::FillFrame;
  return out;
}

result<std::vector<nghttp2_nv>> ToFields(const header_list& in,
                                         size_t max_bytes) {
  std::vector<nghttp2_nv> out;
  out.reserve(in.size());
  size_t total = 0;
  for (const auto& [name, value] : in) {
    if (IsConnectionField(name)) {
      continue;
    }
    const bool is_pseudo = !name.empty() && name[0] == ':';
    if ((!is_pseudo &&
         nghttp2_check_header_name(Bytes(name), name.size()) == 0) ||
        nghttp2_check_header_value(Bytes(value), value.size()) == 0) {
      return reason{"bad_header", "header not allowed in HTTP/2: " + name};
    }
    total += name.size() + value.size() + kFieldOverheadBytes;
    out.push_back({Bytes(name), Bytes(value), name.size(), value.size(),
                   NGHTTP2_NV_FLAG_NONE});
  }
  if (total > max_bytes) {
    return reason{"headers_too_large", std::to_string(total) + " bytes"};
  }
  return out;
}

}  // namespace chiveglade::net
