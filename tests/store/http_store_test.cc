#include <catch2/catch.hpp>

#include <rapidcheck.h>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <thread>

#include "chiveglade/net/http_client.h"
#include "chiveglade/store/http_object_store.h"
#include "chiveglade/store/http_table.h"
#include "src/store/base64.h"
#include "src/store/percent_encoding.h"
#include "tools/platform_standin/platform.h"

namespace chiveglade::store {

namespace {

// The stand-in and the adapters on one event loop; calls wait for their answer.
class store_fixture {
 public:
  explicit store_fixture(standin::platform_options options = {},
                         http_store_options limits = {}) {
    platform_ = *standin::platform::Make(
        loop_, options, [this] { return boot_time(now_.load()); });
    // The first endpoint refuses connections: its port was closed again.
    net::asio::ip::tcp::acceptor closed(
        loop_, {net::asio::ip::address_v4::loopback(), 0});
    limits.endpoints = {{"127.0.0.1", closed.local_endpoint().port()},
                        {"127.0.0.1", platform_->port()}};
    closed.close();
    limits.call_timeout = millis(1'000);
    table_ = *MakeHttpTable(loop_, loop_.get_executor(), limits);
    objects_ = *MakeHttpObjectStore(loop_, loop_.get_executor(), limits);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~store_fixture() {
    loop_.stop();
    thread_.join();
  }

  void SetFaults(const std::string& faults) {
    const auto client =
        net::http_client::Make(loop_, "127.0.0.1", platform_->port(), {});
    Ask(client, {"POST", "/faults", {}, faults});
  }
  std::string Get(const std::string& path) {
    return Ask(
        net::http_client::Make(loop_, "127.0.0.1", platform_->port(), {}),
        {"GET", path, {}, ""});
  }

  commit_outcome Commit(const transaction& change) {
    std::promise<commit_outcome> out;
    table_.commit(change, [&](const commit_outcome& in) { out.set_value(in); });
    return out.get_future().get();
  }
  result<std::optional<row>> Read(const std::string& key) {
    std::promise<result<std::optional<row>>> out;
    table_.read(key, [&](const auto& in) { out.set_value(in); });
    return out.get_future().get();
  }
  result<std::vector<row>> Scan(const std::string& prefix, size_t limit) {
    std::promise<result<std::vector<row>>> out;
    table_.scan(prefix, limit, [&](const auto& in) { out.set_value(in); });
    return out.get_future().get();
  }
  result<done> Put(const std::string& key, const std::string& bytes) {
    std::promise<result<done>> out;
    objects_.put(key, bytes, [&](const auto& in) { out.set_value(in); });
    return out.get_future().get();
  }
  result<std::optional<std::string>> GetObject(const std::string& key) {
    std::promise<result<std::optional<std::string>>> out;
    objects_.get(key, [&](const auto& in) { out.set_value(in); });
    return out.get_future().get();
  }

  const table_service& table() const { return table_; }
  void Advance(millis by) { now_ = now_.load() + by; }

 private:
  std::string Ask(const std::shared_ptr<net::http_client>& client,
                  const net::http_request& request) {
    return net::asio::spawn(
               loop_,
               [&](const net::yield& yield) {
                 const auto outcome = client->Send(request, yield);
                 return outcome.reply ? outcome.reply->body : "";
               },
               net::asio::use_future)
        .get();
  }

  std::atomic<millis> now_{millis(0)};
  net::asio::io_context loop_;
  net::asio::executor_work_guard<net::asio::io_context::executor_type> work_{
      loop_.get_executor()};
  std::shared_ptr<standin::platform> platform_;
  table_service table_;
  object_store objects_;
  std::thread thread_;
};

std::string AllBytes() {
  std::string out;
  for (int i = 0; i < 256; ++i) {
    out += static_cast<char>(i);
  }
  return out;
}

}  // namespace

// Guards against encodings that alter or confuse bytes.
TEST_CASE("base64 and percent-encoding give back every byte string") {
  CHECK(rc::check([](const std::string& bytes) {
    RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
    RC_ASSERT(DecodePercent(EncodePercent(bytes)) == bytes);
  }));
  CHECK(EncodeBase64("foob") == "Zm9vYg==");
  for (const auto* text : {"Zg=", "Zg", "Z===", "Zh==", "Zm9vYg=?", "===="}) {
    CHECK_FALSE(DecodeBase64(text));
  }
  CHECK_FALSE(DecodePercent("%4"));
  CHECK_FALSE(DecodePercent("%g0"));
}

// Guards against values or versions that change on the way, and against a call
// that ends at an endpoint which refuses connections.
TEST_CASE("rows and objects survive the way to the service and back") {
  store_fixture fixture;
  const auto first = fixture.Commit({{{"a", 0}}, {{"a", AllBytes()}}});
  REQUIRE(first.status == commit_status::kCommitted);
  const row expected{"a", AllBytes(), first.version};
  CHECK(**fixture.Read("a") == expected);
  CHECK_FALSE((*fixture.Read("b")).has_value());
  CHECK(*fixture.Scan("a", 10) == std::vector{expected});
  const auto conflict = fixture.Commit({{{"a", 0}}, {{"a", "x"}}});
  CHECK(conflict.status == commit_status::kConflict);
  CHECK(conflict.conflicting_key == "a");
  CHECK(fixture.Commit({{}, {{"\xff", "x"}}}).status ==
        commit_status::kNotApplied);
  CHECK(fixture.Commit({{}, {{"dc/x", std::nullopt}}}).status ==
        commit_status::kCommitted);
  CHECK(fixture.Get("/history").find("\"dc/x\"") != std::string::npos);
  REQUIRE(fixture.Put("k /%\n", AllBytes()));
  CHECK(**fixture.GetObject("k /%\n") == AllBytes());
  CHECK_FALSE((*fixture.GetObject("other")).has_value());
}

// Guards against a lost answer that is taken for a refusal, which would let a
// write happen twice, and against the opposite, which would block its writer.
TEST_CASE("store faults map to exact outcomes") {
  standin::platform_options options;
  options.writes_per_second = 2;
  store_fixture fixture(options);
  const transaction change{{}, {{"a", "1"}}};
  fixture.SetFaults(R"({"lost_answer_pct":100})");
  CHECK(fixture.Commit(change).status == commit_status::kUnknown);
  CHECK(fixture.Read("a").last_reason().code == "store_answer_lost");
  fixture.SetFaults(R"({"lost_answer_pct":0})");
  CHECK((*fixture.Read("a"))->value == "1");  // it had taken effect
  CHECK(fixture.Commit(change).status == commit_status::kCommitted);
  const auto limited = fixture.Commit(change);
  CHECK(limited.status == commit_status::kNotApplied);
  CHECK(limited.why.code == "store_refused");
  fixture.Advance(millis(1'000));
  fixture.SetFaults(R"({"outage":"refuse"})");
  CHECK(fixture.Commit(change).status == commit_status::kNotApplied);
  CHECK(fixture.GetObject("x").last_reason().code == "store_refused");
  fixture.SetFaults(R"({"outage":"hang"})");
  CHECK(fixture.Commit(change).status == commit_status::kUnknown);
  fixture.SetFaults(R"({"outage":false})");
  CHECK(fixture.Commit(change).status == commit_status::kCommitted);
}

// Guards against an unlimited number of connections and waiting calls while the
// store is slow.
TEST_CASE("calls above the limit in flight are not applied") {
  http_store_options limits;
  limits.max_in_flight = 2;
  store_fixture fixture({}, limits);
  fixture.SetFaults(R"({"outage":"hang"})");
  std::vector<std::promise<commit_status>> ends(3);
  for (auto& end : ends) {
    fixture.table().commit({{}, {{"a", "1"}}}, [&](const commit_outcome& in) {
      end.set_value(in.status);
    });
  }
  CHECK(ends[2].get_future().get() == commit_status::kNotApplied);
  CHECK(ends[0].get_future().get() == commit_status::kUnknown);
  CHECK(ends[1].get_future().get() == commit_status::kUnknown);
  // The slots are free again.
  fixture.SetFaults(R"({"outage":"none"})");
  CHECK(fixture.Commit({{}, {{"a", "1"}}}).status == commit_status::kCommitted);
}

}  // namespace chiveglade::store
