#include "chiveglade/routing/claim_book.h"

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
  std::shared_ptr<claim_book> book = MakeBook("e1");
  std::shared_ptr<claim_book> other = MakeBook("e2");

  std::shared_ptr<claim_book> MakeBook(const std::string& entry) {
    return claim_book::Make(
        {entry}, {store.table(), [this] { return now; },
                  [this] { return unix_ms; }, [this] { return engine(); },
                  [this](millis wait, std::function<void()> then) {
                    timers.emplace_back(wait, std::move(then));
                  }});
  }
  // Runs timers, and those that they set, until none is left.
  void RunTimers() {
    while (!timers.empty()) {
      auto [wait, then] = timers.front();
      timers.erase(timers.begin());
      now += wait;
      then();
    }
  }
  std::shared_ptr<std::optional<claim_reply>> Start(
      const std::shared_ptr<claim_book>& at,
      const std::string& fingerprint = "f") {
    auto out = std::make_shared<std::optional<claim_reply>>();
    at->Claim({"t", "key", fingerprint, now + millis(10'000)},
              [out](claim_reply got) {
                REQUIRE_FALSE(out->has_value());
                *out = std::move(got);
              });
    return out;
  }
  claim_reply Claim(const std::shared_ptr<claim_book>& at,
                    const std::string& fingerprint = "f") {
    const auto got = Start(at, fingerprint);
    RunTimers();
    REQUIRE(got->has_value());
    return **got;
  }
  bool Settle(const claim& held, stored_answer answer) {
    bool out = false;
    book->Settle(held, std::move(answer),
                 [&](const auto& got) { out = got.has_value(); });
    RunTimers();
    return out;
  }
  // Faults of the next calls of one kind, in order.
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

const stored_answer kAnswer{201, {{"content-type", "a\xff"}}, "b\xfe", true};

}  // namespace

// Guards against two entries that both forward a booking (invariant 7).
TEST_CASE_METHOD(fixture, "one of two entries claims a key") {
  const auto first = Claim(book);
  REQUIRE(first.status == claim_status::kClaimed);
  CHECK(Claim(other).status == claim_status::kMayHaveRun);
  CHECK(Claim(other, "g").status == claim_status::kMismatch);
  CHECK(Settle(first.held, kAnswer));
  const auto repeat = Claim(other);
  CHECK(repeat.status == claim_status::kAnswered);
  CHECK(repeat.answer == kAnswer);
  CHECK(Claim(other, "g").status == claim_status::kMismatch);
}

// Guards against a repeat that is told may_have_run although the first answer
// comes within its deadline, and against one that never runs after not_run.
TEST_CASE_METHOD(fixture, "a repeat waits for the first request") {
  const auto first = Claim(book);
  const auto repeat = Start(other);
  CHECK_FALSE(repeat->has_value());
  Settle(first.held, kAnswer);
  CHECK((*repeat)->status == claim_status::kAnswered);

  store.Commit({{}, {{first.held.key, std::nullopt}}});
  const auto again = Claim(book);
  const auto waiting = Start(other);
  book->Release(again.held, [](const auto& got) { CHECK(got); });
  RunTimers();
  CHECK((*waiting)->status == claim_status::kClaimed);
}

// Guards against forwarding on an unconfirmed claim, and against refusing one
// that did take effect.
TEST_CASE_METHOD(fixture, "an unknown outcome is settled by reading") {
  SECTION("the write took effect") {
    Fail("commit", {store_fault::kLoseAnswer});
    const auto got = Claim(book);
    CHECK(got.status == claim_status::kClaimed);
    CHECK(got.held.version == store.Read(got.held.key)->version);
    CHECK(store.commits() == 1);
  }
  SECTION("the write was lost") {
    Fail("commit", {store_fault::kLoseRequest, store_fault::kLoseRequest});
    CHECK(Claim(book).status == claim_status::kClaimed);
  }
  SECTION("the write and the read were lost") {
    Fail("read", {store_fault::kLoseRequest});
    bool lost = false;
    store.SetFaults([&](const std::string& call, const std::string&) {
      return call == "read" || std::exchange(lost, true)
                 ? store_fault::kLoseRequest
                 : store_fault::kLoseAnswer;
    });
    CHECK(Claim(book).status == claim_status::kUnavailable);
    store.SetFaults(nullptr);
    // The row of the refused request must not block its repeat for ever.
    CHECK(Claim(book).status == claim_status::kClaimed);
    CHECK(Claim(other).status == claim_status::kMayHaveRun);
  }
}

// Guards against forwarding while the store is down.
TEST_CASE_METHOD(fixture, "without the store a claim is refused") {
  store.SetFaults(
      [](const auto&, const auto&) { return store_fault::kRefuse; });
  CHECK(Claim(book).status == claim_status::kUnavailable);
  CHECK(store.commits() == 0);
  // Once a claim by another entry is known, not_run would be wrong.
  store.SetFaults(nullptr);
  Claim(other);
  const auto repeat = Start(book);
  store.SetFaults(
      [](const auto&, const auto&) { return store_fault::kLoseRequest; });
  RunTimers();
  CHECK((*repeat)->status == claim_status::kMayHaveRun);
}

// Guards against answers that are lost, stored over another entry's claim, or
// too large for the table.
TEST_CASE_METHOD(fixture, "answers are stored once and within the limit") {
  auto held = Claim(book).held;
  Fail("commit", {store_fault::kLoseAnswer});
  CHECK(Settle(held, {200, {}, std::string(32'768, 'x'), true}));
  CHECK(Claim(other).answer.body.size() == 32'768);
  CHECK_FALSE(Settle(held, kAnswer));
  store.Commit({{}, {{held.key, std::nullopt}}});
  held = Claim(book).held;
  CHECK(Settle(held, {200, {}, std::string(32'768 + 1, 'x'), true}));
  CHECK(Claim(other).answer == stored_answer{200, {}, "", false});
  store.Commit({{}, {{held.key, "not a claim"}}});
  CHECK(Claim(other).status == claim_status::kMayHaveRun);
  CHECK_FALSE(DecodeClaim(std::string("\xa1", 1)));
}

// Guards against claims that stay for ever, and against deleting claims that
// still protect a request.
TEST_CASE_METHOD(fixture, "expired claims are swept, at a limited rate") {
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
    book->Sweep({"t"}, 5, [&](size_t count) {
      CHECK(count <= 5);
      deleted += count;
    });
  }
  CHECK(deleted == kOld);
  CHECK(store.Scan("claim/", 10).size() == 1);
}

}  // namespace chiveglade::routing
