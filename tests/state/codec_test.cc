#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "chiveglade/state/event_codec.h"
#include "chiveglade/state/heartbeat_codec.h"
#include "chiveglade/state/snapshot_codec.h"
#include "tests/state/event_generator.h"

namespace chiveglade::state {

namespace {

heartbeat Heartbeat(uint64_t seed) {
  testing::event_generator next(seed);
  heartbeat out;
  out.vm = {"v1", UINT64_MAX};
  out.data_centre = "dc";
  out.rack = "r";
  out.address = "127.0.0.1:1";
  out.capacity = {16'000, 60'000, 2};
  out.sequence = seed;
  out.tick = -5;
  out.partial = next.Below(2) == 0;
  out.answered_epoch = 4;
  out.answered_tick = -6;
  out.targets = {{"s", 8, 1, 2, 3}};
  for (uint32_t i = 0; i < next.Below(20); ++i) {
    out.attempts.push_back({{{"j", i}, 1}, {1, 2, 3}, millis(i), 120});
    out.ends.push_back(
        {{{{"j", i}, 2}, attempt_end::kStopped, "c", millis(9), "why"}});
  }
  return out;
}

heartbeat_answer Answer() {
  heartbeat_answer out;
  out.epoch = 3;
  out.scheduler = "127.0.0.1:2";
  out.entries = {{"e", "dc", "127.0.0.1:3"}};
  out.out_of_service = out.grants = true;
  out.append_age = millis(70);
  job_spec spec;
  spec.name = "j";
  spec.payload = "{}";
  out.starts = {{{{"j", 0}, 1}, spec, "c", millis(1), -2}};
  out.stops = {{{{"j", 1}, 1}, "data_centre_out", millis(3'000)}};
  out.throttles = {{{{"j", 2}, 1}, 50}};
  out.acknowledged = {{{"j", 3}, 1}};
  out.unknown = {{{"j", 4}, 1}};
  return out;
}

// Decodes every prefix and many single-byte changes; must only not crash.
template <typename F>
void Damage(const std::string& bytes, F decode) {
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(decode(bytes.substr(0, size)).has_value());
  }
  random_engine random(20261204);
  for (int i = 0; i < 5'000; ++i) {
    std::string changed = bytes;
    changed[random() % changed.size()] = static_cast<char>(random());
    (void)decode(changed);
  }
}

}  // namespace

// Guards against a field that is written and not read back.
TEST_CASE("records and messages survive being written and read") {
  CHECK(rc::check([](uint64_t seed) {
    testing::event_generator next(seed);
    cluster_state at;
    std::vector<event> events;
    for (int i = 0; i < 60; ++i) {
      events.push_back(next.Next(at));
      (void)at.Apply(events.back());
    }
    const auto decoded = DecodeEvents(EncodeEvents(events));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == events);
    const auto message = DecodeHeartbeat(EncodeHeartbeat(Heartbeat(seed)));
    RC_ASSERT(message.has_value());
    RC_ASSERT(*message == Heartbeat(seed));
  }));
  const auto answer = DecodeAnswer(EncodeAnswer(Answer()));
  REQUIRE(answer.has_value());
  CHECK(*answer == Answer());
}

// Guards against reading a record of a later program version as if its layout
// were known.
TEST_CASE("newer formats and other protocol versions are refused") {
  const auto newer = [](int first) {
    std::string out;
    nlohmann::json::to_cbor(nlohmann::json::array({first, "layout"}), out);
    return out;
  };
  CHECK(DecodeEvents(newer(2)).last_reason().code == "newer_format");
  CHECK(snapshot_codec::Decode(newer(2)).last_reason().code == "newer_format");
  const auto other = DecodeHeartbeat(newer(2));
  CHECK(other.last_reason().code == "protocol_version");
  CHECK(other.last_reason().detail ==
        "the message has protocol version 2; this program speaks 1");
  CHECK(DecodeAnswer(newer(0)).last_reason().code == "protocol_version");
}

// Guards against a crash or an exception on damaged input.
TEST_CASE("damaged input gives a reason") {
  Damage(EncodeHeartbeat(Heartbeat(3)), DecodeHeartbeat);
  Damage(EncodeAnswer(Answer()), DecodeAnswer);
  testing::event_generator next(5);
  cluster_state at;
  std::vector<event> events;
  for (int i = 0; i < 100; ++i) {
    events.push_back(next.Next(at));
    (void)at.Apply(events.back());
  }
  Damage(EncodeEvents(events), DecodeEvents);
  Damage(snapshot_codec::Encode(1, at, ""), snapshot_codec::Decode);
}

// Guards against input that exhausts the stack or the memory of the decoder.
TEST_CASE("deep nesting and oversized lengths are refused") {
  CHECK_FALSE(DecodeHeartbeat(std::string(1'000'000, '\x81')).has_value());
  const std::string huge("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff\x01", 10);
  CHECK_FALSE(DecodeEvents(huge).has_value());
  CHECK_FALSE(DecodeHeartbeat(std::string(kMaxHeartbeatBytes + 1, '\0')));
}

// Guards against a snapshot whose tasks exceed a VM's capacity being adopted.
TEST_CASE("a snapshot that breaks an invariant is refused") {
  cluster_state at;
  job_spec spec;
  spec.name = "j";
  spec.per_task = {2, 0, 0};
  REQUIRE(at.Apply(vm_joined{{"v", 1}, "dc", "r", {2, 2, 0}}));
  REQUIRE(at.Apply(job_submitted{spec}));
  REQUIRE(at.Apply(attempt_granted{{{"j", 0}, 1}, {"v", 1}}));
  auto document = nlohmann::json::from_cbor(snapshot_codec::Encode(1, at, ""));
  document[3][0][4][0] = 1;
  std::string bytes;
  nlohmann::json::to_cbor(document, bytes);
  const auto decoded = snapshot_codec::Decode(bytes);
  REQUIRE_FALSE(decoded.has_value());
  CHECK(decoded.last_reason().detail ==
        "the snapshot's state breaks an invariant");
}

}  // namespace chiveglade::state
