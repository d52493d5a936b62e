#include "src/net/h2_stream_handle.h"

#include <boost/asio/dispatch.hpp>
#include <utility>

#include "src/net/await.h"

namespace chiveglade::net {

h2_stream_handle::h2_stream_handle(std::shared_ptr<h2_connection> on,
                                   h2_stream_state_ptr state)
    : on_(std::move(on)), state_(std::move(state)) {}

h2_stream_handle::~h2_stream_handle() {
  Abandon();
}

template <typename T, typename Call>
T h2_stream_handle::OnStrand(const yield& yield, Call call) {
  return Await<T>(yield, [&](resume_fn<T> resume) {
    // The coroutine, and with it the buffers that `call` refers to, stays alive
    // until it is resumed, but maybe no longer than that.
    asio::dispatch(on_->strand(), [on = on_, state = state_, call,
                                   resume = std::move(resume)]() mutable {
      call(on->session(), state, std::move(resume));
      on->Flush();
    });
  });
}

const header_list& h2_stream_handle::request_headers() const {
  return state_->request_headers;
}

result<header_list> h2_stream_handle::ReadHeaders(yield yield) {
  return OnStrand<result<header_list>>(
      yield, [](h2_session& session, const auto& state, auto resume) {
        session.ReadHeaders(state, std::move(resume));
      });
}

result<done> h2_stream_handle::WriteHeaders(const header_list& fields,
                                            bool end,
                                            yield yield) {
  return OnStrand<result<done>>(
      yield,
      [&fields, end](h2_session& session, const auto& state, auto resume) {
        session.WriteHeaders(state, fields, end, resume);
      });
}

result<size_t> h2_stream_handle::Read(char* into, size_t size, yield yield) {
  return OnStrand<result<size_t>>(
      yield, [into, size](h2_session& session, const auto& state, auto resume) {
        session.Read(state, into, size, std::move(resume));
      });
}

result<done> h2_stream_handle::Write(std::string_view bytes,
                                     bool end,
                                     yield yield) {
  return OnStrand<result<done>>(
      yield, [bytes, end](h2_session& session, const auto& state, auto resume) {
        session.Write(state, bytes, end, std::move(resume));
      });
}

void h2_stream_handle::Reset(h2_error code) {
  asio::dispatch(on_->strand(), [on = on_, state = state_, code] {
    on->session().Reset(state, static_cast<uint32_t>(code));
    on->Flush();
  });
}

void h2_stream_handle::Probe() {
  asio::dispatch(on_->strand(), [on = on_] {
    on->session().Ping();
    on->Flush();
  });
}

void h2_stream_handle::TimeOut() {
  asio::dispatch(on_->strand(),
                 [on = on_, state = state_] { on->TimeOut(state); });
}

verdict h2_stream_handle::delivery() const {
  if (state_->remote_end) {
    return verdict::kRan;
  }
  return state_->refused || !state_->handed_over ? verdict::kNotRun
                                                 : verdict::kMayHaveRun;
}

void h2_stream_handle::Abandon() {
  asio::dispatch(on_->strand(), [on = on_, state = state_] {
    on->session().Abandon(state);
    on->Flush();
  });
}

}  // namespace chiveglade::net
