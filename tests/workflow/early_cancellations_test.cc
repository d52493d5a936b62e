#include <catch2/catch.hpp>

#include "chiveglade/workflow/early_cancellations.h"
#include "chiveglade/workflow/job_rows.h"
#include "tests/support/memory_store.h"

namespace chiveglade::workflow {

namespace {

constexpr boot_time kStart{millis(1'000'000)};
constexpr boot_time kExpired{kStart + kEarlyCancellationRetention + millis(1)};

}  // namespace

TEST_CASE("early cancellations are limited within their retention") {
  early_cancellation_limit limit(2);
  CHECK(limit.Take(kStart));
  CHECK(limit.Take(kStart + millis(10)));
  CHECK_FALSE(limit.Take(kStart + kEarlyCancellationRetention));
  CHECK(limit.Take(kExpired));
  CHECK_FALSE(limit.Take(kExpired));
}

TEST_CASE("an early cancellation is deleted when it is old, by its version") {
  testing::memory_store store;
  early_cancellations known;
  const auto add = [&](const std::string& id) {
    const auto key = CancellationKey(id);
    const auto row = store.Read(key);
    store.Commit(CancelAbsentJob(id, row ? row->version : 0));
    known.Add(id, store.Read(key)->version, kStart);
  };
  for (const char* id : {"a1", "a2", "b1"}) {
    add(id);
  }
  CHECK(known.TakeExpired(kStart + kEarlyCancellationRetention, 10)
            .mutations.empty());
  SECTION("rows of one part at a time") {
    CHECK(store.Commit(known.TakeExpired(kExpired, 10)).status ==
          store::commit_status::kCommitted);
    known.OnDeleted();
    CHECK_FALSE(store.Read(CancellationKey("a2")));
    CHECK(store.Read(CancellationKey("b1")));
    CHECK(known.size() == 1);
  }
  SECTION("the limit of a transaction holds") {
    CHECK(known.TakeExpired(kExpired, 1).mutations.size() == 1);
  }
  SECTION("one that was replaced meanwhile stays") {
    const auto change = known.TakeExpired(kExpired, 10);
    store.Commit(
        CancelAbsentJob("a1", store.Read(CancellationKey("a1"))->version));
    const auto outcome = store.Commit(change);
    REQUIRE(outcome.status == store::commit_status::kConflict);
    known.OnNotDeleted(outcome.conflicting_key);
    CHECK(store.Read(CancellationKey("a1")));
    CHECK_FALSE(known.Contains("a1"));
    CHECK(store.Commit(known.TakeExpired(kExpired, 10)).status ==
          store::commit_status::kCommitted);
    CHECK_FALSE(store.Read(CancellationKey("a2")));
  }
  SECTION("a deletion that was not sent is repeated") {
    const auto change = known.TakeExpired(kExpired, 10);
    known.OnNotDeleted("");
    CHECK(known.TakeExpired(kExpired, 10) == change);
  }
  SECTION("a deletion that arrives late spares a newer one") {
    const auto late = known.TakeExpired(kExpired, 10);
    REQUIRE(store.Commit(late).status == store::commit_status::kCommitted);
    known.OnDeleted();
    add("a1");
    CHECK(store.Commit(late).status == store::commit_status::kConflict);
    CHECK(store.Read(CancellationKey("a1")));
  }
}

}  // namespace chiveglade::workflow
