#include "src/net/h2_connection.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <exception>
#include <utility>

#include "chiveglade/net/coroutine_stack.h"
#include "src/net/h2_stream_handle.h"

namespace chiveglade::net {

namespace {

// Bytes handed to one write. Several full frames go out with one system call,
// and a slow peer leaves at most this much behind.
constexpr size_t kWriteBatchBytes = 64UL * 1024;

constexpr millis kLingerTime{1'000};

// Handlers may outlive their streams, when a peer resets them. Above this
// multiple of max_streams, new ones are refused.
constexpr size_t kHandlersPerStream = 2;

// A connection: its objects, the state of nghttp2 and the buffers of its reads.
constexpr size_t kConnectionBytes = 32UL * 1024;
// A handler: the stack of its coroutine and the parsed fields.
constexpr size_t kHandlerBytes = 16UL * 1024;

}  // namespace

h2_connection::h2_connection(asio::io_context& loop,
                             asio::ip::tcp::socket socket,
                             h2_session::side side,
                             const h2_options& options,
                             std::shared_ptr<const h2_handler> handler,
                             std::function<void()> ended)
    : loop_(loop),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      options_(options),
      handler_(std::move(handler)),
      ended_(std::move(ended)),
      session_(
          side,
          options,
          [this](const h2_stream_state_ptr& stream) { OnRequest(stream); }),
      last_received_(steady::now()) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void h2_connection::Start() {
  // Destroyed with the last read, also when the event loop is destroyed while
  // reading. Suspended calls refer to the connection and would keep it alive.
  const std::shared_ptr<void> life(nullptr, [self = shared_from_this()](void*) {
    self->session_.DropCalls();
  });
  ReadNext(life);
  Flush();
  ScheduleCheck();
}

void h2_connection::SetAccount(std::unique_ptr<admission::account> account) {
  account_ = std::move(account);
}

void h2_connection::Evict() {
  evicted_ = true;
  asio::post(strand(), [self = shared_from_this()] {
    self->Abort({"evicted", "memory is needed for others"});
  });
}

bool h2_connection::Charge() {
  return !account_ ||
         account_->Set(kConnectionBytes + handlers_ * kHandlerBytes +
                           session_.received_bytes() + out_.capacity(),
                       false);
}

void h2_connection::OnHandlerEnd() {
  --handlers_;
  if (phase_ != phase::kEnded) {
    if (!Charge()) {
      Abort({"overloaded", "there is no memory for more requests"});
    }
  } else if (handlers_ == 0) {
    account_.reset();
  }
}

void h2_connection::ReadNext(std::shared_ptr<void> life) {
  socket_.async_read_some(
      asio::buffer(in_),
      [self = shared_from_this(), life = std::move(life)](
          const boost::system::error_code& error, size_t size) mutable {
        self->OnRead(error, size);
        if (!error && self->phase_ != phase::kEnded) {
          self->ReadNext(std::move(life));
        }
      });
}

void h2_connection::OnRead(const boost::system::error_code& error,
                           size_t size) {
  if (error) {
    Abort({"connection_lost", error.message()});
    return;
  }
  last_received_ = steady::now();
  ping_sent_ = false;
  if (phase_ != phase::kOpen || broken_) {
    return;
  }
  if (const auto fed = session_.Feed({in_.data(), size}); !fed) {
    broken_ = true;
    close_reason_ = fed.last_reason();
  }
  if (overloaded_ || !Charge()) {
    Abort({"overloaded", "there is no memory for more requests"});
    return;
  }
  Flush();
}

void h2_connection::Flush() {
  if (flush_scheduled_ || writing_ || phase_ != phase::kOpen) {
    return;
  }
  flush_scheduled_ = true;
  // The detour through the loop lets coroutines that were resumed before this
  // call queue their frames first.
  asio::post(loop_, [self = shared_from_this()] {
    asio::dispatch(self->strand(), [self] {
      self->flush_scheduled_ = false;
      self->WriteNext();
    });
  });
}

void h2_connection::WriteNext() {
  if (writing_ || phase_ != phase::kOpen) {
    return;
  }
  out_.clear();
  if (const auto collected = session_.Collect(out_, kWriteBatchBytes);
      !collected) {
    Abort(collected.last_reason());
    return;
  }
  if (out_.empty()) {
    CloseIfFinished();
    return;
  }
  writing_ = true;
  write_started_ = steady::now();
  asio::async_write(
      socket_, asio::buffer(out_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t) { self->OnWritten(error); });
}

void h2_connection::OnWritten(const boost::system::error_code& error) {
  writing_ = false;
  if (error) {
    Abort({"connection_lost", error.message()});
    return;
  }
  WriteNext();
}

void h2_connection::OnRequest(const h2_stream_state_ptr& stream) {
  if (overloaded_ || handlers_ >= kHandlersPerStream * options_.max_streams) {
    session_.Refuse(stream);
    return;
  }
  ++handlers_;
  if (!Charge()) {
    // Closed once nghttp2 has returned.
    overloaded_ = true;
    --handlers_;
    session_.Refuse(stream);
    return;
  }
  auto handle = std::make_shared<h2_stream_handle>(shared_from_this(), stream);
  // Posted, so that no handler runs inside a callback of nghttp2.
  asio::post(loop_, [handle = std::move(handle), handler = handler_, stream,
                     self = shared_from_this(), &loop = loop_]() mutable {
    if (stream->closed || self->evicted_) {
      // A peer that resets what it has just opened costs no coroutine.
      asio::dispatch(self->strand(), [self] { self->OnHandlerEnd(); });
      return;
    }
    asio::spawn(
        asio::make_strand(loop), std::allocator_arg, coroutine_stack(),
        [handle = std::move(handle), handler = std::move(handler),
         self = std::move(self)](const yield& yield) mutable {
          try {
            (*handler)(handle, yield);
          } catch (const std::exception&) {  // Abandon resets the stream
          }
          handle->Abandon();
          asio::dispatch(self->strand(), [self] { self->OnHandlerEnd(); });
        },
        asio::detached);
  });
}

void h2_connection::Finish() {
  finishing_ = true;
  session_.Goaway();
  Flush();
}

void h2_connection::TimeOut(const h2_stream_state_ptr& stream) {
  const bool is_silent = stream->id != 0 && !stream->closed &&
                         session_.answers() == stream->answers_before;
  session_.Reset(stream, static_cast<uint32_t>(h2_error::kCancel));
  if (is_silent) {
    Finish();
  } else {
    Flush();
  }
}

bool h2_connection::usable() const {
  return phase_ == phase::kOpen && !finishing_ && !broken_ &&
         session_.can_open();
}

void h2_connection::CloseIfFinished() {
  const bool done_with = finishing_ || session_.goaway_received();
  if (broken_ || !session_.is_alive() ||
      (done_with && session_.open_streams() == 0)) {
    Linger(close_reason_);
  }
}

void h2_connection::Linger(const reason& why) {
  phase_ = phase::kLingering;
  session_.FailAll(why);
  boost::system::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_send, ignored);
  timer_.expires_after(kLingerTime);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        if (const auto self = weak.lock(); self && !error) {
          self->End();
        }
      });
}

void h2_connection::Abort(const reason& why) {
  session_.FailAll(why);
  End();
}

void h2_connection::End() {
  if (std::exchange(phase_, phase::kEnded) == phase::kEnded) {
    return;
  }
  boost::system::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  if (handlers_ == 0) {
    account_.reset();
  }
  if (const auto ended = std::exchange(ended_, nullptr)) {
    ended();
  }
}

void h2_connection::ScheduleCheck() {
  timer_.expires_after(std::max(options_.idle_timeout / 8, millis(1)));
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        if (const auto self = weak.lock();
            self && !error && self->phase_ == phase::kOpen) {
          self->CheckIdle();
        }
      });
}

void h2_connection::CheckIdle() {
  const auto now = steady::now();
  const auto silent = now - last_received_;
  if (silent >= options_.idle_timeout) {
    Abort({"idle_timeout", "no frame from the peer in time"});
    return;
  }
  if (writing_ && now - write_started_ >= options_.idle_timeout) {
    Abort({"write_timeout", "the peer does not read"});
    return;
  }
  if (silent >= options_.idle_timeout / 2 && !std::exchange(ping_sent_, true)) {
    session_.Ping();
    Flush();
  }
  ScheduleCheck();
}

}  // namespace chiveglade::net
