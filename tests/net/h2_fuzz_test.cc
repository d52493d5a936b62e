#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

#include "chiveglade/core/random.h"
#include "src/net/h2_session.h"
#include "tests/net/h2_frames.h"

namespace chiveglade::net {

namespace {

// Two sessions joined by strings instead of sockets, the server echoing. The
// bytes towards the server can be altered.
class session_pair {
 public:
  session_pair(h2_options options, std::function<void(std::string&)> alter)
      : alter_(std::move(alter)),
        server_(h2_session::side::kServer,
                options,
                [this](const h2_stream_state_ptr& in) { Serve(in); }),
        client_(h2_session::side::kClient, options, nullptr) {}

  // Moves bytes both ways until nothing moves or a session has failed.
  void Run() {
    for (bool moved = true; moved && ok_;) {
      std::string up;
      std::string down;
      ok_ = client_.Collect(up, 1'000'000) && server_.Collect(down, 1'000'000);
      moved = !up.empty() || !down.empty();
      alter_(up);
      ok_ = ok_ && server_.Feed(up) && client_.Feed(down);
    }
  }

  void Ask(const std::string& body) {
    auto opened = client_.Open({{":method", "POST"},
                                {":scheme", "http"},
                                {":path", "/"},
                                {":authority", "a"}},
                               false);
    if (!opened) {
      return;
    }
    const auto stream = *opened;
    asked_.push_back(stream);
    bodies_.push_back(body);
    client_.Write(stream, bodies_.back(), true, [](const result<done>&) {});
  }

  void CloseAll() {
    client_.FailAll({"connection_lost", "end of the test"});
    server_.FailAll({"connection_lost", "end of the test"});
  }

  const std::vector<h2_stream_state_ptr>& asked() const { return asked_; }
  size_t bytes_read() const { return bytes_read_; }
  size_t peak_unread() const { return peak_unread_; }

 private:
  void Serve(const h2_stream_state_ptr& in) {
    server_.WriteHeaders(in, {{":status", "200"}}, false,
                         [](const result<done>&) {});
    ReadOn(in);
  }

  void ReadOn(const h2_stream_state_ptr& in) {
    peak_unread_ = std::max(peak_unread_, in->unread());
    server_.Read(in, buffer_, sizeof(buffer_),
                 [this, in](const result<size_t>& size) {
                   if (!size || *size == 0) {
                     server_.Abandon(in);
                     return;
                   }
                   bytes_read_ += *size;
                   ReadOn(in);
                 });
  }

  const std::function<void(std::string&)> alter_;
  bool ok_ = true;
  char buffer_[512];
  size_t bytes_read_ = 0;
  size_t peak_unread_ = 0;
  std::vector<h2_stream_state_ptr> asked_;
  std::deque<std::string> bodies_;
  h2_session server_;
  h2_session client_;
};

// Changes, removes or repeats a few bytes.
void Corrupt(std::string& bytes, random_engine& random) {
  const size_t changes = random() % 4;
  for (size_t i = 0; i < changes && !bytes.empty(); ++i) {
    const size_t at = random() % bytes.size();
    switch (random() % 3) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes.erase(at, 1 + random() % 20);
        break;
      default:
        bytes.insert(at, bytes.substr(at, random() % 40));
        break;
    }
  }
}

std::string RandomFrame(random_engine& random) {
  std::string payload(random() % 60, '\0');
  for (auto& byte : payload) {
    byte = static_cast<char>(random());
  }
  return Frame(static_cast<uint8_t>(random() % 11),
               static_cast<uint8_t>(random()), random() % 8, payload);
}

}  // namespace

// Guards against bytes that make the adapter crash, loop, lose the account of
// its window, or report a request as not run that the server has begun.
TEST_CASE("corrupt frames never break the session") {
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    CAPTURE(seed);
    random_engine random(seed);
    session_pair pair({}, [&](std::string& up) { Corrupt(up, random); });
    for (int i = 0; i < 5; ++i) {
      pair.Ask(std::string(random() % 100'000, 'x'));
      pair.Run();
    }
    pair.CloseAll();
    CHECK(pair.peak_unread() <= 65'536);
    if (pair.bytes_read() > 0) {
      CHECK(std::any_of(
          pair.asked().begin(), pair.asked().end(),
          [](const auto& one) { return one->handed_over && !one->refused; }));
    }
  }
}

// Guards against the same for frames that are well framed but make no sense.
TEST_CASE("random frames never break the server session") {
  for (uint64_t seed = 1; seed <= 2'000; ++seed) {
    CAPTURE(seed);
    random_engine random(seed);
    std::vector<h2_stream_state_ptr> streams;
    h2_session server(
        h2_session::side::kServer, {},
        [&](const h2_stream_state_ptr& in) { streams.push_back(in); });
    std::string out;
    bool ok = server.Feed(ClientStart()).has_value();
    for (int i = 0; i < 30 && ok; ++i) {
      const auto frame = random() % 4 == 0 ? RequestFrame(random() % 20, "GET")
                                           : RandomFrame(random);
      ok = server.Feed(frame).has_value() &&
           server.Collect(out, 1'000'000).has_value();
      for (const auto& stream : streams) {
        CHECK(stream->unread() <= 65'536);
        server.Write(stream, "x", random() % 2 == 0,
                     [](const result<done>&) {});
        server.Abandon(stream);
      }
      streams.clear();
    }
    server.FailAll({"connection_lost", "end of the test"});
    CHECK(server.open_streams() == 0);
  }
}

}  // namespace chiveglade::net
