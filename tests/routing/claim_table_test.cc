#include "chiveglade/routing/claim_table.h"

#include <catch2/catch.hpp>

#include "tests/support/memory_store.h"

namespace chiveglade::routing {

namespace {

using testing::memory_store;
using testing::store_fault;

struct fixture {
  memory_store store;
  boot_time now{millis(1'000'000)};
  int64_t unix_ms = 1'000'000'000;
  random_engine engine{11};
  std::vector<std::pair<millis, std::function<void()>>> timers;
  std::shared_ptr<claim_table> entry1 = MakeTable("e1");
  std::shared_ptr<claim_table> entry2 = MakeTable("e2");

  std::shared_ptr<claim_table> MakeTable(const std::string& entry) {
    return claim_table::Make(
        {entry}, {store.table(), [this] { return now; },
                  [this] { return unix_ms; }, [this] { return engine(); },
                  [this](millis wait, std::function<void()> then) {
                    timers.emplace_back(wait, std::move(then));
                  }});
  }
  // Runs all timers, including those that they add, until none is left.
  void RunTimers() {
    while (!timers.empty()) {
      auto [wait, then] = timers.front();
      timers.erase(timers.begin());
      now += wait;
      then();
    }
  }
  std::shared_ptr<std::optional<claim_result>> Start(
      const std::shared_ptr<claim_table>& table,
      const std::string& fingerprint = "f") {
    auto out = std::make_shared<std::optional<claim_result>>();
    table->Claim({"t", "key", fingerprint, now + millis(10'000)},
                 [out](claim_result got) {
                   REQUIRE_FALSE(out->has_value());
                   *out = std::move(got);
                 });
    return out;
  }
  claim_result Claim(const std::shared_ptr<claim_table>& table,
                     const std::string& fingerprint = "f") {
    const auto got = Start(table, fingerprint);
    RunTimers();
    REQUIRE(got->has_value());
    return **got;
  }
  bool StoreResponse(const claim& held, stored_response response) {
    bool out = false;
    entry1->StoreResponse(held, std::move(response),
                          [&](const auto& got) { out = got.has_value(); });
    RunTimers();
    return out;
  }
  // Injects faults into the next calls of one kind, in order.
  void Fail(const std::string& call, std::vector<store_fault> faults) {
    store.SetFaults([call, left = std::move(faults)](
                        const std::string& which, const std::string&) mutable {
      if (which != call || left.empty()) {
        return store_fault::kNone;
      }
      const auto out = left.front();
      left.erase(left.begin());
      return out;
    });
  }
};

const stored_response kResponse{201,
                                {{"content-type", "a\xff"}},
                                "b\xfe",
                                true};

}  // namespace

// Guards against two entries that both forward one request (invariant 7).
TEST_CASE_METHOD(fixture, "only one of two entries claims a key") {
  const auto first = Claim(entry1);
  REQUIRE(first.status == claim_status::kClaimed);
  CHECK(Claim(entry2).status == claim_status::kMayHaveRun);
  CHECK(Claim(entry2, "g").status == claim_status::kMismatch);
  CHECK(StoreResponse(first.held, kResponse));
  const auto repeat = Claim(entry2);
  CHECK(repeat.status == claim_status::kHasResponse);
  CHECK(repeat.response == kResponse);
  CHECK(Claim(entry2, "g").status == claim_status::kMismatch);
}

// Guards against may_have_run for a repeat although the first response arrives
// before its deadline, and against a repeat that cannot run after not_run.
TEST_CASE_METHOD(fixture, "a repeat waits for the first request") {
  const auto first = Claim(entry1);
  const auto repeat = Start(entry2);
  CHECK_FALSE(repeat->has_value());
  StoreResponse(first.held, kResponse);
  CHECK((*repeat)->status == claim_status::kHasResponse);

  store.Commit({{}, {{first.held.key, std::nullopt}}});
  const auto again = Claim(entry1);
  const auto waiting = Start(entry2);
  entry1->Release(again.held, [](const auto& got) { CHECK(got); });
  RunTimers();
  CHECK((*waiting)->status == claim_status::kClaimed);
}

// Guards against forwarding on an unconfirmed claim, and against refusing a
// request whose claim was written.
TEST_CASE_METHOD(fixture, "an unknown commit outcome is resolved by a read") {
  SECTION("the write took effect") {
    Fail("commit", {store_fault::kLoseAnswer});
    const auto got = Claim(entry1);
    CHECK(got.status == claim_status::kClaimed);
    CHECK(got.held.version == store.Read(got.held.key)->version);
    CHECK(store.commits() == 1);
  }
  SECTION("the write was lost") {
    Fail("commit", {store_fault::kLoseRequest, store_fault::kLoseRequest});
    CHECK(Claim(entry1).status == claim_status::kClaimed);
  }
  SECTION("the write and the read were lost") {
    Fail("read", {store_fault::kLoseRequest});
    bool lost = false;
    store.SetFaults([&](const std::string& call, const std::string&) {
      return call == "read" || std::exchange(lost, true)
                 ? store_fault::kLoseRequest
                 : store_fault::kLoseAnswer;
    });
    CHECK(Claim(entry1).status == claim_status::kUnavailable);
    store.SetFaults(nullptr);
    // The row of the refused request must not block its repeat indefinitely.
    CHECK(Claim(entry1).status == claim_status::kClaimed);
    CHECK(Claim(entry2).status == claim_status::kMayHaveRun);
  }
}

// Guards against forwarding without a claim while the store is unavailable.
TEST_CASE_METHOD(fixture, "claims are refused while the store is unavailable") {
  store.SetFaults(
      [](const auto&, const auto&) { return store_fault::kRefuse; });
  CHECK(Claim(entry1).status == claim_status::kUnavailable);
  CHECK(store.commits() == 0);
  // Once a claim by another entry is known, not_run would be wrong.
  store.SetFaults(nullptr);
  Claim(entry2);
  const auto repeat = Start(entry1);
  store.SetFaults(
      [](const auto&, const auto&) { return store_fault::kLoseRequest; });
  RunTimers();
  CHECK((*repeat)->status == claim_status::kMayHaveRun);
}

// Guards against responses that are lost, that overwrite another claim, or that
// are too large for the table.
TEST_CASE_METHOD(fixture,
                 "responses are stored once and within the size limit") {
  auto held = Claim(entry1).held;
  Fail("commit", {store_fault::kLoseAnswer});
  CHECK(StoreResponse(held, {200, {}, std::string(32'768, 'x'), true}));
  CHECK(Claim(entry2).response.body.size() == 32'768);
  CHECK_FALSE(StoreResponse(held, kResponse));
  store.Commit({{}, {{held.key, std::nullopt}}});
  held = Claim(entry1).held;
  CHECK(StoreResponse(held, {200, {}, std::string(32'768 + 1, 'x'), true}));
  CHECK(Claim(entry2).response == stored_response{200, {}, "", false});
  store.Commit({{}, {{held.key, "not a claim"}}});
  CHECK(Claim(entry2).status == claim_status::kMayHaveRun);
  CHECK_FALSE(DecodeClaim(std::string("\xa1", 1)));
}

// Guards against claims that are never deleted, and against deleting claims
// that still protect a request.
TEST_CASE_METHOD(fixture, "expired claims are deleted at a limited rate") {
  constexpr int kOld = 700;
  for (int i = 0; i < kOld; ++i) {
    store.Commit({{},
                  {{ClaimKey("t", "old" + std::to_string(i)),
                    EncodeClaim({"f", "e", 1, unix_ms, {}})}}});
  }
  unix_ms += int64_t{24} * 3'600'000;
  store.Commit(
      {{}, {{ClaimKey("t", "new"), EncodeClaim({"f", "e", 1, unix_ms, {}})}}});
  size_t deleted = 0;
  for (int i = 0; i < 400 && deleted < kOld; ++i) {
    entry1->Sweep({"t"}, 5, [&](size_t count) {
      CHECK(count <= 5);
      deleted += count;
    });
  }
  CHECK(deleted == kOld);
  CHECK(store.Scan("claim/", 10).size() == 1);
}

}  // namespace chiveglade::routing
